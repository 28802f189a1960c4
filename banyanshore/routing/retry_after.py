"""Retry-After times of refused requests, free of I/O.

Load pattern: a burst, or an outage of the targets, lasts for some seconds, and callers
retry once. A retry after some tenths of a second falls into the same burst, fails for
good and takes capacity from others; a retry after seconds succeeds. The times are
jittered, so that callers refused together don't retry together, and are short enough
for the answer to arrive in time. More urgent callers that found no room are told to
retry earlier, when there are fewer others. While weights are on their way to most
targets, callers are sent to the time at which these serve, see
:mod:`~banyanshore.routing.returning`.
"""

import math
from enum import StrEnum
from types import MappingProxyType

from banyanshore.core.values import dataclass
from banyanshore.routing.ranks import ONLY_RANK
from banyanshore.routing.returning import Returning

# Maximum delay of a retry as a fraction of the caller's remaining time; the rest is for
# the answer.
MAX_DELAY_PART = 0.33
# Part of the range of delays over which the callers of one rank are spread.
RANK_PART = 0.5


class Reason(StrEnum):
    """Why a gateway refuses a request that has not run."""

    NO_TARGET = "no-target"
    NO_WEIGHTS = "no-weights"
    FULL = "full"
    COLD = "cold"
    TARGET_REFUSED = "target-refused"
    NO_STATE = "no-state"
    CUT_OFF = "cut-off"
    LEAVING = "leaving"
    CRASHES_TARGETS = "crashes-targets"
    SUSPECTED = "suspected"
    TARGETS_PAUSED = "targets-asked-for-time"
    TARGETS_LIMITED = "targets-limited"
    TOO_LARGE = "larger-than-memory"


@dataclass(frozen=True)
class Span:
    """Range from which the delay of a retry is drawn uniformly, in seconds."""

    earliest: float
    latest: float

    def of_rank(self, rank):
        """Return the part of the range for callers of a rank.

        >>> from banyanshore.routing.ranks import Rank
        >>> Span(0.8, 2.0).of_rank(Rank(2, 3)), Span(0.8, 2.0).of_rank(Rank())
        (Span(earliest=1.4, latest=2.0), Span(earliest=0.8, latest=2.0))
        """
        if rank.count == 1:
            return self
        width = RANK_PART * (self.latest - self.earliest)
        first = self.latest - width - self.earliest
        earliest = self.earliest + first * rank.position / (rank.count - 1)
        return Span(earliest, earliest + width)


SPAN_BY_REASON = MappingProxyType(
    {
        # Time for a target to restart and register, or to load weights that are already
        # on its machine.
        Reason.NO_TARGET: Span(1.0, 2.0),
        Reason.NO_WEIGHTS: Span(1.0, 2.0),
        # A burst lasts for seconds.
        Reason.FULL: Span(0.8, 2.0),
        Reason.TARGET_REFUSED: Span(0.8, 2.0),
        # The rate limits of cold targets are counted per second.
        Reason.COLD: Span(0.4, 1.2),
        # A gateway without any state receives requests only if all gateways have
        # restarted; control then has to elect a leader first.
        Reason.NO_STATE: Span(1.5, 2.5),
        # Other gateways can serve the request at once.
        Reason.CUT_OFF: Span(0.1, 0.3),
        Reason.LEAVING: Span(0.02, 0.1),
        # Added to the time at which the first pause ends, which all callers get.
        Reason.TARGETS_PAUSED: Span(0.0, 1.0),
        # Added to the time at which the first target has room within its limit.
        Reason.TARGETS_LIMITED: Span(0.0, 1.0),
        # Targets with more memory, or weights with fewer layers, come after minutes.
        Reason.TOO_LARGE: Span(60.0, 60.0),
        # The first refusal period of a request that crashes targets.
        Reason.CRASHES_TARGETS: Span(60.0, 60.0),
        # A suspected part of prompts is proven or cleared within a second or two.
        Reason.SUSPECTED: Span(1.0, 2.0),
    }
)


# Refusals that targets without weights may cause.
WEIGHTS_REASONS = frozenset({Reason.NO_WEIGHTS, Reason.FULL})
NONE_RETURNING = Returning()


def _longest_delay(seconds_left):
    return max(0.0, MAX_DELAY_PART * seconds_left)


def retry_after_seconds(
    reason,
    seconds_left,
    rng,
    available_in=0.0,
    rank=ONLY_RANK,
    returning=NONE_RETURNING,
):
    """Return the seconds after which a refused caller should retry.

    :param seconds_left: time for which the caller still waits, ``inf`` if unknown.
    :param rng: random source of the jitter.
    :param available_in: seconds until any target accepts requests; earlier retries
        would fail.
    :param rank: the :class:`~banyanshore.routing.ranks.Rank` of the request.
    :param returning: the :class:`~banyanshore.routing.returning.Returning` targets.
    """
    span = SPAN_BY_REASON[reason]
    if reason in WEIGHTS_REASONS and returning.is_expected:
        return returning.draw_seconds(rng, _longest_delay(seconds_left), rank)
    if reason is Reason.FULL:
        span = span.of_rank(rank)
    seconds = rng.uniform(span.earliest, span.latest)
    if available_in:
        return available_in + seconds
    longest = _longest_delay(seconds_left)
    if seconds <= longest or longest == math.inf:
        return seconds
    # Jitter the shortened delay too, rather than let all retries come at its end.
    return longest * rng.uniform(span.earliest / span.latest, 1.0)
