"""Test when a target loads a version."""

import math
from dataclasses import replace

import pytest

from banyanshore.loader.decisions import Action, LoaderState, next_action
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
