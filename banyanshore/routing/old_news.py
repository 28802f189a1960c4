"""What other gateways have placed of which no news has arrived yet; free of I/O.

Load pattern: many gateways choose at the same time, and each learns of the others'
requests only when their notices arrive. Until then, all of them see the same load and
would choose the same target. The number of requests to expect in that time is the rate
of the notices times their age.
"""

import math
from collections import defaultdict

# Age of notices until one of this gateway's own has come back, in seconds: the longest
# time that a hub gathers notices, and the network latency.
INITIAL_AGE_SECONDS = 0.03
# Weight of the newest notice in the moving average of their ages.
AGE_WEIGHT = 0.1
# Number of own notices whose return is awaited.
MAX_AWAITED = 256
# Time constant of the rate of notices, in seconds: a burst lasts some seconds.
RATE_SECONDS = 1.0


class _NoticeRate:
    """The rate of notices about one service, as an exponential moving average."""

    def __init__(self):
        self._per_second = 0.0
        self._counted_at = -math.inf

    def add(self, now):
        self._per_second = self.per_second(now) + 1 / RATE_SECONDS
        self._counted_at = now

    def per_second(self, now):
        return self._per_second * math.exp((self._counted_at - now) / RATE_SECONDS)


class UnseenRequests:
    """Estimate the requests of other gateways that are not announced here yet.

    :ivar age_seconds: moving average of the age of notices as they arrive.
    """

    def __init__(self):
        self.age_seconds = INITIAL_AGE_SECONDS
        self._sent_at_by_sequence = {}
        self._rate_by_service = defaultdict(_NoticeRate)

    def record_sent(self, now, sequence):
        """Record that this gateway sends a notice, which hubs send back to it."""
        sent_at_by_sequence = self._sent_at_by_sequence
        sent_at_by_sequence[sequence] = now
        if len(sent_at_by_sequence) > MAX_AWAITED:
            del sent_at_by_sequence[next(iter(sent_at_by_sequence))]

    def record_returned(self, now, sequence):
        """Record that a notice of this gateway has come back, perhaps again.

        >>> unseen = UnseenRequests()
        >>> for sequence in range(100):
        ...     unseen.record_sent(7.0, sequence)
        ...     unseen.record_returned(7.2, sequence)
        ...     unseen.record_returned(9.0, sequence)
        >>> round(unseen.age_seconds, 3)
        0.2
        """
        sent_at = self._sent_at_by_sequence.pop(sequence, None)
        if sent_at is not None:
            self.record_age(now - sent_at)

    def record_age(self, seconds):
        """Record the age of a notice as it arrived."""
        self.age_seconds += AGE_WEIGHT * (seconds - self.age_seconds)

    def record_notice(self, now, service):
        """Record a notice of another gateway about a target of a service."""
        self._rate_by_service[service].add(now)

    def expected(self, now, service):
        """Return the expected number of requests placed since the news that is here.

        >>> unseen = UnseenRequests()
        >>> for _ in range(100):
        ...     unseen.record_notice(5.0, "llm")
        >>> round(unseen.expected(5.0, "llm"), 2)
        3.0
        """
        rate = self._rate_by_service.get(service)
        return rate.per_second(now) * self.age_seconds if rate else 0.0
