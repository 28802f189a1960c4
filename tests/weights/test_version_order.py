"""Test which of two versions named in a row goes first, against the bound on paper."""

import itertools
import random
from dataclasses import dataclass

import pytest

from banyanshore.weights.version_order import (
    COPY_SHARE,
    LOAD_SECONDS,
    MIN_SERVING_SECONDS,
    SLACK_SECONDS,
    TURN_SECONDS,
    VersionState,
    are_in_a_row,
    plan_versions,
    version_to_load,
)

SWITCH_SECONDS = 9.0
COPY_SECONDS = COPY_SHARE * SWITCH_SECONDS
STEP_SECONDS = 0.05


def states(missing=(0.3, 1.0), known_since=(0.0, 2.0)):
    older, newer = itertools.starmap(
        VersionState, zip((2, 3), known_since, missing, strict=True)
    )
    return older, newer


def test_version_that_is_nearly_whole_is_finished_first():
    """No target ever had it whole, and nothing was served for ten seconds."""
    assert plan_versions(2.5, *states(), SWITCH_SECONDS).versions == (2, 3)


def test_version_that_can_serve_long_enough_no_more_is_given_up():
    """It would only take the links from the newer version."""
    older, newer = states(missing=(0.0, 1.0))
    ends = newer.known_since + SWITCH_SECONDS
    last = ends - MIN_SERVING_SECONDS - LOAD_SECONDS
    assert 2 in plan_versions(last - 0.01, older, newer, SWITCH_SECONDS).versions
    plan = plan_versions(last + 0.01, older, newer, SWITCH_SECONDS)
    assert plan.versions == (3,)


def test_older_version_that_saves_less_than_its_load_costs_goes_second():
    older, newer = states(missing=(0.3, 1.0))
    for tenths in range(100):
        plan = plan_versions(tenths / 10, older, newer, SWITCH_SECONDS)
        saved = plan.gap_newer_first - plan.gap_older_first
        if plan.gap_older_first:
            assert (plan.versions[0] == 2) == (saved >= TURN_SECONDS)


def test_order_is_kept_while_the_other_is_hardly_better():
    """Members changed the order each 0.1 s, and finished neither version."""
    older, newer = states(missing=(0.1, 1.0))
    flips = []
    for preferred in (2, 3):
        versions = [
            plan_versions(
                at / 20, older, newer, SWITCH_SECONDS, 0.0, preferred
            ).versions
            for at in range(40, 200)
        ]
        flips.append(versions.index((3, 2)))
    kept, new = flips
    assert kept - new >= 10


def test_newer_version_goes_first_where_it_leaves_no_gap_and_the_older_does():
    older, newer = states(missing=(0.9, 0.1), known_since=(0.0, 0.5))
    plan = plan_versions(8.0, older, newer, SWITCH_SECONDS)
    assert plan.versions[0] == 3


def test_older_version_does_not_go_first_if_the_newer_would_be_just_in_time():
    """Expected times aren't exact: callers were without service for 0.4 s."""
    older, newer = states(missing=(0.5, 1.0))
    late_newer = 1.5 * COPY_SECONDS + LOAD_SECONDS
    latest = newer.known_since + SWITCH_SECONDS - late_newer - SLACK_SECONDS
    for shift, first in ((-0.01, 2), (0.01, 3)):
        plan = plan_versions(latest + shift, older, newer, SWITCH_SECONDS)
        assert (plan.versions[0], plan.gap_newer_first) == (first, 0.0)


def test_slow_link_gives_the_older_version_up_earlier():
    older, newer = states()
    assert plan_versions(3.5, older, newer, SWITCH_SECONDS).versions[0] == 2
    plan = plan_versions(3.5, older, newer, SWITCH_SECONDS, copy_seconds=30.0)
    assert plan.versions == (3,)


@pytest.mark.parametrize("seed", range(20))
def test_members_with_the_same_chunks_decide_alike(seed):
    """Ages and the grace period are known to all; their clocks may start anywhere."""
    rng = random.Random(seed)
    missing = rng.random(), rng.random()
    named = rng.uniform(0, 6)
    now = named + rng.uniform(0, 9)
    plans = set()
    for boot in (0.0, 1e5, -3e3):
        older, newer = states(missing, (boot, boot + named))
        plans.add(plan_versions(boot + now, older, newer, SWITCH_SECONDS).versions)
    assert len(plans) == 1


def test_versions_far_apart_are_not_in_a_row():
    assert are_in_a_row(0.0, SWITCH_SECONDS - 0.1, SWITCH_SECONDS)
    assert not are_in_a_row(0.0, SWITCH_SECONDS, SWITCH_SECONDS)


def test_target_loads_the_older_version_while_it_is_first():
    older, newer = states(missing=(0.0, 0.9))
    arguments = (older, newer, SWITCH_SECONDS)
    assert version_to_load(6.0, *arguments, served_version=1) == 2
    assert version_to_load(6.0, *arguments, served_version=2) == 3


