"""What is left of the objective of requests that return in a burst."""

import math
import random
from dataclasses import replace

import pytest

from banyanshore.routing.lateness import BUDGETS_KEPT, TimeBudgets
from banyanshore.state.routes import Route, RouteKind

ROUTE = Route("a", "/", RouteKind.STREAMING, (), 6.0, 0.4)


def make_budgets(*seconds):
    budgets = TimeBudgets()
    for each in seconds or [6.0] * 10:
        budgets.record_request(ROUTE, each)
    return budgets


def test_returned_request_is_late_by_what_its_time_budget_lacks():
    budgets = make_budgets()
    assert budgets.passed_seconds(ROUTE, 4.5) == pytest.approx(1.5)
    assert budgets.passed_seconds(ROUTE, 5.7) == 0.0


@pytest.mark.parametrize("seed", range(3))
def test_first_attempts_are_told_from_returned_ones_within_a_burst(seed):
    """Callers wait for 5.1 to 6.05 s; a quarter returns after 0.8 s to 2 s."""
    rng = random.Random(seed)
    budgets = TimeBudgets()
    mistaken = 0
    found = []
    for number in range(400):
        first = rng.uniform(5.1, 6.05)
        is_returned = rng.random() < 0.25
        seconds = first - rng.uniform(0.8, 2.0) if is_returned else first
        budgets.record_request(ROUTE, seconds)
        if number < BUDGETS_KEPT:
            continue
        is_late = budgets.timeliness(ROUTE, "s", seconds).is_late
        mistaken += is_late and not is_returned
        if is_returned:
            found.append(is_late)
    assert mistaken <= 3
    assert sum(found) > 0.7 * len(found)


def test_a_few_callers_that_wait_for_long_do_not_make_others_late():
    route = Route("a", "/", RouteKind.STREAMING, (), 60.0, 0.4)
    budgets = TimeBudgets()
    for seconds in [6.0] * 60 + [60.0] * 4:
        budgets.record_request(route, seconds)
    assert budgets.passed_seconds(route, 6.0) == 0.0


def test_request_waits_only_while_its_answer_can_begin_in_time():
    budgets = make_budgets()
    budgets.record_first_event("s", 0.15)
    fresh = budgets.timeliness(ROUTE, "s", 6.0)
    assert not fresh.is_late
    assert fresh.longest_wait == pytest.approx(0.4 - 0.15)
    budgets = make_budgets()
    budgets.record_first_event("s", 0.6)
    assert budgets.timeliness(ROUTE, "s", 6.0).longest_wait < 0


def test_late_request_waits_no_longer_than_others_and_well_before_its_deadline():
    budgets = make_budgets()
    late = budgets.timeliness(ROUTE, "s", 4.0)
    assert late.is_late
    assert late.longest_wait == pytest.approx(0.4)
    assert budgets.timeliness(ROUTE, "s", 0.5).longest_wait == pytest.approx(0.1)


def test_request_without_an_objective_does_not_wait():
    route = Route("a", "/", RouteKind.STREAMING, ())
    budgets = TimeBudgets()
    budgets.record_request(route, math.inf)
    found = budgets.timeliness(route, "s", math.inf)
    assert (found.is_late, found.longest_wait) == (False, 0.0)


def test_routes_that_no_longer_exist_are_forgotten():
    budgets = make_budgets()
    budgets.record_first_event("s", 0.3)
    budgets.keep_only([], [])
    assert budgets.passed_seconds(ROUTE, 4.5) == 0.0
    assert budgets.timeliness(ROUTE, "s", 6.0).longest_wait == pytest.approx(0.4)


def test_number_of_routes_is_bounded(monkeypatch):
    monkeypatch.setattr("banyanshore.routing.lateness.MAX_ROUTES", 2)
    budgets = TimeBudgets()
    routes = [replace(ROUTE, prefix=f"/{number}/") for number in range(3)]
    for route in routes:
        budgets.record_request(route, 6.0)
    found = [budgets.passed_seconds(route, 4.5) for route in routes]
    assert found == [0.0, 1.5, 1.5]
