"""Lease on a follower's desired state: the time since it was last known to be current.

Load pattern: a key is revoked while a gateway is partitioned, its confirm requests or
the answers are delayed, its machine is suspended, or the control instance that it asks
has lost its quorum. An answer was true at some time after the request was sent, so the
lease is counted from the sending of the request.
"""

from enum import Enum

from banyanshore.core.values import dataclass


class ConfirmationStatus(Enum):
    """The outcome of a request to confirm the desired state."""

    # The held state was current when the request was sent.
    CURRENT = "current"
    # Control has a newer state, which it sends separately.
    BEHIND = "behind"
    # The control instance could not determine the current state.
    UNKNOWN = "unknown"


@dataclass
class StateLease:
    """Track the time since the held state was last confirmed as current.

    Times are seconds of a clock that keeps running while the machine is suspended.

    :ivar confirmed_at: time at which the latest successful confirm request was sent,
        ``-inf`` before the first.
    :ivar latest_version: latest version that a quorum is known to have accepted.
    """

    confirmed_at: float = float("-inf")
    latest_version: int = 0

    def record_answer(self, sent_at, held_version, latest_version, is_current):
        """Record an answer; return the :class:`ConfirmationStatus`.

        :param sent_at: time at which the request was sent.
        :param held_version: version that the follower holds now.
        :param latest_version: latest version that control knows.
        :param is_current: whether a quorum confirmed ``latest_version`` after the
            request was sent.
        """
        if not is_current:
            return ConfirmationStatus.UNKNOWN
        self.latest_version = max(self.latest_version, latest_version)
        if held_version < latest_version:
            return ConfirmationStatus.BEHIND
        self.confirmed_at = max(self.confirmed_at, sent_at)
        return ConfirmationStatus.CURRENT

    def seconds_ago(self, now):
        """Return the seconds since the state was last confirmed as current."""
        return now - self.confirmed_at
