"""Test when a target drains and loads a version."""

import math
from dataclasses import replace

import pytest

from banyanshore.loader.decisions import (
    Action,
    LoaderState,
    Wave,
    find_wave,
    load_time,
    next_action,
    should_drain,
)
from banyanshore.weights.staged import EngineReport

REPORT = EngineReport("m", 1, 0, 16, 3, 0, 1.0, False)
STATE = LoaderState(REPORT, 16, 2, True, 10.0)


def test_target_with_an_older_version_loads_at_its_load_time():
    assert next_action(9.9, STATE) is Action.WAIT
    assert next_action(10.0, STATE) is Action.LOAD


@pytest.mark.parametrize(
    "change",
    [
        {"report": None},
        {"is_complete": False},
        {"report": replace(REPORT, is_busy=True)},
        {"report": replace(REPORT, model_version=2)},
        {"report": replace(REPORT, model_version=3)},
    ],
)
def test_target_that_cannot_load_or_is_up_to_date_waits(change):
    assert next_action(99.0, replace(STATE, **change)) is Action.WAIT


@pytest.mark.parametrize("end_layer", [0, 8])
def test_target_without_all_layers_loads(end_layer):
    report = replace(REPORT, model_version=2 if end_layer else 0, end_layer=end_layer)
    assert next_action(10.0, replace(STATE, report=report)) is Action.LOAD


OUTDATED = replace(
    STATE, is_complete=False, load_at=math.inf, has_first_layer=True, is_outdated=True
)


def test_outdated_target_whose_next_version_is_incomplete_unloads():
    """Requests sent before the switch arrived late, and began on older weights."""
    assert next_action(10.0, OUTDATED) is Action.UNLOAD


@pytest.mark.parametrize(
    "change",
    [
        {"report": None},
        {"report": replace(REPORT, is_busy=True)},
        {"report": replace(REPORT, model_version=0, end_layer=0)},
        {"report": replace(REPORT, model_version=2, end_layer=1)},
        {"report": replace(REPORT, end_layer=1)},
        {"report": replace(REPORT, model_version=3)},
        {"has_first_layer": False},
        {"is_outdated": False},
    ],
)
def test_target_that_need_not_or_cannot_unload_waits(change):
    assert next_action(10.0, replace(OUTDATED, **change)) is Action.WAIT


@pytest.mark.parametrize(
    "change", [{"is_outdated": True}, {"report": replace(REPORT, end_layer=1)}]
)
def test_target_that_runs_no_requests_does_not_wait_for_its_wave(change):
    """It held outdated weights until 0.4 s after its transfer was complete."""
    assert next_action(9.0, replace(STATE, **change)) is Action.LOAD


def test_target_that_has_unloaded_loads_once_its_version_is_complete():
    report = replace(REPORT, model_version=2, end_layer=1)
    state = replace(OUTDATED, report=report, is_complete=True, load_at=10.0)
    assert next_action(10.0, state) is Action.LOAD


def test_empty_target_loads_before_its_load_time():
    report = replace(REPORT, model_version=0, end_layer=0)
    assert next_action(0.0, replace(STATE, report=report)) is Action.LOAD


@pytest.mark.parametrize("count", range(1, 31))
def test_each_wave_leaves_most_targets_serving(count):
    names = {f"loader-{number}" for number in range(count)}
    waves = [find_wave(name, names, 2) for name in names]
    assert waves.count(Wave.FIRST) <= 0.3 * count
    assert waves.count(Wave.SECOND) <= max(1, 0.3 * count + 1)
    assert waves.count(Wave.LAST) >= 0.4 * count


def test_waves_differ_between_versions():
    names = {f"loader-{number}" for number in range(10)}
    first_waves = {
        frozenset(n for n in names if find_wave(n, names, v) is Wave.FIRST)
        for v in range(2, 12)
    }
    assert len(first_waves) > 3


def test_last_wave_loads_at_the_switch_and_not_later():
    assert load_time(Wave.FIRST, 5.0, 7.0) == 5.0
    assert 5.0 < load_time(Wave.SECOND, 5.0, 7.0) < 6.0
    assert load_time(Wave.LAST, 5.5, 7.0) == 7.0
    assert load_time(Wave.LAST, 8.0, 7.0) == 8.0
    # The switch is long past, or far in the future.
    assert load_time(Wave.LAST, 5.0, float("-inf")) == 5.0
    assert load_time(Wave.LAST, 5.0, 100.0) < 7.0


def test_only_first_wave_drains_before_the_transfer_is_complete():
    assert not should_drain(Wave.FIRST, 0.0, 1.0, 0.0)
    assert not should_drain(Wave.FIRST, 0.5, 3.0, 0.0)
    assert should_drain(Wave.FIRST, 0.7, 4.0, 0.0)
    assert not should_drain(Wave.LAST, 0.9, 5.0, 0.0)


def test_first_wave_keeps_serving_while_no_chunks_arrive():
    """Three tenths of all targets idled while the origin was unavailable for 6 s."""
    assert should_drain(Wave.FIRST, 0.94, 2.5, 0.2)
    assert not should_drain(Wave.FIRST, 0.94, 4.0, 1.5)
    assert should_drain(Wave.FIRST, 1.0, 9.0, 6.0)
