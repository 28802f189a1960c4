"""A version comes whole soon after an origin that was away is back."""

import random

import pytest

from banyanshore.weights.placement import Member, Placement
from banyanshore.weights.planner import TransferPlanner
from banyanshore.weights.planner_rows import ORIGIN, PlannerOptions
from banyanshore.weights.relay import STALL_SECONDS
from banyanshore.weights.relay_fetches import MAX_BACKOFF, next_fetches

CHUNKS = 96
# Seconds for a chunk at an origin of 7.3 Mbit/s, three at a time.
CHUNK_SECONDS = 3 * 24_576 * 8 / 7.3e6
TICK_SECONDS = 0.05


# The longest pause between draws in vain, and what is under way.
LOOK_SECONDS = 1.2 * 0.25 * MAX_BACKOFF + CHUNK_SECONDS + 2 * TICK_SECONDS


def replay(
    seed, away_from, away_until, is_waiting_for_others=False, max_backoff=MAX_BACKOFF
):
    """Return the time at which a root has all chunks.

    :param is_waiting_for_others: whether a stalled root does as all others do.
    """
    names = [f"edge-{number}" for number in range(20)]
    placement = Placement([Member(name, "a", "a") for name in names])
    digests = [f"chunk-{index}" for index in range(CHUNKS)]
    options = PlannerOptions(
        max_origin_fetches=3, patience=1.0, max_backoff=max_backoff
    )
    planner = TransferPlanner(
        "edge-3", "a", digests, placement, options, random.Random(seed), 0.0
    )
    planner.set_neighbours(names[:5])
    now, progressed_at, ending = 0.0, 0.0, []
    while not planner.is_complete:
        for end in [row for row in ending if row[0] <= now]:
            ending.remove(end)
            at, fetch = end
            is_away = away_from <= at < away_until
            if fetch.source == ORIGIN and not is_away:
                planner.record_received(fetch.index)
                progressed_at = now
            else:
                availability = "" if fetch.source == ORIGIN else "missing"
                planner.record_failure(now, fetch, availability)
        is_stalled = now - progressed_at > STALL_SECONDS
        is_root = not (is_waiting_for_others and is_stalled)
        for fetch in next_fetches(planner, now, is_root, is_stalled):
            is_quick = fetch.source != ORIGIN or away_from <= now < away_until
            ending.append((now + (0.01 if is_quick else CHUNK_SECONDS), fetch))
        now += TICK_SECONDS
        assert now < 60.0
    return now


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("away_seconds", [2.0, 6.0, 12.0])
def test_rest_of_a_version_is_drawn_as_soon_as_the_origin_is_back(seed, away_seconds):
    """A root that had got nothing for 1.5 s asked others for what only it can draw."""
    back_at = 2.3 + away_seconds
    assert replay(seed, 2.3, back_at) <= longest(seed, back_at)


def longest(seed, back_at):
    """Return the time by which a version has to be whole."""
    undisturbed = replay(seed, 99.0, 99.0)
    return back_at + 1.15 * max(0.0, undisturbed - 2.3) + LOOK_SECONDS


def test_root_that_waits_for_others_is_caught():
    """A planted fault: the decision as it was, also how seldom it looked."""
    assert replay(1, 2.3, 8.3, is_waiting_for_others=True) > longest(1, 8.3)
    assert replay(1, 2.3, 8.3, True, max_backoff=16) > longest(1, 8.3) + 1.0
