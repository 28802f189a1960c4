"""How long ago a follower's desired state was surely the newest.

Load pattern: a key is revoked while a gateway is cut off, its questions or the answers
are late, its machine is suspended, or the control instance that it asks has lost its
majority. What the answer says held at some moment after the question was sent, so time
is counted from the question.
"""

from dataclasses import dataclass
from enum import Enum


class ConfirmationStatus(Enum):
    """What an answer to a question about the state means."""

    # The state held here was the newest when the question was sent.
    CURRENT = "current"
    # A newer one is on its way here.
    BEHIND = "behind"
    # The control instance can't tell.
    UNKNOWN = "unknown"


@dataclass
class StateLease:
    """Time since the state held here was surely the newest.

    Times are seconds of a clock that goes on while the machine is suspended.

    :ivar confirmed_at: time of the newest question that confirmed the state, ``-inf``
        before the first.
    """

    confirmed_at: float = float("-inf")

    def record_answer(self, sent_at, held_version, latest_version, is_current):
        """Take an answer; return what it means.

        :param sent_at: time at which the question was sent.
        :param held_version: version held here now.
        :param latest_version: newest version that control knows of.
        :param is_current: whether a majority confirmed that after the question.
        """
        if not is_current:
            return ConfirmationStatus.UNKNOWN
        if held_version < latest_version:
            return ConfirmationStatus.BEHIND
        self.confirmed_at = max(self.confirmed_at, sent_at)
        return ConfirmationStatus.CURRENT

    def seconds_ago(self, now):
        """Return how long ago the state was surely the newest."""
        return now - self.confirmed_at
