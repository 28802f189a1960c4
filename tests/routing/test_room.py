"""Places of targets that are kept for more urgent requests."""

import heapq
import random

import pytest

from banyanshore.membership.registry import TargetRow
from banyanshore.routing.board import TargetRequirements
from banyanshore.routing.ranks import Rank
from banyanshore.routing.room import RANK_SECONDS, RoomRule
from banyanshore.routing.target_load import TargetLoad

SLOTS = 12
ROW = TargetRow(
    "i-1", "llm", "10.0.0.1:80", "dc", "v1", SLOTS, "ready", 0.0, 1, 1, "m", 2, 0, 16
)
ENGINE = {"engine": {"layers": 16}}
PLAIN = {}


def make_rule(*positions, count=3, now=0.0):
    rule = RoomRule("dc")
    for position in positions:
        rule.record_request(now, "llm", Rank(position, count), False)
    return rule


def places(rule, position, count=3, is_late=False, service=ENGINE, now=0.0):
    """Return how many requests a request leaves room for itself after."""
    requirements = TargetRequirements(
        "llm", objective_seconds=0.4, rank=Rank(position, count), is_late=is_late
    )
    load = TargetLoad()
    while rule.has_room(
        now, load, ROW, service, requirements, 1.0,
        rule.reserve(now, requirements),
    ):  # fmt: skip
        load.own_in_flight += 1
    return load.own_in_flight


def test_last_places_are_kept_for_more_urgent_requests():
    """A burst of the least urgent requests filled all targets."""
    rule = make_rule(0, 1, 2)
    assert [places(rule, position) for position in range(3)] == [12, 11, 10]


def test_late_requests_leave_a_place_to_those_of_their_rank():
    rule = make_rule(0, 1, 2)
    late = [places(rule, position, is_late=True) for position in range(3)]
    assert late == [11, 10, 9]


def test_late_requests_use_all_places_while_no_other_comes():
    rule = RoomRule("dc")
    rule.record_request(0.0, "llm", Rank(0, 3), True)
    assert places(rule, 0, is_late=True) == SLOTS


def test_all_places_are_used_while_nothing_more_urgent_comes():
    assert places(make_rule(1, 2), 2) == 11
    assert places(make_rule(2), 2) == 12
    rule = make_rule(0, 1, 2)
    assert places(rule, 2, now=RANK_SECONDS) == 12


def test_service_with_one_rank_keeps_no_places():
    rule = make_rule(0, count=1)
    assert places(rule, 0, 1) == places(rule, 0, 1, is_late=True) == SLOTS


def test_least_urgent_of_many_ranks_keeps_three_quarters_of_the_places():
    rule = make_rule(*range(20), count=20)
    assert places(rule, 19, 20) == 9
    assert places(rule, 19, 20, service=PLAIN) == 27


def test_least_urgent_requests_keep_part_of_the_prefill_time():
    rule = make_rule(0, 1, 2)
    load = TargetLoad()
    load.prompts.add(0.0, 0.09)
    for position, has_room in ((0, True), (1, True), (2, False)):
        requirements = TargetRequirements(
            "llm", objective_seconds=0.4, rank=Rank(position, 3)
        )
        kept = rule.reserve(0.0, requirements)
        found = rule.has_room(0.0, load, ROW, ENGINE, requirements, 1.0, kept)
        assert found is has_room


def serve_burst(seed, is_reserved, rates=(10.0, 4.0, 10.0), targets=1):
    """Offer requests of three ranks to targets; return those asked for and served.

    The most urgent kind comes at 0.4 of its rate until 4 s have passed. A target serves
    15 requests a second.

    :param rates: requests per second and target of each rank.
    """
    rng = random.Random(seed)
    rule = RoomRule("dc")
    loads = [TargetLoad() for _ in range(targets)]
    ends, asked, served = [], [0] * 3, [0] * 3
    for step in range(15_000):
        now = step * 0.002
        while ends and ends[0][0] <= now:
            loads[heapq.heappop(ends)[1]].own_in_flight -= 1
        for position, rate in enumerate(rates):
            if position == 0 and now < 4.0:
                rate *= 0.4
            if rng.random() > targets * rate * 0.002:
                continue
            rank = Rank(position, 3) if is_reserved else Rank()
            requirements = TargetRequirements("llm", objective_seconds=0.4, rank=rank)
            rule.record_request(now, "llm", rank, False)
            asked[position] += 1
            kept = rule.reserve(now, requirements)
            number = min(range(targets), key=lambda each: loads[each].own_in_flight)
            load = loads[number]
            if rule.has_room(now, load, ROW, ENGINE, requirements, 1.0, kept):
                rule.record_found(now, requirements)
                served[position] += 1
                load.own_in_flight += 1
                heapq.heappush(ends, (now + rng.uniform(0.5, 1.1), number))
    return asked, served


def parts(asked, served):
    return [part / total for part, total in zip(served, asked, strict=True)]


@pytest.mark.parametrize("targets", [1, 5])
@pytest.mark.parametrize("seed", range(3))
def test_more_urgent_requests_are_served_more_often_in_a_burst_of_all(seed, targets):
    asked, alike = serve_burst(seed, is_reserved=False, targets=targets)
    by_rank = parts(asked, alike)
    assert max(by_rank) - min(by_rank) < 0.12
    asked, served = serve_burst(seed, is_reserved=True, targets=targets)
    by_rank = parts(asked, served)
    assert by_rank[0] > by_rank[1] + 0.05 > by_rank[2] + 0.1
    # At most one place in twelve stays empty on average.
    assert sum(served) > (1 - 1 / SLOTS) * sum(alike)


@pytest.mark.parametrize("seed", range(3))
def test_least_urgent_requests_are_not_starved_by_a_lasting_burst(seed):
    """The most urgent requests alone ask for more than five targets can serve."""
    rates = (16.0, 4.0, 6.0)
    asked, served = serve_burst(seed, True, rates, targets=5)
    average = sum(served) / sum(asked)
    assert min(parts(asked, served)) > 0.4 * average


def test_places_kept_for_others_do_not_matter_without_contention():
    """Half of the capacity is asked for."""
    asked, served = serve_burst(1, True, (2.0, 2.0, 3.0), targets=5)
    assert sum(served) > 0.98 * sum(asked)
