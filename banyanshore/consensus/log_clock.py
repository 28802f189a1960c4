"""The log time, by which idempotency keys and load permits expire.

Wall clocks differ between instances, and a clock that is hours ahead would expire keys
and permits too early. The log time adds the seconds that pass on the leader's monotonic
clock to the latest log time that was applied before: it never runs faster than real
time, and it stops while there is no leader.
"""

from banyanshore.core.values import dataclass


@dataclass(frozen=True)
class ClockBase:
    """A reading of the leader's clock and the log time at that moment.

    :param term: term in which this member leads.
    :param monotonic: reading of the leader's monotonic clock, in seconds.
    :param log_time: log time, in seconds.
    """

    term: int
    monotonic: float
    log_time: float


class LogClock:
    """Compute the log time at a leader; deterministic, without I/O."""

    def __init__(self):
        self._base = ClockBase(-1, 0.0, 0.0)

    def read(self, now, term, applied):
        """Return the log time for a command that is proposed now.

        :param now: monotonic seconds of this member.
        :param term: term in which this member leads.
        :param applied: log time of the last command that was applied here.
        """
        base = self._base
        elapsed = now - base.monotonic
        if term != base.term or applied > base.log_time + elapsed:
            # Commands of an earlier leader may be applied only after the first
            # reading in this term.
            self._base = ClockBase(term, now, applied)
            return applied
        return base.log_time + elapsed
