"""Clock for leases and confirmations between instances."""

import time


def boottime_now():
    """Return monotonic seconds, including time during which the machine was suspended.

    Leases and confirmations must also expire while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
