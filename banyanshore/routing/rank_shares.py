"""How often requests of each urgency have lately found room, free of I/O.

Load pattern: more urgent requests alone ask for all that the targets can serve, for
longer than a burst. Less urgent ones would get nothing.
"""

import math

from banyanshore.core.values import dataclass

# Half-life of the counts, in seconds: several bursts of arrivals at one gateway, though
# shorter than most bursts of load.
HALF_LIFE_SECONDS = 4.0
# A kind of request is starved if it finds room less often than this fraction of how
# often all requests of the service do.
STARVED_PART = 0.5


@dataclass
class FadingCount:
    """Requests, and those that have found room; older ones count for less."""

    asked: float = 0.0
    found: float = 0.0
    counted_at: float = -math.inf

    def add(self, now, asked, found):
        """Add requests to the counts."""
        if self.counted_at > -math.inf:
            factor = 0.5 ** ((now - self.counted_at) / HALF_LIFE_SECONDS)
            self.asked *= factor
            self.found *= factor
        self.counted_at = now
        self.asked += asked
        self.found += found

    @property
    def part(self):
        """Return the fraction that has found room, 1 if nothing was asked for."""
        return self.found / self.asked if self.asked else 1.0


class RankShares:
    """Counts of the requests of one gateway, by service and urgency."""

    def __init__(self):
        self._count_by_key = {}
        self._count_by_service = {}

    def record(self, now, service, urgency, asked=0, found=0):
        """Record requests, and how many have found room.

        :param urgency: hashable value that is equal for equally urgent requests.
        """
        own = self._count_by_key.setdefault((service, urgency), FadingCount())
        own.add(now, asked, found)
        total = self._count_by_service.setdefault(service, FadingCount())
        total.add(now, asked, found)

    def is_starved(self, service, urgency):
        """Return whether requests find room much less often than others do."""
        own = self._count_by_key.get((service, urgency))
        total = self._count_by_service.get(service)
        return own is not None and own.part < STARVED_PART * total.part
