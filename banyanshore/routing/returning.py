"""When targets without usable weights serve again, for refused callers; free of I/O.

Load pattern: at the end of a grace period the new weights are still on their way to
most targets, and requests are refused. Callers that come back at the first moment
overrun the first targets that are ready, and most of them come back only once. New
requests take most of the places, so that those refused before find some the more often
the later they come. Loaders report when they expect their targets to serve; callers are
sent to the time at which most do, and spread over about as long as they had to wait.
"""

import math

from banyanshore.core.values import dataclass
from banyanshore.routing.ranks import ONLY_RANK

# Fraction of the targets of a service from which on refusals don't count as caused by
# missing weights.
MOST_TARGETS_PART = 0.9
# Seconds over which callers are spread at least once most targets serve.
SETTLE_SECONDS = 1.0
# Callers that can't come back as late as most targets serve come back in this last part
# of the time that they can.
OUT_OF_REACH_PART = 0.2
# Part of the time of return over which the callers of one rank are spread.
RANK_PART = 0.5


@dataclass(frozen=True)
class Returning:
    """Targets of a service, by when they serve.

    :param serving: number of targets that serve now.
    :param ready_in: seconds until each of the others is expected to serve, ``inf``
        where it isn't known.
    """

    serving: int = 0
    ready_in: tuple = ()

    @property
    def first(self):
        """Return the seconds until the first target is ready, ``inf`` if unknown."""
        return min(self.ready_in, default=math.inf)

    @property
    def is_expected(self):
        """Return whether most targets lack weights, and the return of some is known."""
        total = self.serving + len(self.ready_in)
        return self.first < math.inf and self.serving < MOST_TARGETS_PART * total

    def seconds_until_most(self):
        """Return the seconds until most targets serve, as far as their times are known.

        >>> Returning(1, (0.5, 1.0, 2.0, 9.0)).seconds_until_most()
        9.0
        >>> Returning(0, (0.5, math.inf)).seconds_until_most()
        0.5
        """
        total = self.serving + len(self.ready_in)
        needed = math.ceil(MOST_TARGETS_PART * total) - self.serving
        known = sorted(seconds for seconds in self.ready_in if seconds < math.inf)
        return known[: max(1, needed)][-1]

    def describe(self):
        """Return the log fields, empty if callers return as usual."""
        if not self.is_expected:
            return {}
        return {
            "targets_serving": self.serving,
            "targets_awaited": len(self.ready_in),
            "first_ready_in": round(self.first, 2),
            "most_ready_in": round(self.seconds_until_most(), 2),
        }

    def draw_seconds(self, rng, longest, rank=ONLY_RANK):
        """Return the seconds after which a caller should retry.

        :param longest: most seconds that leave time for the answer, ``inf`` if unknown.
        :param rank: the :class:`~banyanshore.routing.ranks.Rank` of the request.
        """
        most = max(0.0, self.seconds_until_most())
        start = min(most, (1 - OUT_OF_REACH_PART) * longest)
        end = min(longest, 2 * most + SETTLE_SECONDS)
        width = end - start
        # While places are still rare, none has a better chance by coming earlier.
        if rank.count > 1 and start == most:
            earlier = (1 - RANK_PART) * width
            start += earlier * rank.position / (rank.count - 1)
            width *= RANK_PART
        return start + rng.uniform(0.0, width)
