"""Pauses that targets request in their answers, free of I/O.

Load patterns: all targets of a service leave one after the other during a burst; all of
them ask for a pause at once, repeatedly; the last remaining target leaves too. A
gateway applies a notice as soon as the head of the answer arrives, without waiting for
a heartbeat. It doesn't forward notices to other gateways: each receives its own with
its next answer, and a target that one gateway has overloaded must not become
unavailable to all of them.
"""

import math
from enum import StrEnum

from banyanshore.core.values import dataclass

# Seconds for which a pause is kept after the target's row is gone, since a delayed
# heartbeat may bring the row back for as long.
RETENTION_SECONDS = 120.0


class PauseReason(StrEnum):
    """Why a target is paused."""

    LEAVING = "leaving"
    PAUSE_REQUESTED = "asked-for-time"


@dataclass(frozen=True)
class TargetNotice:
    """Notice of a target about itself in the head of an answer.

    :param is_leaving: whether the target takes no more requests.
    :param pause_seconds: seconds for which it asks to get no requests, 0 for none.
    :param invalid_pause: text of an invalid pause, as received.
    :param per_second: requests per second that it takes from all gateways together,
        ``inf`` for any number, ``None`` if the answer doesn't tell.
    :param invalid_limit: text of an invalid limit, as received, or ``None``.
    """

    is_leaving: bool = False
    pause_seconds: float = 0.0
    invalid_pause: str = ""
    per_second: float | None = None
    invalid_limit: str | None = None


@dataclass(frozen=True)
class _Pause:
    """The pause of one incarnation of a target.

    :param until: time at which the pause ends, ``inf`` if the target leaves.
    """

    until: float
    recorded_at: float


class TargetNotices:
    """The targets that are paused at their own request.

    :param max_pause_seconds: longest pause that a target may ask for.
    """

    def __init__(self, max_pause_seconds=math.inf):
        self._max_pause_seconds = max_pause_seconds
        # Keyed by id and incarnation, since a restarted target starts without a pause.
        self._pause_by_incarnation = {}

    def record(self, now, row, notice):
        """Record a notice; return why its target is paused now.

        :param row: row of the target that sent the notice.
        :return: a :class:`PauseReason`, or ``None`` if no new pause begins.
        """
        pause = min(notice.pause_seconds, self._max_pause_seconds)
        until = math.inf if notice.is_leaving else now + pause
        if until <= max(now, self.paused_until(row)):
            return None
        was_unpaused = self.paused_until(row) <= now
        self._pause_by_incarnation[_incarnation_key(row)] = _Pause(until, now)
        if notice.is_leaving:
            return PauseReason.LEAVING
        return PauseReason.PAUSE_REQUESTED if was_unpaused else None

    def paused_until(self, row):
        """Return the time until which a target is paused, ``-inf`` without a pause."""
        stored = self._pause_by_incarnation.get(_incarnation_key(row))
        return stored.until if stored else -math.inf

    def accepts_requests(self, now, row):
        """Return whether a target is not paused."""
        return self.paused_until(row) <= now

    def first_pause_end(self, rows):
        """Return when the first of some pauses ends, ``inf`` for never."""
        return min((self.paused_until(row) for row in rows), default=math.inf)

    def keep_only(self, now, rows):
        """Forget the pauses of targets that have been unregistered for a while."""
        known = {_incarnation_key(row) for row in rows}
        for key, stored in list(self._pause_by_incarnation.items()):
            is_old = now - stored.recorded_at > RETENTION_SECONDS
            if is_old and key not in known:
                del self._pause_by_incarnation[key]


def _incarnation_key(row):
    return row.id, row.incarnation
