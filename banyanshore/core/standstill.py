"""Bound the age of what a process reads after it stood still.

While a process is frozen or its machine suspended, bytes wait in the kernel's buffers,
and connections in the queue of a listener. Nothing in them says for how long.
"""

import math

# Seconds between ticks of a process that runs.
TICK_INTERVAL = 0.25
# Seconds without a tick that count as a standstill.
STANDSTILL_SECONDS = 2 * TICK_INTERVAL
# Seconds after a standstill in which bytes that waited meanwhile are read.
CATCH_UP_SECONDS = 1.0


class StandstillMonitor:
    """Tell the earliest time at which bytes that are read now can have arrived.

    All times are boot time, which goes on while the machine is suspended.

    >>> monitor = StandstillMonitor(10.0)
    >>> monitor.tick(10.25)
    >>> monitor.earliest_arrival(10.5)
    10.25
    >>> monitor.tick(16.5)
    >>> monitor.earliest_arrival(16.6)
    10.25
    >>> monitor.tick(16.75)
    >>> monitor.tick(17.0)
    >>> monitor.tick(17.25)
    >>> monitor.tick(17.5)
    >>> monitor.earliest_arrival(17.6)
    17.5
    """

    def __init__(self, now):
        self._ticked_at = now
        self._stopped_at = now
        self._resumed_at = -math.inf

    def tick(self, now):
        """Record that the process runs."""
        if now - self._ticked_at > STANDSTILL_SECONDS:
            if now - self._resumed_at > CATCH_UP_SECONDS:
                self._stopped_at = self._ticked_at
            self._resumed_at = now
        self._ticked_at = now

    def earliest_arrival(self, now):
        """Return the earliest time at which bytes that are read now can have arrived.

        Load pattern: after a freeze a process reads all requests that waited, whose
        callers have long asked another one.
        """
        if now - self._ticked_at > STANDSTILL_SECONDS:
            # The process has just resumed, and its timer hasn't run yet.
            self.tick(now)
        if now - self._resumed_at < CATCH_UP_SECONDS:
            return self._stopped_at
        return self._ticked_at
