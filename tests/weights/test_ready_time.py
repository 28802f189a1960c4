"""Test when a target is expected to serve, against played transfers."""

import random

import pytest

from banyanshore.weights.ready_time import (
    DRAIN_SECONDS,
    CarryingState,
    ChunkPace,
    drain_seconds,
    expected_ready_seconds,
)
from banyanshore.weights.version_order import COPY_SHARE, LOAD_SECONDS

CHUNKS = 64
SWITCH_SECONDS = 9.0


def make_arrivals(seed):
    """Return when the chunks of a transfer arrive: noisy, with an origin away."""
    rng = random.Random(seed)
    chunk_seconds = rng.uniform(3.0, 6.0) / CHUNKS
    away_before, away_seconds = rng.randrange(CHUNKS), rng.uniform(0.0, 8.0)
    now, arrivals = 0.0, []
    for index in range(CHUNKS):
        now += chunk_seconds * rng.uniform(0.3, 1.7)
        now += away_seconds * (index == away_before)
        arrivals.append(now)
    return arrivals, away_before


@pytest.mark.parametrize("seed", range(30))
def test_expected_time_holds_while_chunks_arrive(seed):
    """An origin that was away must not count as a slow link."""
    arrivals, away_before = make_arrivals(seed)
    whole_at = arrivals[-1] + LOAD_SECONDS
    pace = ChunkPace()
    for index, now in enumerate(arrivals):
        pace.record(now)
        if index < max(10, away_before):
            continue
        missing = 1 - (index + 1) / CHUNKS
        state = CarryingState(missing, pace.copy_seconds(CHUNKS, SWITCH_SECONDS))
        expected = now + expected_ready_seconds(state)
        assert abs(expected - whole_at) <= 0.45 * (whole_at - now) + 0.05


@pytest.mark.parametrize("seed", range(30))
def test_expected_time_is_never_late_while_the_origin_is_away(seed):
    """It is the earliest one, if the origin returned now."""
    arrivals, away_before = make_arrivals(seed)
    pace = ChunkPace()
    for now in arrivals[:away_before]:
        pace.record(now)
    missing = 1 - away_before / CHUNKS
    state = CarryingState(missing, pace.copy_seconds(CHUNKS, SWITCH_SECONDS))
    seconds = expected_ready_seconds(state)
    assert seconds <= missing * 6.0 * 1.5 + LOAD_SECONDS


def test_first_chunks_tell_nothing_of_the_links():
    pace = ChunkPace()
    for now in (0.0, 0.01, 0.02):
        pace.record(now)
    assert pace.copy_seconds(CHUNKS, SWITCH_SECONDS) == COPY_SHARE * SWITCH_SECONDS


def test_target_that_serves_is_ready():
    assert expected_ready_seconds(CarryingState(0.0, 4.0, 9, True)) == 0.0


def test_target_with_whole_weights_first_ends_its_requests():
    whole = CarryingState(0.0, 4.0, 3)
    assert expected_ready_seconds(whole) == drain_seconds(3) + LOAD_SECONDS
    assert 0 < drain_seconds(1) < drain_seconds(12) < DRAIN_SECONDS


def test_requests_end_while_chunks_arrive():
    assert expected_ready_seconds(CarryingState(1.0, 4.0, 12)) == 4.0 + LOAD_SECONDS
