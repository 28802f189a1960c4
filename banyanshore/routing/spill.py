"""Selection of the data centre that a call spills to.

Information about another data centre is as old as its last digest. A data centre that
was full then may have room again, so a call without any other place probes it: one call
at a time, with exponential backoff while probes are refused.
"""

import math

from banyanshore.core.values import dataclass

# Seconds between probes, initially and at most; doubled with each refusal.
FIRST_PROBE_SECONDS = 0.25
MAX_PROBE_SECONDS = 4.0


@dataclass(frozen=True)
class SpareCapacity:
    """Free capacity for one service in another data centre, according to its digest.

    :param free: requests that it can take, zero or less if it was full.
    """

    data_centre: str
    free: int


@dataclass(frozen=True)
class ProbeRow:
    """Backoff of the probes of full data centres, for one service.

    :param next_at: earliest time of the next probe.
    :param seconds: time between the last probe and the next.
    """

    next_at: float
    seconds: float


class SpillChooser:
    """Select among the data centres that may have room.

    :param random: source of randomness.
    """

    def __init__(self, random):
        self._random = random
        self._probe_by_service = {}
        self._probed_at = {}

    def choose(self, now, service, candidates):
        """Return the name of a data centre, or ``None`` if none may be asked now.

        :param candidates: the :class:`SpareCapacity` of each data centre with targets.
        """
        free = [candidate for candidate in candidates if candidate.free > 0]
        if free:
            names = [candidate.data_centre for candidate in free]
            weights = [candidate.free for candidate in free]
            return self._random.choices(names, weights)[0]
        if not candidates or not self._may_probe(now, service):
            return None
        return self._probe_least_recent(now, service, candidates)

    def record_served(self, service):
        """Record that a data centre served a call, which resets the backoff."""
        self._probe_by_service.pop(service, None)

    def _may_probe(self, now, service):
        row = self._probe_by_service.get(service)
        return row is None or now >= row.next_at

    def _probe_least_recent(self, now, service, candidates):
        known = self._probe_by_service.get(service)
        seconds = FIRST_PROBE_SECONDS
        if known is not None:
            seconds = min(2 * known.seconds, MAX_PROBE_SECONDS)
        self._probe_by_service[service] = ProbeRow(now + seconds, seconds)
        names = sorted(candidate.data_centre for candidate in candidates)
        self._random.shuffle(names)
        name = min(names, key=lambda item: self._last_probed_at(service, item))
        self._probed_at[(service, name)] = now
        return name

    def _last_probed_at(self, service, data_centre):
        return self._probed_at.get((service, data_centre), -math.inf)
