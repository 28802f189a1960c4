"""A suspension of the machine, as the clocks of a process show it."""

import time


class SuspendedMachine:
    """Clocks after a suspension: only the one of boot time has gone on.

    :param monkeypatch: the fixture of pytest.
    """

    def __init__(self, monkeypatch):
        self._seconds = 0.0
        read_clock = time.clock_gettime

        def read(clock):
            suspended = self._seconds if clock == time.CLOCK_BOOTTIME else 0.0
            return read_clock(clock) + suspended

        monkeypatch.setattr(time, "clock_gettime", read)

    def suspend(self, seconds):
        """Suspend the machine for some seconds."""
        self._seconds += seconds
