"""The gateways that share a limit, as seen by one of them.

Load pattern: gateways that are cut off, or have just started, send to the same cold
target as gateways that don't know of them. A gateway that is no longer visible is
counted for a while, since it may be cut off and still use its share. A gateway that has
just started can't know of those that were cut off before, so it assumes as many as
control or any other gateway has counted recently.
"""

import math
from collections import deque
from functools import lru_cache

# Seconds for which a gateway that is no longer visible keeps its share of limits;
# network partitions between data centres rarely last longer, and the unused part of the
# limits covers those that do.
MEMORY_SECONDS = 60.0
# Minimum number of gateways assumed for that time after a gateway's own start, since
# control may have restarted as well and know of no others: more than most deployments
# have.
START_GATEWAYS = 16
# Minimum number of gateways assumed until this one has been in contact with control for
# some seconds, in which control learns of others that start at the same time: a share
# of one request per second for a typical target.
SETTLING_GATEWAYS = 48
SETTLING_SECONDS = 2.5


class FleetSize:
    """Sliding maximum of the number of gateways, as reported to control."""

    def __init__(self):
        # Pairs of time and count, with decreasing counts.
        self._counts = deque()

    def record(self, now, count):
        """Record the number of gateways that a gateway or control counts."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def max_count(self, now):
        """Return the largest number recorded within ``MEMORY_SECONDS``."""
        while self._counts and now - self._counts[0][0] > MEMORY_SECONDS:
            self._counts.popleft()
        return self._counts[0][1] if self._counts else 0


class GatewayRoster:
    """The gateways that limits are shared among.

    :param instance: name of this gateway.
    :param started_at: monotonic time of its start.
    """

    def __init__(self, instance, started_at):
        self._instance = instance
        self._started_at = started_at
        self._seen_at = {}
        self._reported_fleet_size = 0
        self._first_contact_at = math.inf
        self._is_settled = False

    def record_contact(self, now):
        """Record an answer of control."""
        self._first_contact_at = min(self._first_contact_at, now)
        if now - self._first_contact_at >= SETTLING_SECONDS:
            self._is_settled = True

    def record_fleet_size(self, count):
        """Record the recent number of gateways that control reports."""
        self._reported_fleet_size = max(self._reported_fleet_size, count)

    def names(self, now, registered):
        """Return the names of the gateways that share limits, including this one.

        :param registered: names of the gateways that are registered now.
        """
        for name in (self._instance, *registered):
            self._seen_at[name] = now
        for name, seen_at in list(self._seen_at.items()):
            if now - seen_at > MEMORY_SECONDS:
                del self._seen_at[name]
        return self._seen_at.keys()

    def padded_names(self, now, names):
        """Return the names to share a limit among that must never be exceeded.

        For a while after the start, placeholders stand for gateways that may exist but
        are not known yet.

        :param names: result of :meth:`names`.
        """
        minimum = START_GATEWAYS if self._is_settled else SETTLING_GATEWAYS
        missing = max(minimum, self._reported_fleet_size) - len(names)
        if now - self._started_at > MEMORY_SECONDS or missing <= 0:
            return names
        return {*names, *_placeholder_names(missing)}


@lru_cache
def _placeholder_names(count):
    """Return placeholder names for assumed gateways."""
    return tuple(f"not heard of {number}" for number in range(count))
