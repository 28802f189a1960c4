"""Test that a version is complete soon after an unavailable origin returns."""

import random

import pytest

from banyanshore.weights.placement import Member, Placement
from banyanshore.weights.planner import TransferPlanner
from banyanshore.weights.planner_rows import ORIGIN, PlannerOptions
from banyanshore.weights.relay_fetches import (
    HANDOVER_SECONDS,
    MAX_BACKOFF,
    ORIGIN_TURN_SECONDS,
    SLOW_STALL_SECONDS,
    STALL_SECONDS,
    PushTimes,
    is_stalled,
    max_concurrent_pushes,
    next_fetches,
    origin_fetch_limit,
)

CHUNKS = 96
# Seconds to fetch a chunk from an origin with 7.3 Mbit/s, three chunks at a time.
CHUNK_SECONDS = 3 * 24_576 * 8 / 7.3e6
TICK_SECONDS = 0.05


# Longest pause between failed fetches from the origin, plus a fetch in progress.
MAX_RETRY_SECONDS = 1.2 * 0.25 * MAX_BACKOFF + CHUNK_SECONDS + 2 * TICK_SECONDS


def simulate(seed, outage_start, outage_end, max_backoff=MAX_BACKOFF):
    """Return the time at which a root has all chunks, and its failed origin fetches."""
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
    now, progressed_at, pending, failed = 0.0, 0.0, [], 0
    while not planner.is_complete:
        for ended in [row for row in pending if row[0] <= now]:
            pending.remove(ended)
            at, fetch = ended
            is_outage = outage_start <= at < outage_end
            if fetch.source == ORIGIN and not is_outage:
                planner.record_received(fetch.index)
                progressed_at = now
            else:
                failed += fetch.source == ORIGIN
                availability = "" if fetch.source == ORIGIN else "queued"
                planner.record_failure(now, fetch, availability)
        has_stalled = is_stalled(now - progressed_at, is_receiving=False)
        for fetch in next_fetches(planner, now, True, has_stalled):
            is_quick = fetch.source != ORIGIN or outage_start <= now < outage_end
            pending.append((now + (0.01 if is_quick else CHUNK_SECONDS), fetch))
        now += TICK_SECONDS
        assert now < 60.0
    return now, failed


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("away_seconds", [2.0, 6.0, 12.0])
def test_remaining_chunks_are_fetched_soon_after_the_origin_returns(seed, away_seconds):
    """Pauses after failed fetches used to grow to 4 s, for each chunk separately."""
    outage_end = 2.3 + away_seconds
    completed_at, failed = simulate(seed, 2.3, outage_end)
    assert completed_at <= completion_bound(seed, outage_end)
    # The origin used to receive 160 requests per second.
    assert failed <= 3 + away_seconds / (0.8 * 0.25)


def completion_bound(seed, outage_end):
    """Return the time by which a version has to be complete."""
    undisturbed, _ = simulate(seed, 99.0, 99.0)
    return outage_end + 1.15 * max(0.0, undisturbed - 2.3) + MAX_RETRY_SECONDS


@pytest.mark.parametrize("seed", range(5))
def test_check_detects_root_that_retries_the_origin_too_late(seed):
    """Inject the fault: pause after failed fetches as long as before the fix."""
    completed_at, _ = simulate(seed, 2.3, 8.3, max_backoff=16)
    assert completed_at > completion_bound(seed, 8.3) + 1.0


# Seconds to push a chunk over the link of a loader, as it usually is and narrowed, and
# over one between data centres.
USUAL_SECONDS = 24_576 * 8 / 3.65e6
NARROW_SECONDS = 24_576 * 8 / 0.91e6
ACROSS_SECONDS = 24_576 * 8 / 7.3e6


@pytest.mark.parametrize("chunk_seconds", [ACROSS_SECONDS, USUAL_SECONDS])
def test_late_child_gets_concurrent_pushes(chunk_seconds):
    """One at a time, 96 chunks took 6.4 s over a link that carries them in 5.2 s."""
    assert max_concurrent_pushes(True, False, chunk_seconds) == 1
    assert max_concurrent_pushes(True, True, chunk_seconds) == 3
    assert max_concurrent_pushes(False, False, chunk_seconds) == 3


