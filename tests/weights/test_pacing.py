"""Test the pacing of uploads on a simulated slow link that is shared with requests."""

import heapq
import random

import pytest

from banyanshore.weights.pacing import PacingOptions, UploadPacer

LINK_BYTES_PER_SECOND = 1_250_000
ONE_WAY_SECONDS = 0.003
REQUEST_BYTES = 4_000
# Bound for 95 of 100 requests: a tenth of the 1.1 s within which a first token is due.
MAX_WAIT_SECONDS = 0.11
OPTIONS = PacingOptions()


class SlowLink:
    """Link that sends one item after the other, and records the waits of requests."""

    def __init__(self):
        self.free_at = 0.0
        self.sent = []
        self.request_waits = []

    def send(self, now, size):
        """Return the arrival time of an item that is sent now."""
        self.free_at = max(now, self.free_at) + size / LINK_BYTES_PER_SECOND
        return self.free_at + ONE_WAY_SECONDS


class Simulation:
    """Simulate senders with unlimited data, and requests that use part of the link."""

    def __init__(self, senders, request_share, seed=1):
        self.random = random.Random(seed)
        self.link = SlowLink()
        self.request_share = request_share
        self.pacers = [UploadPacer(OPTIONS) for _ in range(senders)]
        self.offsets = [self.random.uniform(-1e5, 1e5) for _ in range(senders)]
        self.events = []
        self.count = 0
        for number in range(senders):
            self.schedule(self.random.random(), self.reserve_piece, number)
        self.schedule(0.0, self.send_request)

    def schedule(self, time, action, *arguments):
        self.count += 1
        heapq.heappush(self.events, (time, self.count, action, arguments))

    def run(self, until):
        while self.events and self.events[0][0] < until:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def reserve_piece(self, now, number):
        pacer = self.pacers[number]
        size = pacer.piece_bytes()
        self.schedule(now + pacer.reserve(now, size), self.send_piece, number, size)

    def send_piece(self, now, number, size):
        arrives_at = self.link.send(now, size)
        self.link.sent.append((now, size))
        reply_at = arrives_at + ONE_WAY_SECONDS
        self.schedule(reply_at, self.acknowledge, number, size, now, arrives_at)
        self.schedule(now, self.reserve_piece, number)

    def acknowledge(self, now, number, size, sent_at, arrived_at):
        delay = arrived_at + self.offsets[number] - sent_at
        self.pacers[number].record_delivery(now, "receiver", size, delay)

    def send_request(self, now):
        share = self.request_share(now)
        rate = share * LINK_BYTES_PER_SECOND / REQUEST_BYTES
        if rate:
            arrives_at = self.link.send(now, REQUEST_BYTES)
            self.link.request_waits.append((now, arrives_at - now))
        self.schedule(
            now + (self.random.expovariate(rate) if rate else 0.1), self.send_request
        )

    def transferred_share(self, start, end):
        size = sum(size for at, size in self.link.sent if start <= at < end)
        return size / (end - start) / LINK_BYTES_PER_SECOND

    def slow_request_share(self, start, end, bound):
        waits = [wait for at, wait in self.link.request_waits if start <= at < end]
        return sum(wait > bound for wait in waits) / len(waits)


@pytest.mark.parametrize("senders", [1, 5, 20])
def test_idle_link_is_used(senders):
    simulation = Simulation(senders, lambda now: 0.0)
    simulation.run(60)
    assert simulation.transferred_share(20, 60) >= 0.8


@pytest.mark.parametrize("senders", [1, 5, 20])
@pytest.mark.parametrize("share", [0.1, 0.5, 0.8])
def test_transfers_delay_requests_little(senders, share):
    simulation = Simulation(senders, lambda now: share)
    simulation.run(60)
    assert simulation.slow_request_share(20, 60, MAX_WAIT_SECONDS) <= 0.05
    assert simulation.transferred_share(20, 60) >= 0.5 * (1 - share)


def test_transfers_yield_to_a_burst_and_recover():
    simulation = Simulation(5, lambda now: 0.9 if 20 <= now < 40 else 0.05)
    simulation.run(60)
    assert simulation.transferred_share(10, 20) >= 0.7
    assert simulation.transferred_share(25, 40) <= 0.15
    assert simulation.slow_request_share(25, 40, MAX_WAIT_SECONDS) <= 0.05
    assert simulation.transferred_share(50, 60) >= 0.7


def test_clock_offset_of_receivers_is_ignored():
    pacer = UploadPacer(OPTIONS)
    for step in range(100):
        now = step * 0.1
        pacer.reserve(now, 10**7)
        pacer.reserve(now, 10**7)
        pacer.record_delivery(now, "ahead", 10**7, 5_000.0)
        pacer.record_delivery(now, "behind", 10**7, -5_000.0)
    assert pacer.rate > OPTIONS.initial_rate


def test_unused_rate_does_not_increase():
    pacer = UploadPacer(OPTIONS)
    for step in range(100):
        pacer.reserve(step * 1.0, 1000)
        pacer.record_delivery(step * 1.0 + 0.01, "receiver", 1000, 0.003)
    assert pacer.rate == OPTIONS.initial_rate


def test_longer_route_is_not_taken_for_a_queue_forever():
    pacer = UploadPacer(OPTIONS)
    for step in range(4000):
        now = step * 0.1
        pacer.reserve(now, 10**7)
        pacer.reserve(now, 10**7)
        size = min(pacer.rate, LINK_BYTES_PER_SECOND) * 0.1
        pacer.record_delivery(now, "receiver", size, 0.003 if now < 50 else 0.2)
        if step == 600:
            assert pacer.rate <= OPTIONS.initial_rate
    assert pacer.rate > 2 * OPTIONS.initial_rate
