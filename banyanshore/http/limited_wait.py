"""Wait for callers no longer than the limits in force say."""

import math

import anyio


class LimitedWait:
    """A wait whose limit may change while it lasts.

    :param get_seconds: callable that returns the current limit in seconds.
    :ivar scope: the :class:`anyio.CancelScope` of the wait.
    """

    def __init__(self, get_seconds):
        self._get_seconds = get_seconds
        self._began_at = anyio.current_time()
        self._ends_by = math.inf
        self.scope = anyio.CancelScope()
        self.renew()

    def renew(self):
        """Apply the current limit."""
        ends_at = self._began_at + self._get_seconds()
        self.scope.deadline = min(ends_at, self._ends_by)

    def restart(self):
        """Count the limit from now on."""
        self._began_at = anyio.current_time()
        self.renew()

    def shorten(self, seconds):
        """End the wait within some seconds, whatever its limit."""
        self._ends_by = min(self._ends_by, anyio.current_time() + seconds)
        self.renew()
