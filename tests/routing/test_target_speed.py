"""Targets that are slow for a while: what tells it, and schedules of slow turns."""

import statistics

import pytest

from banyanshore.routing.engine_model import EngineModel
from banyanshore.routing.target_load import TargetLoad
from banyanshore.routing.target_speed import (
    MIN_USUAL_PAUSES,
    PausesByService,
    TargetSpeed,
)
from banyanshore.simulation.plan import FaultPlan
from tests.routing.test_spread import SECONDS, long_prompts, slow_in_turns
from tests.simulation.loads import burst, busiest_over_mean, replay

MODEL = EngineModel(slots=12, steps_per_pass=5)
PASS_SECONDS = MODEL.pass_seconds(0)
TARGETS = 20
# Part of the answers that were late, and part of the requests answered in time, when
# a slot counted alike at any pace and only reports told the pace: by the number
# of gateways and the seconds that news takes, mean of four seeds.
ALL_SLOTS_ALIKE = {
    (8, 0.05): (0.118, 0.845),
    (8, 0.2): (0.287, 0.694),
    (8, 0.5): (0.439, 0.556),
    (45, 0.05): (0.167, 0.805),
}


def replay_slow_turns(gateways, news_seconds):
    """Return the part of late answers, and of requests answered in time.

    A sixth of the targets is 2.5 times slower for 0.6 s, in turns, at 1.5 times the
    usual rate.
    """
    late, in_time = [], []
    for seed in (1, 2, 3, 4):
        plan = long_prompts(
            gateways, news_seconds, seed, faults=slow_in_turns(TARGETS),
            bursts=burst(1.5, SECONDS, at=0.0),
        )  # fmt: skip
        arrivals = replay(plan)
        answered = [row for row in arrivals if row.completed_at is not None]
        timely = sum(row.is_in_time for row in answered)
        late.append(1 - timely / len(answered))
        in_time.append(timely / len(arrivals))
    return statistics.mean(late), statistics.mean(in_time)


@pytest.mark.parametrize(("gateways", "news_seconds"), ALL_SLOTS_ALIKE)
def test_fewer_answers_are_late_while_targets_are_slow_in_turns(gateways, news_seconds):
    late, in_time = replay_slow_turns(gateways, news_seconds)
    before_late, before_in_time = ALL_SLOTS_ALIKE[gateways, news_seconds]
    assert late < before_late
    assert in_time > before_in_time


def test_targets_that_recover_are_not_overrun():
    """All gateways learn of it at once; the load stays as even as in quiet seconds."""
    found = []
    for seed in range(1, 7):
        fault = FaultPlan(3.0, 0.6, 4, "slow", 2.5)
        plan = long_prompts(45, 0.05, seed, faults=(fault,))
        found += busiest_over_mean(replay(plan), TARGETS, [3.65])
    assert statistics.mean(found) < 1.41


def make_pauses():
    """Return a load and the pauses of an answer there, for a service that is known."""
    service = PausesByService()
    other = service.follow(TargetLoad(), "llm", MODEL)
    for number in range(MIN_USUAL_PAUSES + 1):
        other.record_event(number * PASS_SECONDS)
    load = TargetLoad()
    return load, service.follow(load, "llm", MODEL)


def record_events(pauses, start, seconds, count):
    """Record events at intervals; return the time of the last one."""
    times = [start + number * seconds for number in range(count)]
    for time in times:
        pauses.record_event(time)
    return times[-1]


def test_pauses_of_own_answers_tell_a_slow_target_before_its_report():
    load, pauses = make_pauses()
    load.speed.record_report(9.9, 1.0)
    now = record_events(pauses, 10.0, 2.5 * PASS_SECONDS, 3)
    found = load.speed.estimate(now)
    assert (found.source, round(found.pace, 2)) == ("own answers", 2.5)


def test_pauses_of_own_answers_tell_that_a_target_has_recovered():
    load, pauses = make_pauses()
    load.speed.record_report(9.9, 2.5)
    now = record_events(pauses, 10.0, PASS_SECONDS, 3)
    assert load.speed.estimate(now).pace == 1.0


def test_newer_report_replaces_own_pauses():
    load, pauses = make_pauses()
    now = record_events(pauses, 10.0, 2.5 * PASS_SECONDS, 3)
    load.speed.record_report(now + 0.01, 1.2)
    assert load.speed.estimate(now + 0.02).pace == 1.2


def test_report_that_is_older_than_own_pauses_does_not_count():
    load, pauses = make_pauses()
    now = record_events(pauses, 10.0, 2.5 * PASS_SECONDS, 3)
    load.speed.record_report(now - 0.1, 1.0)
    assert load.speed.estimate(now).source == "own answers"


def test_single_long_pause_does_not_make_a_target_slow():
    load, pauses = make_pauses()
    now = record_events(pauses, 10.0, PASS_SECONDS, 3)
    pauses.record_event(now + 0.3)
    assert load.speed.estimate(now + 0.3).pace == 1.0


def test_pause_for_known_prompts_does_not_make_a_target_slow():
    load, pauses = make_pauses()
    for number in range(3):
        pauses.record_event(10.0 + 0.15 * number)
        load.add_prefill(10.0 + 0.15 * number, 0.1)
    assert load.speed.estimate(10.3).pace == 1.0


def test_own_pauses_are_outdated_after_a_while():
    load, pauses = make_pauses()
    now = record_events(pauses, 10.0, 2.5 * PASS_SECONDS, 3)
    assert load.speed.estimate(now + 0.6).source == "none"


def test_events_that_hold_several_passes_are_usual_for_their_service():
    service = PausesByService()
    load = TargetLoad()
    pauses = service.follow(load, "llm", MODEL)
    now = record_events(pauses, 10.0, 2 * PASS_SECONDS, MIN_USUAL_PAUSES + 4)
    found = load.speed.estimate(now)
    assert (found.source, found.pace) == ("own answers", 1.0)


def test_speed_is_unknown_without_observations():
    found = TargetSpeed().estimate(1.0)
    assert (found.pace, found.source) == (1.0, "none")
