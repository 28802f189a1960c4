"""The control instance that a follower chooses."""

from collections import Counter

import pytest

from banyanshore.membership.control_choice import (
    AVOID_SECONDS,
    MAX_AVOID_SECONDS,
    ControlChoice,
)
from banyanshore.membership.registry import MemberRow

SEEDS = ("seed:1",)


def make_member(name, data_centre="a", region="r"):
    return MemberRow(name, "gateway", data_centre, region, name, 1, 1)


def control_rows(names="wxyz", data_centre="a", region="r"):
    return [make_member(name, data_centre, region) for name in names]


def make_followers(count=120):
    return [ControlChoice(make_member(f"f{number}")) for number in range(count)]


def choose(choice, now=0.0, rows=None, seeds=SEEDS):
    return choice.choose(now, choice.rank(rows or control_rows(), seeds))


def test_followers_of_a_data_centre_spread_over_its_control_instances():
    """All followed the first one by name, and moved on together."""
    counts = Counter(choose(choice) for choice in make_followers())
    assert set(counts) == set("wxyz")
    assert max(counts.values()) < 2 * 120 / 4


def test_followers_of_a_lost_instance_spread_over_the_others():
    lost = [choice for choice in make_followers(400) if choose(choice) == "x"]
    for choice in lost:
        choice.record_failure(0.0, "x")
    counts = Counter(choose(choice) for choice in lost)
    assert set(counts) == set("wyz")
    assert max(counts.values()) < 2 * len(lost) / 3


def test_followers_stay_when_another_instance_joins_or_leaves():
    followers = make_followers()
    before = [choose(choice) for choice in followers]
    after = [choose(choice, rows=control_rows("vwxyz")) for choice in followers]
    assert all(new in (old, "v") for old, new in zip(before, after, strict=True))
    without = [choose(choice, rows=control_rows("wxy")) for choice in followers]
    assert all(
        new == old for old, new in zip(before, without, strict=True) if old != "z"
    )


def test_nearer_instances_are_preferred():
    choice = ControlChoice(make_member("f"))
    rows = [
        *control_rows("abc", "b", "other"),
        *control_rows("de", "b", "r"),
        *control_rows("w"),
    ]
    ranked = choice.rank(rows, SEEDS)
    assert ranked[0] == "w"
    assert set(ranked[1:3]) == {"d", "e"}
    assert ranked[-1] == SEEDS[0]


def test_followers_return_to_an_instance_one_after_another():
    returned_after = []
    for choice in make_followers():
        first = choose(choice)
        choice.record_failure(0.0, first)
        now = 0.0
        while choose(choice, now) != first:
            now += 0.1
        returned_after.append(now)
    assert min(returned_after) >= AVOID_SECONDS
    within = Counter(int(2 * seconds) for seconds in returned_after)
    assert max(within.values()) < len(returned_after) / 3


def test_instance_that_keeps_failing_is_tried_less_and_less():
    choice = ControlChoice(make_member("f"))
    (only,) = choice.rank(control_rows("w"), ())
    ends = []
    now = 0.0
    # Control may be out of reach for hours, with ten attempts a second.
    for _ in range(2000):
        choice.record_failure(now, only)
        ends.append(choice._avoidance(only).ends_at - now)
    assert ends == sorted(ends)
    assert ends[-1] <= 2 * MAX_AVOID_SECONDS
    # Without another instance it is asked all the same.
    assert choose(choice, now, control_rows("w"), ()) == only


@pytest.mark.parametrize("answers", [1, 2])
def test_instance_without_a_quorum_is_left_at_its_second_answer(answers):
    """During an election all instances answer so, and followers moved between them."""
    choice = ControlChoice(make_member("f"))
    first = choose(choice)
    for _ in range(answers):
        choice.record_unconfirmed(0.0, first)
    assert (choose(choice) == first) == (answers == 1)
    choice.record_confirmed(first)
    assert choose(choice) == first


def test_followers_that_were_cut_off_try_all_instances_in_turn():
    """All are avoided for long then, and those that are gone could come first."""
    choice = ControlChoice(make_member("f"))
    now = 0.0
    tried = []
    for _ in range(200):
        now += 0.1
        tried.append(choose(choice, now))
        choice.record_failure(now, tried[-1])
    assert set(tried[-10:]) == {*"wxyz", *SEEDS}
