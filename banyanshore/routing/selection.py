"""Target selection by power of two choices, with affinity for prompt prefixes.

Sources: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001);
Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads" (2018).
"""

import math
from collections import Counter

from banyanshore.core.values import dataclass
from banyanshore.membership.rendezvous import rank_score

# Maximum load of a prefix's home target, as a multiple of the mean load, up to which
# requests with the prefix go there.
PREFIX_LOAD_FACTOR = 1.25
# Consecutive failures after which a target is ejected for a while, and for how long.
FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 30.0
# Fraction of the targets that exclusive requests may use.
EXCLUSIVE_SHARE = 0.25
# Assumed duration of a request at a target that has reported none, in seconds.
DEFAULT_SERVICE_SECONDS = 1.0


@dataclass(frozen=True)
class SelectionCriteria:
    """Criteria for selecting a target.

    :param prefix: key shared by requests with the same prompt prefix, empty for none.
    :param excluded: instances that have refused or failed this request.
    :param exclusive: key of a request that must run alone, empty for others. All
        entries select the same target for it, so that copies of it go to one target.
    """

    service: str
    prefix: str = ""
    excluded: frozenset = frozenset()
    exclusive: str = ""


@dataclass(frozen=True)
class FailureRow:
    """Consecutive failures of one target."""

    count: int
    ejected_until: float


class Selector:
    """Select among the serving targets of this data centre.

    :param targets: the :class:`~banyanshore.membership.targets.TargetTable`.
    :param random: source of randomness.
    """

    def __init__(self, targets, random):
        self._targets = targets
        self._random = random
        # This entry's requests in flight, by target.
        self.own_in_flight = Counter()
        # Time until which a target that refused a request as full gets no others.
        self._full_until = {}
        self._failures = {}

    def choose(self, now, criteria, is_allowed):
        """Return the report of the selected target, or ``None`` if none has room.

        :param is_allowed: function that returns whether the target of a report may get
            new requests.
        """
        rows = [
            row.report
            for row in self._targets.iter_serving(now, criteria.service)
            if row.report.instance not in criteria.excluded and is_allowed(row.report)
        ]
        if criteria.exclusive:
            return self._choose_exclusive(rows, criteria.exclusive)
        # Failing targets are ejected unless there are no others: a request waits for a
        # target that answers rather than fail.
        rows = [row for row in rows if not self._is_failing(now, row)] or rows
        available = [row for row in rows if self._has_room(now, row)]
        if not available:
            return None
        if criteria.prefix:
            home = self._prefix_home(available, criteria.prefix)
            if home is not None:
                return home
        return self._better_of_two(available)

    def record_full(self, now, instance, retry_after):
        """Skip a target for ``retry_after`` seconds, since it refused as full."""
        self._full_until[instance] = now + retry_after

    def record_outcome(self, now, instance, succeeded):
        """Record whether a target answered a request, and eject it if it keeps failing.

        Consecutive failures double the ejection time up to its maximum.
        """
        if succeeded:
            self._failures.pop(instance, None)
            return
        known = self._failures.get(instance)
        count = known.count + 1 if known else 1
        steps = max(0, count - FAILURES_TO_EJECT)
        seconds = min(EJECTION_SECONDS * 2**steps, MAX_EJECTION_SECONDS)
        self._failures[instance] = FailureRow(count, now + seconds)

    def record_end(self, instance):
        """Record the end of a request that this entry sent to a target."""
        self.own_in_flight[instance] -= 1
        if self.own_in_flight[instance] <= 0:
            del self.own_in_flight[instance]
        self._full_until.pop(instance, None)

    def estimated_load(self, report):
        """Return the estimated number of requests in flight at a target."""
        return max(report.in_flight, self.own_in_flight[report.instance])

    def _is_failing(self, now, report):
        row = self._failures.get(report.instance)
        if row is None or row.count < FAILURES_TO_EJECT:
            return False
        # After the ejection, one request at a time probes whether it answers again.
        return now < row.ejected_until or self.own_in_flight[report.instance] > 0

    def _has_room(self, now, report):
        if self._full_until.get(report.instance, -math.inf) > now:
            return False
        return self.estimated_load(report) < report.limit

    def _expected_wait(self, report):
        seconds = report.service_seconds or DEFAULT_SERVICE_SECONDS
        return (self.estimated_load(report) + 1) / report.limit * seconds

    def _better_of_two(self, rows):
        if len(rows) > 2:
            rows = self._random.sample(rows, 2)
        return min(rows, key=self._expected_wait)

    def _prefix_home(self, rows, prefix):
        home = max(rows, key=lambda row: rank_score(prefix, row.instance))
        mean = sum(self.estimated_load(row) / row.limit for row in rows) / len(rows)
        load = (self.estimated_load(home) + 1) / home.limit
        allowed = PREFIX_LOAD_FACTOR * (mean + 1 / home.limit)
        return home if load <= allowed else None

    def _choose_exclusive(self, rows, key):
        count = max(1, math.floor(len(rows) * EXCLUSIVE_SHARE))
        ranked = sorted(rows, key=lambda row: -rank_score("exclusive", row.instance))
        return max(
            ranked[:count],
            key=lambda row: rank_score(key, row.instance),
            default=None,
        )
