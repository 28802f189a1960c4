"""When a request that waits at a target with older weights is withdrawn, free of I/O.

Load pattern: new weights are pushed over the link of a target at full load, and delay
the requests behind them for more than a second, so that a request that was sent in time
begins after the bound of the rollout. The close of its connection waits on the same
link, and must arrive within the bound too.
"""

from banyanshore.core.values import dataclass

# Position of the last withdrawals between the end of the grace period, when requests
# are no longer sent to older weights, and the bound. The rest is for the close.
LATEST_POSITION = 0.5


@dataclass(frozen=True)
class WithdrawalRule:
    """The time by which a request on older weights must have begun.

    :param switch_seconds: grace period, in which requests are still sent to older
        weights.
    :param bound_seconds: time after which none may begin on them.
    """

    switch_seconds: float
    bound_seconds: float

    def seconds_left(self, newer_known_for, waited, first_byte_seconds):
        """Return the seconds until a request without an answer is withdrawn.

        The close is assumed to take as long as the request or another answer of the
        target has taken already, whichever is longer.

        :param newer_known_for: seconds since newer weights became known, ``-inf`` if
            there are none.
        :param waited: seconds since the request was sent.
        :param first_byte_seconds: time until the target begins to answer a request.

        >>> rule = WithdrawalRule(7.2, 8.0)
        >>> [round(rule.seconds_left(7.0, waited, 0.1), 2) for waited in (0, 0.4, 2)]
        [0.5, 0.3, 0.2]
        """
        sent_at = newer_known_for - waited
        latest = self.switch_seconds + LATEST_POSITION * (
            self.bound_seconds - self.switch_seconds
        )
        withdrawn_at = min(
            latest,
            self.bound_seconds - first_byte_seconds,
            # The time that it has waited then is left for the close.
            (self.bound_seconds + sent_at) / 2,
        )
        return max(self.switch_seconds, withdrawn_at) - newer_known_for
