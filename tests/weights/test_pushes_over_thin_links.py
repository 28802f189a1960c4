"""Test that requests don't wait long behind the chunks that share their link."""

import pytest

from banyanshore.routing.timeouts import MAX_HEAD_SECONDS
from tests.weights.thin_link import (
    CHUNK_BYTES,
    CHUNKS,
    REQUEST_BYTES,
    REQUEST_INTERVAL,
    STAGE_SECONDS,
    SWITCH_SECONDS,
    play,
)

USUAL_MBITS = 3.65
NARROW_MBITS = 0.91
# Longest delay of a request on the link, in seconds: half of the time that a gateway
# waits for an answer, so that its target has the other half.
MAX_DELAY = 0.5 * MAX_HEAD_SECONDS
# Seconds since the name at which a transfer is late.
LATE_SECONDS = 6.0


def bytes_per_second(mbits):
    return mbits * 1e6 / 8


def shortest_seconds(mbits):
    """Return the time in which a link carries all chunks besides the requests."""
    rate = bytes_per_second(mbits) - REQUEST_BYTES / REQUEST_INTERVAL
    return CHUNKS * CHUNK_BYTES / rate


@pytest.mark.parametrize("known_seconds", [0.0, LATE_SECONDS])
def test_requests_wait_for_one_chunk_at_most_on_a_narrow_link(
    monkeypatch, known_seconds
):
    """Late transfers kept three chunks queued, and requests waited for 0.9 s."""
    rate = bytes_per_second(NARROW_MBITS)
    world = play(monkeypatch, lambda seconds: rate, known_seconds)
    assert world.longest_delay() <= MAX_DELAY
    assert world.completed_seconds <= 1.05 * shortest_seconds(NARROW_MBITS)
    assert world.link.sent_by_chunk.total() == CHUNKS


@pytest.mark.parametrize("known_seconds", [0.0, LATE_SECONDS])
def test_requests_wait_briefly_soon_after_a_link_narrows(monkeypatch, known_seconds):
    """Chunks that were on their way at that time may still be ahead of requests."""
    narrows_at, widens_at = 1.1, 8.1

    def rate_at(seconds):
        is_narrow = narrows_at <= seconds < widens_at
        return bytes_per_second(NARROW_MBITS if is_narrow else USUAL_MBITS)

    world = play(monkeypatch, rate_at, known_seconds)
    queue_seconds = 3 * CHUNK_BYTES / bytes_per_second(NARROW_MBITS)
    assert world.longest_delay(narrows_at + queue_seconds) <= MAX_DELAY


def test_late_transfer_keeps_a_usual_link_busy(monkeypatch):
    rate = bytes_per_second(USUAL_MBITS)
    world = play(monkeypatch, lambda seconds: rate, LATE_SECONDS)
    assert world.longest_delay() <= MAX_DELAY
    assert world.completed_seconds <= 1.05 * shortest_seconds(USUAL_MBITS)


def test_transfer_over_a_usual_link_is_complete_before_the_switch(monkeypatch):
    rate = bytes_per_second(USUAL_MBITS)
    world = play(monkeypatch, lambda seconds: rate)
    one_at_a_time = shortest_seconds(USUAL_MBITS) + CHUNKS * STAGE_SECONDS
    assert world.completed_seconds <= min(1.05 * one_at_a_time, 0.9 * SWITCH_SECONDS)


def test_no_chunk_is_queued_behind_a_chunk_on_a_very_slow_link(monkeypatch):
    """A child used to fetch up to six chunks while a pushed one was still arriving."""
    rate = bytes_per_second(0.1)
    world = play(monkeypatch, lambda seconds: rate, request_interval=4.0)
    assert world.link.most_chunks == 1
    assert set(world.link.sent_by_chunk.values()) == {1}
    # The chunk that is being sent, and the request itself.
    assert world.longest_delay() <= 1.05 * (CHUNK_BYTES + REQUEST_BYTES) / rate


def test_chunk_is_not_pushed_again_while_it_is_arriving(monkeypatch):
    """Pushes were given up after 3 s and repeated, and no chunk ever arrived."""
    rate = bytes_per_second(0.06)
    world = play(monkeypatch, lambda seconds: rate, request_interval=8.0)
    assert CHUNK_BYTES / rate > 3.0
    assert set(world.link.sent_by_chunk.values()) == {1}
    assert world.link.most_chunks == 1
