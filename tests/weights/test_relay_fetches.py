"""A version comes whole soon after an origin that was away is back."""

import random

import pytest

from banyanshore.weights.placement import Member, Placement
from banyanshore.weights.planner import TransferPlanner
from banyanshore.weights.planner_rows import ORIGIN, PlannerOptions
from banyanshore.weights.relay import STALL_SECONDS
from banyanshore.weights.relay_fetches import (
    MAX_BACKOFF,
    max_concurrent_pushes,
    next_fetches,
)

CHUNKS = 96
# Seconds for a chunk at an origin of 7.3 Mbit/s, three at a time.
CHUNK_SECONDS = 3 * 24_576 * 8 / 7.3e6
TICK_SECONDS = 0.05


# The longest pause between draws in vain, and what is under way.
LOOK_SECONDS = 1.2 * 0.25 * MAX_BACKOFF + CHUNK_SECONDS + 2 * TICK_SECONDS


def replay(seed, away_from, away_until, max_backoff=MAX_BACKOFF):
    """Return the time at which a root has all chunks, and its draws in vain."""
    names = [f"edge-{number}" for number in range(20)]
    placement = Placement([Member(name, "a", "a") for name in names])
    digests = [f"chunk-{index}" for index in range(CHUNKS)]
    options = PlannerOptions(
        max_origin_fetches=3, takeover_timeout=1.0, max_backoff=max_backoff
    )
    planner = TransferPlanner(
        "edge-3", "a", digests, placement, options, random.Random(seed), 0.0
    )
    planner.set_neighbours(names[:5])
    now, progressed_at, ending, vain = 0.0, 0.0, [], 0
    while not planner.is_complete:
        for end in [row for row in ending if row[0] <= now]:
            ending.remove(end)
            at, fetch = end
            is_away = away_from <= at < away_until
            if fetch.source == ORIGIN and not is_away:
                planner.record_received(fetch.index)
                progressed_at = now
            else:
                vain += fetch.source == ORIGIN
                availability = "" if fetch.source == ORIGIN else "queued"
                planner.record_failure(now, fetch, availability)
        is_stalled = now - progressed_at > STALL_SECONDS
        for fetch in next_fetches(planner, now, True, is_stalled):
            is_quick = fetch.source != ORIGIN or away_from <= now < away_until
            ending.append((now + (0.01 if is_quick else CHUNK_SECONDS), fetch))
        now += TICK_SECONDS
        assert now < 60.0
    return now, vain


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("away_seconds", [2.0, 6.0, 12.0])
def test_rest_of_a_version_is_drawn_as_soon_as_the_origin_is_back(seed, away_seconds):
    """Pauses between draws in vain grew to 4 s, for each chunk by itself."""
    back_at = 2.3 + away_seconds
    whole_at, vain = replay(seed, 2.3, back_at)
    assert whole_at <= longest(seed, back_at)
    # It was asked 160 times a second.
    assert vain <= 3 + away_seconds / (0.8 * 0.25)


def longest(seed, back_at):
    """Return the time by which a version has to be whole."""
    undisturbed, _ = replay(seed, 99.0, 99.0)
    return back_at + 1.15 * max(0.0, undisturbed - 2.3) + LOOK_SECONDS


@pytest.mark.parametrize("seed", range(5))
def test_root_that_looks_seldom_is_caught(seed):
    """A planted fault: pauses between draws as long as they were."""
    whole_at, _ = replay(seed, 2.3, 8.3, max_backoff=16)
    assert whole_at > longest(seed, 8.3) + 1.0


def test_late_child_has_its_link_kept_busy():
    """With one at a time 96 chunks took 6.4 s over a link that carries them in 5.2."""
    assert max_concurrent_pushes(is_local=True, is_urgent=False) == 1
    assert max_concurrent_pushes(is_local=True, is_urgent=True) == 3
    assert max_concurrent_pushes(is_local=False, is_urgent=False) == 3