@pytest.mark.parametrize("chunk_seconds", [NARROW_SECONDS, 24_576 * 8 / 0.1e6])
@pytest.mark.parametrize("is_local", [True, False])
def test_child_on_narrow_link_gets_one_push_at_a_time(is_local, chunk_seconds):
    assert max_concurrent_pushes(is_local, True, chunk_seconds) == 1
    assert max_concurrent_pushes(is_local, False, chunk_seconds) == 1


def test_first_push_within_a_data_centre_is_alone():
    assert max_concurrent_pushes(True, True, 0.0) == 1
    assert max_concurrent_pushes(False, False, 0.0) == 3


def limits_of_pushes(is_local, chunk_seconds, round_trip, pushes=40):
    """Push chunks over a link; return the limit of concurrent pushes after each."""
    times = PushTimes(is_local)
    now, free_at, in_flight, limits = 0.0, 0.0, [], []
    while len(limits) < pushes:
        limit = max_concurrent_pushes(is_local, True, times.chunk_seconds)
        while len(in_flight) < limit:
            free_at = max(free_at, now + round_trip / 2) + chunk_seconds
            in_flight.append((now, free_at + round_trip / 2))
        started_at, now = in_flight.pop(0)
        times.record(started_at, now)
        limits.append(max_concurrent_pushes(is_local, True, times.chunk_seconds))
    return limits


@pytest.mark.parametrize("round_trip", [0.02, 0.1, 0.2, 0.3])
def test_long_round_trip_does_not_count_as_narrow_link(round_trip):
    limits = limits_of_pushes(False, ACROSS_SECONDS, round_trip)
    assert set(limits[2:]) == {3}


@pytest.mark.parametrize("round_trip", [0.02, 0.1, 0.3])
def test_narrow_link_across_data_centres_gets_one_push_at_a_time(round_trip):
    limits = limits_of_pushes(False, NARROW_SECONDS, round_trip)
    assert set(limits) == {1}


def test_single_slow_chunk_does_not_count_as_narrow_link():
    times = PushTimes(True)
    for number in range(5):
        times.record(number, number + USUAL_SECONDS)
    times.record(6.0, 6.5)
    assert times.chunk_seconds == pytest.approx(USUAL_SECONDS)
    times.record(7.0, 7.5)
    assert times.chunk_seconds == pytest.approx(0.5)


def test_member_waits_longer_while_a_chunk_is_arriving():
    assert not is_stalled(STALL_SECONDS, is_receiving=False)
    assert is_stalled(STALL_SECONDS + 0.1, is_receiving=False)
    assert not is_stalled(SLOW_STALL_SECONDS, is_receiving=True)
    assert is_stalled(SLOW_STALL_SECONDS + 0.1, is_receiving=True)


def fetches_at_return(away_seconds, members):
    """Return the fetches that members other than the root have at a returning origin.

    All of them have waited for the same chunks since the origin went away.
    """
    names = [f"member-{rank}" for rank in range(members)]
    placement = Placement([Member(name, "a", "a") for name in names])
    digests = [f"chunk-{index}" for index in range(CHUNKS)]
    options = PlannerOptions(max_origin_fetches=3, takeover_timeout=1.0)
    total = 0
    for rank, name in enumerate(names):
        planner = TransferPlanner(
            name, "a", digests, placement, options, random.Random(rank), 0.0
        )
        limit = origin_fetch_limit(away_seconds, rank, None)
        fetches = next_fetches(planner, away_seconds, False, True, limit)
        total += sum(fetch.from_origin for fetch in fetches)
    return total


@pytest.mark.parametrize("away_seconds", [2.0, 6.0, 8.0])
def test_few_members_beside_the_root_take_chunks_of_an_origin_that_returns(
    away_seconds,
):
    """Each of 20 members took three, 2.6 s of the origin's link for all."""
    expected = 1 + (away_seconds - STALL_SECONDS) // ORIGIN_TURN_SECONDS
    assert fetches_at_return(away_seconds, 20) == expected


def test_members_fetch_from_the_origin_in_the_end():
    assert origin_fetch_limit(99.0, 12, None) == 1


def test_member_whose_parent_stays_silent_fetches_as_the_root_does():
    """One that fetched a chunk each 1.5 s would need minutes for a version."""
    waited = STALL_SECONDS + 1.0
    assert origin_fetch_limit(waited, 0, HANDOVER_SECONDS / 2) == 0
    assert origin_fetch_limit(waited, 0, HANDOVER_SECONDS) > 3
