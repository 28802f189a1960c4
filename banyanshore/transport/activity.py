"""What the connections of a process share: bytes counted, and a timer."""

import logging

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.values import dataclass

logger = logging.getLogger(__name__)

# Seconds by which a timer may be late before that is logged.
MAX_TIMER_DELAY = 0.25


@dataclass
class ByteCounter:
    """Total bytes sent and received on all connections of this process."""

    sent: int = 0
    received: int = 0


byte_counter = ByteCounter()


class HeartbeatTicker:
    """Send the heartbeats of all connections of a process from one timer.

    One shared timer wakes up the process less often than one for each connection.

    :param interval: seconds between ticks.
    """

    def __init__(self, interval):
        self.connections = set()
        self._interval = interval

    async def run(self):
        """Tick all connections until cancelled."""
        while True:
            slept_at = boottime_now()
            await anyio.sleep(self._interval)
            late_by = boottime_now() - slept_at - self._interval
            if late_by > MAX_TIMER_DELAY:
                # The event loop was busy, or the process or its machine stood still.
                logger.warning("timer late", extra={"late_ms": round(late_by * 1000)})
            for connection in list(self.connections):
                connection.tick()
