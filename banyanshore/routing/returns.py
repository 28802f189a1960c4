"""When a caller who is refused is told to come back: decisions without input or output.

Load pattern: a burst, or an outage of the targets, that lasts for some seconds, and
callers who come back once. One who returns after some tenths of a second meets the
same burst, is refused for good and takes room from others; one who returns after
seconds is served. Returns are spread, so that those refused together don't meet again,
and come early enough for the answer to arrive in time.
"""

import math
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

# Part of the time that a caller has left which its return may take at most: the rest
# is for the answer.
LEFT_PART = 0.33


class Reason(StrEnum):
    """Why a request is refused without having run."""

    NO_TARGET = "no-target"
    NO_WEIGHTS = "no-weights"
    FULL = "full"
    COLD = "cold"
    TARGET_REFUSED = "target-refused"
    NO_STATE = "no-state"
    CUT_OFF = "cut-off"
    LEAVING = "leaving"
    CRASHES_TARGETS = "crashes-targets"
    TARGETS_ASKED_FOR_TIME = "targets-asked-for-time"


@dataclass(frozen=True)
class Span:
    """Times between which a return is spread evenly, in seconds."""

    earliest: float
    latest: float


SPAN_BY_REASON = MappingProxyType(
    {
        # A target restarts and registers, or loads weights that lie beside it.
        Reason.NO_TARGET: Span(1.0, 2.0),
        Reason.NO_WEIGHTS: Span(1.0, 2.0),
        # A burst lasts for seconds.
        Reason.FULL: Span(0.8, 2.0),
        Reason.TARGET_REFUSED: Span(0.8, 2.0),
        # The next second has room again.
        Reason.COLD: Span(0.4, 1.2),
        # A gateway without any state gets callers only when all of them have started
        # again: control first has to find its leader.
        Reason.NO_STATE: Span(1.5, 2.5),
        # Other gateways can serve the request at once.
        Reason.CUT_OFF: Span(0.1, 0.3),
        Reason.LEAVING: Span(0.02, 0.1),
        # After the first target may be asked again, which all learn at once.
        Reason.TARGETS_ASKED_FOR_TIME: Span(0.0, 1.0),
        # As long as it is remembered.
        Reason.CRASHES_TARGETS: Span(60.0, 60.0),
    }
)


def return_seconds(reason, seconds_left, rng, free_in=0.0):
    """Return the seconds after which a refused caller is to come back.

    :param seconds_left: time for which the caller still waits, ``inf`` if unknown.
    :param rng: source of the spread.
    :param free_in: seconds before which nobody can be served; a caller who is told less
        comes back in vain.
    """
    span = SPAN_BY_REASON[reason]
    seconds = rng.uniform(span.earliest, span.latest)
    if free_in:
        return free_in + seconds
    longest = max(0.0, LEFT_PART * seconds_left)
    if seconds <= longest or longest == math.inf:
        return seconds
    # Spread as well: a part of what is left rather than all at its end.
    return longest * rng.uniform(span.earliest / span.latest, 1.0)
