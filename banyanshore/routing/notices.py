"""What targets say of themselves in their answers: decisions without input or output.

Load patterns: all targets of a service leave one after the other during a burst; all of
them ask for time at once, again and again; the last one that is left leaves too. A
gateway goes by what it was told itself, from the head of the answer on, and doesn't
wait for a heartbeat. It doesn't tell other gateways: each is told with its own next
answer, and the word of a target that one gateway has filled must not empty a service
for all of them.
"""

import math
from dataclasses import dataclass
from enum import StrEnum

# Seconds for which a target's word is remembered after its row is gone, as long as an
# old heartbeat may bring the row back.
REMEMBER_SECONDS = 120.0


class LeftAlone(StrEnum):
    """Why nothing is sent to a target."""

    LEAVING = "leaving"
    ASKED_FOR_TIME = "asked-for-time"


@dataclass(frozen=True)
class TargetNotice:
    """What an answer says of its target.

    :param pause_seconds: time for which it wants nothing, 0 for none.
    :param unreadable: a time that is none, as it was sent.
    """

    is_leaving: bool = False
    pause_seconds: float = 0.0
    unreadable: str = ""


@dataclass(frozen=True)
class _Word:
    """What is known of one start of a target.

    :param until: time until which nothing is sent to it, ``inf`` if it leaves.
    """

    until: float
    heard_at: float


class TargetNotices:
    """The targets that are left alone since they have said so.

    :param max_pause_seconds: longest time that a target may ask for.
    """

    def __init__(self, max_pause_seconds=math.inf):
        self._max_pause_seconds = max_pause_seconds
        # By id and incarnation: a new start says for itself.
        self._word_by_start = {}

    def record(self, now, row, notice):
        """Take what an answer said; return why its target begins to be left alone.

        :param row: row of the target that was asked.
        :return: a :class:`LeftAlone`, or ``None`` if nothing changes.
        """
        pause = min(notice.pause_seconds, self._max_pause_seconds)
        until = math.inf if notice.is_leaving else now + pause
        if until <= max(now, self.until(row)):
            return None
        was_free = self.until(row) <= now
        self._word_by_start[_start(row)] = _Word(until, now)
        if notice.is_leaving:
            return LeftAlone.LEAVING
        return LeftAlone.ASKED_FOR_TIME if was_free else None

    def until(self, row):
        """Return the time until which nothing is sent to a target."""
        word = self._word_by_start.get(_start(row))
        return word.until if word else -math.inf

    def may_ask(self, now, row):
        """Tell whether a target may be sent a request."""
        return self.until(row) <= now

    def first_free(self, rows):
        """Return when the first of some targets may be asked, ``inf`` for never."""
        return min((self.until(row) for row in rows), default=math.inf)

    def keep_only(self, now, rows):
        """Forget targets that have not been known for a while."""
        known = {_start(row) for row in rows}
        for start, word in list(self._word_by_start.items()):
            is_old = now - word.heard_at > REMEMBER_SECONDS
            if is_old and start not in known:
                del self._word_by_start[start]


def _start(row):
    return row.id, row.incarnation
