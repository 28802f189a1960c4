"""Gateways in this process in front of targets that a request can crash."""

import contextlib
import socket
import time
from dataclasses import dataclass

import anyio

from banyanshore.membership.registry import TargetRow
from tests.gateway.deployment import COMPLETE, make_request
from tests.gateway.fleet import GatewayFleet
from tests.http.raw import reset
from tests.ports import free_ports

# Part of a prompt that crashes targets.
CRASHING_PART = b"dead:"
POISON = make_request("POST", body=b"poison")
HARMLESS = make_request("POST", body=b"sound")


@dataclass(frozen=True)
class Arrival:
    """A request that a target has read.

    :param at: monotonic time at which it was read.
    """

    at: float
    target: int
    service: str
    is_poison: bool


class CrashingTarget:
    """A target that crashes with all its requests when it runs the poisoned one.

    :param fleet: the :class:`CrashingFleet` that it belongs to.
    :param down_seconds: time until it is back, ``inf`` for never.
    :param is_silent: whether its connections hang, like those of a machine without
        power, instead of being reset.
    :param is_cut_off: whether it comes back with the same incarnation, as after a
        network partition.
    """

    def __init__(self, fleet, number, service, down_seconds, is_silent, is_cut_off):
        self.number = number
        self.service = service
        self.incarnation = 1
        self._fleet = fleet
        self._down_seconds = down_seconds
        self._is_silent = is_silent
        self._is_cut_off = is_cut_off
        (self._port,) = free_ports(1)
        self._crashed = anyio.Event()

    def row(self):
        """Return its row in the registry."""
        return TargetRow(
            f"i-{self.number}-{self.incarnation}", self.service,
            f"127.0.0.1:{self._port}", "dc", "v1", 16, "ready", 0.0,
            self.incarnation, 1,
        )  # fmt: skip

    async def run(self, *, task_status):
        """Serve, crash and come back until cancelled."""
        while True:
            self._crashed = anyio.Event()
            async with anyio.create_task_group() as tasks:
                # The port of a crashed target is reused at once.
                listener = await anyio.create_tcp_listener(
                    local_host="127.0.0.1", local_port=self._port
                )
                tasks.start_soon(listener.serve, self._serve)
                self._fleet.register(self.row())
                with contextlib.suppress(RuntimeError):
                    task_status.started()
                await self._crashed.wait()
                tasks.cancel_scope.cancel()
            await listener.aclose()
            with self._blocked_port():
                await anyio.sleep(self._down_seconds)
            self.incarnation += not self._is_cut_off

    @contextlib.contextmanager
    def _blocked_port(self):
        """Let connections to it hang while it is down, if it is silent."""
        if not self._is_silent:
            yield
            return
        with contextlib.ExitStack() as stack:
            blocked = stack.enter_context(socket.socket())
            blocked.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            blocked.bind(("127.0.0.1", self._port))
            blocked.listen(0)
            # Connections beyond the backlog of a listener are not answered.
            for _ in range(2):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(("127.0.0.1", self._port))
            yield

    async def _serve(self, stream):
        data = b""
        while b"\r\n\r\n" not in data or data.endswith(b"\r\n\r\n"):
            try:
                data += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.aclose()
                return
        is_poison = data.endswith(b"poison") or CRASHING_PART in data
        survival_seconds = self._fleet.survival_seconds_by_arrival.get(
            len(self._fleet.poison_arrivals())
        )
        arrival = Arrival(time.monotonic(), self.number, self.service, is_poison)
        self._fleet.arrivals.append(arrival)
        if not is_poison:
            await anyio.sleep(self._fleet.work_seconds)
            await stream.send(COMPLETE)
        elif survival_seconds is not None:
            await anyio.sleep(survival_seconds)
            await stream.send(COMPLETE)
            is_poison = False
        elif await self._has_caller_left(stream):
            return
        if is_poison and self._is_silent:
            # Kept open until the fleet ends.
            self._fleet.silent_streams.append(stream)
        else:
            if is_poison:
                reset(stream)
            await stream.aclose()
        if is_poison:
            self._fleet.crashes += 1
            self._crashed.set()

    async def _has_caller_left(self, stream):
        """Read the prompt of a poisoned request; a target drops one that is left."""
        with anyio.move_on_after(self._fleet.poison_seconds):
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
            await stream.aclose()
            return True
        return False


class CrashingFleet(GatewayFleet):
    """Gateways and targets, and the requests that reached the targets.

    :ivar arrivals: the :class:`Arrival` rows so far.
    :ivar survival_seconds_by_arrival: processing times of the arrivals of the poisoned
        request that are answered instead, by their number from 0.
    """

    def __init__(self, stack, tasks, route):
        super().__init__(stack, tasks, route)
        self.arrivals = []
        self.work_seconds = 0.05
        self.poison_seconds = 0.0
        self.crashes = 0
        self.silent_streams = []
        self.survival_seconds_by_arrival = {}

    def poison_arrivals(self):
        """Return the arrivals of the poisoned request."""
        return [arrival for arrival in self.arrivals if arrival.is_poison]

    async def send_repeatedly(self, request, times, gap_seconds):
        """Send a request repeatedly, to one gateway after the other."""
        async with anyio.create_task_group() as tasks:
            for number in range(times):
                tasks.start_soon(
                    self.send, request, number % len(self.caller_addresses)
                )
                await anyio.sleep(gap_seconds)


@contextlib.asynccontextmanager
async def crashing_fleet(
    gateways=4,
    targets=60,
    down_seconds=4.5,
    is_silent=False,
    is_cut_off=False,
    names=("s",),
    **route,
):
    """Yield a :class:`CrashingFleet` whose gateways know each other and all targets.

    :param down_seconds: time until a crashed target is back.
    :param names: services that the targets are spread over.
    """
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        fleet = CrashingFleet(stack, tasks, route)
        for number in range(targets):
            service = names[number % len(names)]
            target = CrashingTarget(
                fleet, number, service, down_seconds, is_silent, is_cut_off
            )
            await tasks.start(target.run)
        for _ in range(gateways):
            await fleet.add_gateway()
        await anyio.sleep(0.4)
        yield fleet
