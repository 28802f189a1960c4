"""Clock for leases, confirmations and the ages of model versions."""

import time


def boottime_now():
    """Return monotonic seconds, including time during which the machine was suspended.

    Leases, confirmations and grace periods must also expire during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
