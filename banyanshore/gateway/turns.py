"""Wait of requests that have found no room until a target may have some."""

import math
import time

import anyio

from banyanshore.core.groups import open_task_group
from banyanshore.routing.board import NoChoice
from banyanshore.routing.retry_after import Reason
from banyanshore.routing.turns import TurnQueue

# Seconds after a report, a taken-back placement, or the time at which a target has read
# its prompts, within which a request that waits tries again. All gateways hear of it or
# expect it at about the same time, and hear of each other's placements some tens of
# milliseconds later.
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
        # Times at which targets are expected to have room, by service.
        self._room_at_by_service = {}
        self._expects_room = anyio.Event()

    def expect_room(self, service, seconds):
        """Let requests try again when a target is expected to have room.

        :param seconds: seconds until then, ``inf`` if unknown.
        """
        delay = seconds + self._rng.uniform(0, MAX_TRY_DELAY)
        room_at = time.monotonic() + delay
        if room_at < self._room_at_by_service.get(service, math.inf):
            self._room_at_by_service[service] = room_at
            self._expects_room.set()

    def record_news(self):
        """Record that another gateway or a target has told of room."""
        if len(self.queue):
            self._has_news.set()

    def record_room(self, service):
        """Record that a target may have room, of which only this gateway knows."""
        self.queue.wake_next(service)

    def record_end(self, service, workspace):
        """Record that a request has left a target, and pass its place on."""
        self.queue.record_end(time.monotonic(), service, workspace)
        self.queue.wake_next(service)

    def record_outcome(self, rank, outcome):
        """Count a wait that has ended."""
        self._metrics.waits.labels(rank.position, outcome).inc()

    async def run(self):
        """Let requests try again when there may be room, until cancelled."""
        async with open_task_group() as tasks:
            tasks.start_soon(self._try_after_news)
            tasks.start_soon(self._try_when_expected)

    async def _try_when_expected(self):
        while True:
            next_at = min(self._room_at_by_service.values(), default=math.inf)
            with anyio.move_on_after(max(0.0, next_at - time.monotonic())):
                await self._expects_room.wait()
            self._expects_room = anyio.Event()
            now = time.monotonic()
            for service, room_at in list(self._room_at_by_service.items()):
                if room_at <= now:
                    del self._room_at_by_service[service]
                    self.queue.wake_next(service)

    async def _try_after_news(self):
        while True:
            await self._has_news.wait()
            await anyio.sleep(self._rng.uniform(0, MAX_TRY_DELAY))
            self._has_news = anyio.Event()
            for service in self.queue.services():
                self.queue.wake_next(service)


class RoomWait:
    """Find room for one request, after a wait if need be.

    :param turns: the :class:`TurnExchange`.
    :param choose: callable that returns a :class:`~banyanshore.routing.board.Choice` or
        :class:`~banyanshore.routing.board.NoChoice`.
    :ivar seconds: seconds for which the request has waited.
    """

    def __init__(self, turns, choose):
        self.seconds = 0.0
        self._turns = turns
        self._queue = turns.queue
        self._choose = choose
        # Needs of others for which no room was found when its turn came, ``None`` if
        # it has not waited.
        self._full_needs = None

    async def find(self, turn, waiting):
        """Return a choice, after a wait if there is no room or others go before.

        :param turn: the :class:`~banyanshore.routing.turns.Turn` of the request.
        :param waiting: the :class:`WaitingRequest` that the turn wakes.
        """
        queue = self._queue
        must_queue = queue.goes_before(turn)
        choice = NoChoice(Reason.FULL) if must_queue else self._choose()
        if not _is_full(choice):
            return choice
        began_at = time.monotonic()
        outcome = "caller left"
        try:
            if not queue.add(began_at, turn):
                outcome = "refused at once"
                return choice
            if must_queue:
                queue.wake_next(turn.service)
            choice = await self._wait(turn, waiting, choice)
            has_found = not _is_full(choice)
            queue.record_wait(time.monotonic(), turn, has_found)
            outcome = "ended" if has_found else "refused"
            return choice
        finally:
            self.seconds += time.monotonic() - began_at
            queue.discard(turn)
            if waiting.is_woken:
                # Its turn has come too late.
                queue.wake_next(turn.service)
            self._turns.record_outcome(turn.rank, outcome)

    async def _wait(self, turn, waiting, choice):
        """Return a choice other than that all targets are full, or the last one."""
        self._turns.expect_room(turn.service, choice.room_in)
        while await waiting.wait(turn.ends_at - time.monotonic()):
            choice = self._choose()
            if not _is_full(choice):
                self._full_needs = waiting.full_needs
                break
            self._turns.expect_room(turn.service, choice.room_in)
            self._queue.wake_next(turn.service, waiting.full_needs | {turn.needs})
        return choice

    def record_begin(self, service, workspace):
        """Count an offer of the request, and let others that wait try again."""
        self._queue.record_begin(service, workspace)
        if self._full_needs is not None:
            self._queue.wake_next(service, self._full_needs)
            self._full_needs = None


def _is_full(choice):
    return isinstance(choice, NoChoice) and choice.reason is Reason.FULL
