"""Clocks that decisions about other instances rest on."""

import time


def boot_time():
    """Return steady seconds that also count while the machine is suspended.

    A lease or a confirmation has to run out on a machine that stood still.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
