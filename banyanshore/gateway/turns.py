"""Wait of requests that have found no room until a target may have some."""

import time

import anyio

from banyanshore.routing.turns import TurnQueue

# Seconds after a report or a taken-back placement within which a request that waits
# tries again. All gateways hear of it at about the same time, and hear of each other's
# placements some tens of milliseconds later.
MAX_TRY_DELAY = 0.06


class WaitingRequest:
    """The wait of one request; its turn comes as often as there may be room."""

    def __init__(self):
        self._woken = anyio.Event()
        # Needs for which no room was found since the last place became free.
        self.full_needs = frozenset()
        self.is_turned_away = False

    @property
    def is_woken(self):
        """Return whether its turn has come."""
        return self._woken.is_set()

    def wake(self, full_needs):
        """Let it try again, or end its wait if there are no needs."""
        if full_needs is None:
            self.is_turned_away = True
        else:
            self.full_needs = full_needs
        self._woken.set()

    async def wait(self, seconds):
        """Return whether its turn has come within some seconds."""
        with anyio.move_on_after(seconds):
            await self._woken.wait()
        is_woken = self.is_woken and not self.is_turned_away
        self._woken = anyio.Event()
        return is_woken


class TurnExchange:
    """The requests that wait at this gateway, and the events that may bring room.

    :param rng: source of the jitter.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    """

    def __init__(self, rng, metrics):
        self.queue = TurnQueue()
        self._rng = rng
        self._metrics = metrics
        self._has_news = anyio.Event()

    def record_news(self):
        """Record that another gateway or a target has told of room."""
        if len(self.queue):
            self._has_news.set()

    def record_end(self, service, workspace):
        """Record that a request has left a target, and pass its place on."""
        self.queue.record_end(time.monotonic(), service, workspace)
        self.queue.wake_next(service)

    def record_outcome(self, rank, outcome):
        """Count a wait that has ended."""
        self._metrics.waits.labels(rank.position, outcome).inc()

    async def run(self):
        """Let requests try again after news, until cancelled."""
        while True:
            await self._has_news.wait()
            await anyio.sleep(self._rng.uniform(0, MAX_TRY_DELAY))
            self._has_news = anyio.Event()
            for service in self.queue.services():
                self.queue.wake_next(service)
