"""Tests of the reports that hubs pass on, and of what gateways estimate by them."""

import random
from dataclasses import replace
from itertools import pairwise

import pytest

from banyanshore.membership.load_reports import LoadReport
from banyanshore.routing.repeated_reports import REPEAT_SECONDS, RepeatedReports
from banyanshore.routing.target_load import REPORT_EXPIRY_SECONDS, TargetLoad

IDLE = LoadReport("10.0.0.1:80", 1, 1, "m", 2, 16, 0, 0)
REPORT_INTERVAL = 0.15
DAY_SECONDS = 60.0


def test_an_idle_target_is_reported_often_enough():
    reports, passed_on = RepeatedReports(), []
    for number in range(int(DAY_SECONDS / REPORT_INTERVAL)):
        now = number * REPORT_INTERVAL
        if not reports.may_drop(now, replace(IDLE, sequence=number)):
            passed_on.append(now)
    gaps = [after - before for before, after in pairwise(passed_on)]
    assert max(gaps) <= REPEAT_SECONDS + REPORT_INTERVAL
    # One may be lost without the load counting as unknown.
    assert 2 * max(gaps) < REPORT_EXPIRY_SECONDS
    assert len(passed_on) <= 0.3 * DAY_SECONDS / REPORT_INTERVAL


@pytest.mark.parametrize(
    "change",
    [
        {"active": 1},
        {"queued": 1},
        {"pace": 2.0},
        {"model_version": 3},
        {"end_layer": 8},
        {"is_loading": True},
        {"incarnation": 2},
        {"model": "n"},
    ],
    ids=lambda change: next(iter(change)),
)
def test_a_changed_report_is_passed_on_and_so_is_the_one_after(change):
    reports = RepeatedReports()
    assert not reports.may_drop(0.0, IDLE)
    assert not reports.may_drop(0.1, replace(IDLE, sequence=2, **change))
    assert not reports.may_drop(0.2, replace(IDLE, sequence=3))


def test_reports_of_a_busy_target_are_all_passed_on():
    reports = RepeatedReports()
    for number in range(10):
        report = replace(IDLE, sequence=number, active=3)
        assert not reports.may_drop(number * REPORT_INTERVAL, report)


def test_targets_are_told_apart_and_forgotten():
    reports = RepeatedReports()
    other = replace(IDLE, address="10.0.0.2:80")
    assert not reports.may_drop(0.0, IDLE)
    assert not reports.may_drop(0.0, other)
    reports.keep_only({other.address})
    assert not reports.may_drop(0.1, replace(IDLE, sequence=2))
    assert reports.may_drop(0.1, replace(other, sequence=2))


@pytest.mark.parametrize("seed", range(20))
def test_gateways_estimate_the_same_load_as_with_all_reports(seed):
    """Requests of other gateways arrive at a target that is idle most of the time.

    Their notices and the reports pass the same hub.
    """
    rng = random.Random(seed)
    reports = RepeatedReports()
    with_all, with_some = TargetLoad(), TargetLoad()
    ends, dropped = [], 0
    next_request = rng.expovariate(1.0)
    for number in range(2000):
        now = number * 0.05
        while next_request <= now:
            for load in (with_all, with_some):
                load.record_placement(now, 0.05)
            reports.record_placement(IDLE.address)
            ends.append(now + rng.uniform(0.01, 1.0))
            next_request += rng.expovariate(1.0)
        ends = [end for end in ends if end > now]
        if number % 3 == 0:
            report = replace(IDLE, sequence=number, active=len(ends))
            with_all.record_report(now, report)
            if reports.may_drop(now, report):
                dropped += 1
            else:
                with_some.record_report(now, report)
        assert with_some.estimated_in_flight(now) == with_all.estimated_in_flight(now)
    assert dropped > 50
