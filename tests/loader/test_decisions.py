"""When a target loads a version."""

from dataclasses import replace

import pytest

from banyanshore.loader.decisions import (
    Action,
    Situation,
    Turn,
    find_turn,
    load_time,
    may_drain,
    next_action,
)
from banyanshore.weights.staged import EngineReport

REPORT = EngineReport("m", 1, 0, 16, 3, 0, 1.0, False)
SITUATION = Situation(REPORT, 16, 2, True, 10.0)


def test_target_with_an_older_version_loads_when_its_turn_comes():
    assert next_action(9.9, SITUATION) is Action.WAIT
    assert next_action(10.0, SITUATION) is Action.LOAD


@pytest.mark.parametrize(
    "change",
    [
        {"report": None},
        {"is_whole": False},
        {"report": replace(REPORT, is_busy=True)},
        {"report": replace(REPORT, model_version=2)},
        {"report": replace(REPORT, model_version=3)},
    ],
)
def test_target_that_cannot_or_need_not_load_waits(change):
    assert next_action(99.0, replace(SITUATION, **change)) is Action.WAIT


@pytest.mark.parametrize("end_layer", [0, 8])
def test_target_that_holds_too_little_loads(end_layer):
    report = replace(REPORT, model_version=2 if end_layer else 0, end_layer=end_layer)
    assert next_action(10.0, replace(SITUATION, report=report)) is Action.LOAD


def test_empty_target_waits_for_no_turn():
    report = replace(REPORT, model_version=0, end_layer=0)
    assert next_action(0.0, replace(SITUATION, report=report)) is Action.LOAD


@pytest.mark.parametrize("count", range(1, 31))
def test_turns_leave_most_targets_to_serve(count):
    names = {f"loader-{number}" for number in range(count)}
    turns = [find_turn(name, names, 2) for name in names]
    assert turns.count(Turn.FIRST) <= 0.3 * count
    assert turns.count(Turn.NEXT) <= max(1, 0.3 * count + 1)
    assert turns.count(Turn.LAST) >= 0.4 * count


def test_turns_differ_from_version_to_version():
    names = {f"loader-{number}" for number in range(10)}
    firsts = {
        frozenset(n for n in names if find_turn(n, names, v) is Turn.FIRST)
        for v in range(2, 12)
    }
    assert len(firsts) > 3


def test_last_targets_load_at_the_switch_and_not_later():
    assert load_time(Turn.FIRST, 5.0, 7.0) == 5.0
    assert 5.0 < load_time(Turn.NEXT, 5.0, 7.0) < 6.0
    assert load_time(Turn.LAST, 5.5, 7.0) == 7.0
    assert load_time(Turn.LAST, 8.0, 7.0) == 8.0
    # A switch that was long ago, or lies far ahead.
    assert load_time(Turn.LAST, 5.0, float("-inf")) == 5.0
    assert load_time(Turn.LAST, 5.0, 100.0) < 7.0


def test_only_those_that_change_first_drain_before_their_chunks_are_whole():
    assert not may_drain(Turn.FIRST, 0.0, 1.0, 0.0)
    assert not may_drain(Turn.FIRST, 0.5, 3.0, 0.0)
    assert may_drain(Turn.FIRST, 0.7, 4.0, 0.0)
    assert not may_drain(Turn.LAST, 0.9, 5.0, 0.0)


def test_targets_serve_on_while_no_chunks_come():
    """Three tenths of all targets were idle while the origin was away for 6 s."""
    assert may_drain(Turn.FIRST, 0.94, 2.5, 0.2)
    assert not may_drain(Turn.FIRST, 0.94, 4.0, 1.5)
    assert may_drain(Turn.FIRST, 1.0, 9.0, 6.0)
