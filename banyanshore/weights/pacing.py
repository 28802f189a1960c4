"""Pace uploads to another data centre so that they yield to requests.

Links between data centres carry requests, log replication and transfers. A transfer
that fills a link delays all of them, so an agent adapts its upload rate to the queueing
delay of its own pieces: the delay of a piece minus the shortest delay measured on the
same path.

Source: RFC 6817 (LEDBAT), which uses the same measure. This module controls a rate
instead of a window, because many agents share a narrow link and one piece from each of
them at the same time would already form a long queue. Deterministic: the caller passes
the time, no I/O.
"""

import math

from banyanshore.core.values import dataclass

# Smallest and largest piece in bytes, and the time to send one at the current rate.
MIN_PIECE_BYTES = 2 * 1024
MAX_PIECE_BYTES = 64 * 1024
PIECE_SECONDS = 0.02
# Longest time between two pieces of the same upload, in seconds.
MAX_GAP_SECONDS = 1.0
# Seconds between two adjustments of the rate.
ADJUST_SECONDS = 0.1
# Relative increase of the rate per adjustment: its first value, its maximum after
# consecutive adjustments that found the path uncongested, and the smallest increase.
INCREASE_SHARE = 0.02
MAX_INCREASE_SHARE = 0.1
MIN_INCREASE_BYTES_PER_SECOND = 1024
# Share of the target delay up to which a path counts as uncongested.
UNCONGESTED_SHARE = 0.25
# Largest rate as a multiple of the recently delivered rate. Delays measured at the
# delivered rate say nothing about rates far above it.
MAX_DELIVERED_FACTOR = 2.0
# Relative decrease of the rate per adjustment, for each target delay by which the
# queueing delay exceeds the target, and the largest decrease.
DECREASE_SHARE = 0.15
MAX_DECREASE_SHARE = 0.4
# Seconds for which a shortest delay stays valid, since clocks drift and routes change.
BASE_DELAY_SECONDS = 60.0


@dataclass(frozen=True)
class PacingOptions:
    """Options of an :class:`UploadPacer`.

    :param target_delay: queueing delay that transfers may add on a link, in seconds.
    :param initial_rate: bytes per second before the first measurement.
    :param min_rate: bytes per second that are sent however long the queue is.
    """

    target_delay: float = 0.03
    initial_rate: float = 32 * 1024
    min_rate: float = 4 * 1024


class BaseDelay:
    """Track the shortest delay of a path over the last one or two periods."""

    def __init__(self):
        self._period_ends_at = -math.inf
        self._previous = math.inf
        self._current = math.inf

    def update(self, now, delay):
        """Record a delay and return the shortest one."""
        if now >= self._period_ends_at:
            self._previous, self._current = self._current, math.inf
            self._period_ends_at = now + BASE_DELAY_SECONDS
        self._current = min(self._current, delay)
        return min(self._previous, self._current)


class UploadPacer:
    """Control the rate of one agent's uploads to one other data centre.

    :param options: the :class:`PacingOptions`.
    """

    def __init__(self, options):
        self.rate = options.initial_rate
        self._options = options
        self._next_send_at = -math.inf
        # Consecutive adjustments that found the path uncongested.
        self._uncongested_adjustments = 0
        # Whether the rate has delayed a piece since the last adjustment.
        self._is_limiting = False
        self._adjusted_at = None
        self._delivered_bytes = 0
        self._shortest_queue = math.inf
        self._base_by_receiver = {}

    def piece_bytes(self):
        """Return the size of the next piece in bytes."""
        size = int(self.rate * PIECE_SECONDS)
        return min(max(size, MIN_PIECE_BYTES), MAX_PIECE_BYTES)

    def max_uploads(self):
        """Return how many uploads can share the rate and still progress steadily.

        Each of them sends a piece at least every :data:`MAX_GAP_SECONDS`.
        """
        return max(1, int(self.rate * MAX_GAP_SECONDS / MIN_PIECE_BYTES))

    def reserve(self, now, size):
        """Reserve the sending of some bytes; return the seconds to wait first."""
        send_at = max(now, self._next_send_at)
        self._next_send_at = send_at + size / self.rate
        self._is_limiting = self._is_limiting or send_at > now
        return send_at - now

    def record_delivery(self, now, receiver, size, delay):
        """Record the delay of a delivered piece, and adjust the rate if it is time.

        :param receiver: name of the receiver, whose clock measured the arrival.
        :param size: size of the piece in bytes.
        :param delay: receiver's clock at arrival minus the local clock at sending, in
            seconds. The offset between the two clocks cancels out.
        """
        base = self._base_by_receiver.setdefault(receiver, BaseDelay())
        queue = delay - base.update(now, delay)
        self._shortest_queue = min(self._shortest_queue, queue)
        self._delivered_bytes += size
        if self._adjusted_at is None:
            self._adjusted_at = now
        elapsed = now - self._adjusted_at
        if elapsed >= ADJUST_SECONDS:
            self._adjust_rate(self._shortest_queue, self._delivered_bytes / elapsed)
            self._shortest_queue = math.inf
            self._delivered_bytes = 0
            self._is_limiting = False
            self._adjusted_at = now

    def _adjust_rate(self, queue, delivered_rate):
        target = self._options.target_delay
        is_uncongested = queue <= UNCONGESTED_SHARE * target
        self._uncongested_adjustments = (
            self._uncongested_adjustments + 1 if is_uncongested else 0
        )
        if queue > target:
            excess = (queue - target) / target
            share = min(excess, DECREASE_SHARE * max(1.0, excess), MAX_DECREASE_SHARE)
            self.rate *= 1 - share
        elif self._is_limiting:
            # A rate that isn't used up doesn't show whether the link carries more.
            max_rate = max(delivered_rate * MAX_DELIVERED_FACTOR, self.rate)
            self._increase_rate(1 - queue / target)
            self.rate = min(self.rate, max_rate)
        self.rate = max(self.rate, self._options.min_rate)

    def _increase_rate(self, headroom):
        share = min(
            MAX_INCREASE_SHARE, INCREASE_SHARE * (1 + self._uncongested_adjustments)
        )
        self.rate += headroom * max(MIN_INCREASE_BYTES_PER_SECOND, share * self.rate)
