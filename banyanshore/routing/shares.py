"""Per-gateway shares of limits that apply to all gateways together.

Gateways don't count each other's requests. Each one keeps to its share of a limit,
computed from the number of gateways, so that the total limit holds even while they
can't reach each other. Load pattern: all gateways send to one target at the same time.
"""

import hashlib
import math
from collections import deque
from functools import lru_cache

# Fraction of a limit that is shared out; the rest is for a gateway that has just
# started and is not counted by the others yet.
USED_PART = 0.8
# Window in which the requests to a cold target are counted, in seconds.
COLD_WINDOW_SECONDS = 1.0


class SlidingCount:
    """Count events in a sliding window.

    :param window_seconds: length of the window.
    """

    def __init__(self, window_seconds):
        self._window = window_seconds
        self._times = deque()

    def add(self, now):
        """Count an event."""
        self._times.append(now)

    def count(self, now):
        """Return the number of events in the window that ends now."""
        while self._times and now - self._times[0] > self._window:
            self._times.popleft()
        return len(self._times)


class ColdShares:
    """Rate limit of this gateway's requests to targets in a cold start.

    :param instance: name of this gateway.
    :param overage: factor on the rate that a target declares.
    :param margin: requests per second allowed in addition.
    """

    def __init__(self, instance, overage, margin):
        self._instance = instance
        self._overage = overage
        self._margin = margin
        self._sent_by_target = {}

    def share(self, target, per_second, gateways):
        """Return the requests per second that this gateway may send to a target.

        If there are more gateways than requests, the first ones in the order of
        rendezvous hashing get one request each.

        :param per_second: rate that the target declares.
        :param gateways: names of all gateways, including this one.
        """
        limit = USED_PART * (per_second * self._overage + self._margin)
        share = int(limit / len(gateways))
        if share:
            return share
        own_score = _score(target, self._instance)
        rank = sum(_score(target, name) < own_score for name in gateways)
        return int(rank < int(limit))

    def has_room(self, now, target, per_second, gateways):
        """Return whether another request may be sent to a cold target now."""
        sent = self._sent_by_target.get(target)
        count = sent.count(now) if sent else 0
        return count < self.share(target, per_second, gateways)

    def record_sent(self, now, target):
        """Count a request to a target, cold or not: it may become cold unnoticed."""
        sent = self._sent_by_target.get(target)
        if sent is None:
            sent = self._sent_by_target[target] = SlidingCount(COLD_WINDOW_SECONDS)
        sent.add(now)

    def keep_only(self, targets):
        """Forget the counts of all other targets."""
        for target in self._sent_by_target.keys() - set(targets):
            del self._sent_by_target[target]


class RetryShare:
    """Limit of this gateway's retries at other targets, for one service.

    :param ratio: retries allowed for each request, over all gateways.
    :param burst: retries allowed in addition, over all gateways.
    :param window_seconds: window in which requests and retries are counted.
    """

    def __init__(self, ratio, burst, window_seconds):
        self._ratio = ratio
        self._burst = burst
        self._requests = SlidingCount(window_seconds)
        self._retries = SlidingCount(window_seconds)

    def record_request(self, now):
        """Count a request of a caller."""
        self._requests.add(now)

    def try_spend(self, now, gateways):
        """Count a retry if the limit allows one; return whether it does.

        :param gateways: number of gateways.
        """
        allowed = self._ratio * self._requests.count(now) + self._burst / gateways
        if self._retries.count(now) + 1 > USED_PART * allowed:
            return False
        self._retries.add(now)
        return True


@lru_cache(maxsize=100_000)
def _score(target, gateway):
    data = hashlib.blake2b(f"{target}\0{gateway}".encode(), digest_size=8).digest()
    return int.from_bytes(data, "big")


def connection_share(service, gateways):
    """Return how many connections one gateway may have to a target, at least one.

    :param service: row of the service in the desired state.
    :param gateways: number of gateways that share the target's limit.

    >>> connection_share({"max_connections": 51}, 8)
    5
    """
    bound = service.get("max_connections", 0)
    return max(1, int(USED_PART * bound / gateways)) if bound else math.inf