def test_target_passes_the_older_version_over_if_the_newer_comes_in_time():
    older, newer = states(missing=(0.0, 0.1))
    assert version_to_load(3.0, older, newer, SWITCH_SECONDS, 1) == 3


@pytest.mark.parametrize("served", [0, 1])
def test_target_whose_requests_end_too_late_passes_the_older_version_over(served):
    """It loaded it 0.4 s after its bound, and unloaded it at once."""
    older, newer = states(missing=(0.0, 1.0), known_since=(0.0, 2.3))
    now = newer.known_since + SWITCH_SECONDS - MIN_SERVING_SECONDS - LOAD_SECONDS - 0.2
    arguments = (now, older, newer, SWITCH_SECONDS, served)
    assert version_to_load(*arguments, end_seconds=0.0) == 2
    assert version_to_load(*arguments, end_seconds=1.0) == 3


def test_target_that_serves_nothing_loads_the_version_that_is_whole():
    older, newer = states(missing=(0.0, 0.1))
    assert version_to_load(3.0, older, newer, SWITCH_SECONDS, 0) == 2


@dataclass
class Schedule:
    """Names in a row, an origin that goes away, and the links to one target.

    Times in seconds since the first name; rates in copies a second.
    """

    named_after: float
    away: tuple
    origin_rate: float
    link_rate: float

    def is_away(self, now):
        return self.away[0] <= now < self.away[1]


def seconds_without_service(schedule, carries_older):
    """Play a schedule in a fluid model; return the seconds in which nothing is served.

    :param carries_older: whether the plan is used; otherwise a newer version
        cancels the transfer of the other.
    """
    relay, target = {2: 0.0, 3: 0.0}, {2: 0.0, 3: 0.0}
    served, ready_at, now, without = 1, {}, 0.0, 0.0
    ends = {1: SWITCH_SECONDS, 2: schedule.named_after + SWITCH_SECONDS}
    while served != 3:
        order = (2,)
        if now >= schedule.named_after:
            order = (3,)
            if carries_older:
                order = order_at(now, schedule, relay)
        room = 0.0 if schedule.is_away(now) else schedule.origin_rate * STEP_SECONDS
        for version in order:
            sent = min(room, 1.0 - relay[version])
            relay[version], room = relay[version] + sent, room - sent
        room = schedule.link_rate * STEP_SECONDS
        for version in order_at(now, schedule, target) if len(order) > 1 else order:
            sent = max(0.0, min(room, relay[version] - target[version]))
            target[version], room = target[version] + sent, room - sent
        for version in order:
            if target[version] > 1.0 - 1e-9 and version > served:
                ready_at.setdefault(version, now + LOAD_SECONDS)
                if now >= ready_at[version]:
                    served = version
        without += STEP_SECONDS * (now >= ends.get(served, now + 1))
        now += STEP_SECONDS
        assert now < 200.0
    return without


def order_at(now, schedule, have):
    older = VersionState(2, 0.0, 1.0 - have[2])
    newer = VersionState(3, schedule.named_after, 1.0 - have[3])
    copy_seconds = 1.0 / schedule.link_rate
    return plan_versions(now, older, newer, SWITCH_SECONDS, copy_seconds).versions


def make_schedule(seed):
    rng = random.Random(seed)
    away_from = rng.uniform(0.5, 5.0)
    link_seconds = rng.uniform(0.4, 0.6) * SWITCH_SECONDS
    return Schedule(
        rng.uniform(0.5, 6.0),
        (away_from, away_from + rng.uniform(0.0, 8.0)),
        1 / (link_seconds * rng.uniform(0.3, 0.7)),
        1 / link_seconds,
    )


@pytest.mark.parametrize("seed", range(60))
def test_plan_costs_no_more_than_a_load_if_the_origin_stays_from_the_name_on(seed):
    """What nobody can know is left out: an origin that goes away after the decision."""
    schedule = make_schedule(seed)
    schedule.away = tuple(at - schedule.away[1] for at in schedule.away)
    schedule.away = tuple(at + schedule.named_after for at in schedule.away)
    planned = seconds_without_service(schedule, True)
    cancelled = seconds_without_service(schedule, False)
    assert planned <= cancelled + LOAD_SECONDS


def test_plan_serves_more_over_many_schedules():
    """A newer version cancelled the transfer of the older one."""
    schedules = [make_schedule(seed) for seed in range(60)]
    planned = sum(seconds_without_service(row, True) for row in schedules)
    cancelled = sum(seconds_without_service(row, False) for row in schedules)
    assert planned < 0.6 * cancelled


def test_origin_that_goes_away_soon_after_the_second_name_leaves_a_version_to_serve():
    """Version 2 was complete but for a tenth when it was cancelled."""
    schedule = Schedule(2.0, (2.5, 8.5), 1 / 2.2, 1 / COPY_SECONDS)
    cancelled = seconds_without_service(schedule, False)
    assert cancelled > 3.0
    assert seconds_without_service(schedule, True) < cancelled - 1.0
