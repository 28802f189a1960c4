"""Play a soak: gateways as real processes, series of signals, callers all the while."""

import contextlib
import json
import math
import time
from dataclasses import dataclass, field
from signal import SIGCONT, SIGHUP, SIGINT, SIGSTOP, SIGTERM

import anyio

from tests.http.raw import scripted_server
from tests.stopping.process import GatewayProcess
from tests.stopping.soak_callers import SoakCallers
from tests.stopping.soak_plan import Action
from tests.stopping.soak_target import SoakTarget

# Seconds between the start of a soak's callers and its first step.
WARM_UP_SECONDS = 0.5
# Seconds for which callers still ask after the last process has ended.
AFTERMATH_SECONDS = 0.3
POLL_SECONDS = 0.01
_SIGNAL_BY_ACTION = {
    Action.TERMINATE: SIGTERM,
    Action.INTERRUPT: SIGINT,
    Action.RELOAD_UNCHANGED: SIGHUP,
    Action.RELOAD_CHANGED: SIGHUP,
    Action.RELOAD_INVALID: SIGHUP,
    Action.FREEZE: SIGSTOP,
    Action.THAW: SIGCONT,
}


@dataclass
class Stop:
    """The stop of a process.

    :ivar asked_at: monotonic time of its first SIGTERM.
    :ivar exit_code: exit code, negative for the number of a signal.
    :ivar killed: whether it still ran at the end of its grace.
    """

    asked_at: float
    ended_at: float = 0.0
    exit_code: int | None = None
    killed: bool = False
    has_ended: anyio.Event = field(default_factory=anyio.Event, repr=False)


@dataclass
class Freeze:
    """A time in which a process was frozen, up to now if it isn't thawed."""

    began_at: float
    ended_at: float = math.inf


@dataclass
class GatewayHistory:
    """What happened to a gateway.

    :ivar events: pairs of the monotonic time and the name of an event.
    :ivar log_lines: lines of its log.
    """

    events: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    freezes: list = field(default_factory=list)
    log_lines: list = field(default_factory=list)

    def frozen_seconds(self, start, end):
        """Return for how long it was frozen between two times."""
        return sum(
            max(0.0, min(end, freeze.ended_at) - max(start, freeze.began_at))
            for freeze in self.freezes
        )

    def log_rows(self, message):
        """Return the records of its log with a message."""
        rows = [json.loads(line) for line in self.log_lines if line[:1] == "{"]
        return [row for row in rows if row["message"] == message]


@dataclass(frozen=True)
class Record:
    """What happened in a soak.

    :param rows: the :class:`~tests.stopping.soak_callers.Row` of all requests.
    :param works_by_id: lists of :class:`~tests.stopping.soak_target.Work` by request
        id, in the order in which they began.
    :param gateways: the :class:`GatewayHistory` of each gateway.
    :param longest_delay: seconds by which the event loop of the test ran late at most.
    """

    rows: tuple
    works_by_id: dict
    gateways: tuple
    longest_delay: float


class SoakedGateway:
    """A gateway whose process is stopped and started by the steps of a plan."""

    def __init__(self, plan, number, folder, addresses):
        self._plan = plan
        self._steps = plan.steps_by_gateway[number]
        settings = {
            "instance": f"edge-{number + 1}",
            "grace_seconds": plan.grace_seconds,
        }
        self.process = GatewayProcess(
            folder,
            addresses,
            settings,
            kind=plan.kind,
            max_attempts=plan.max_attempts,
            timeout_seconds=plan.timeout_seconds,
            objective_seconds=plan.objective_seconds,
        )
        self.history = GatewayHistory()
        self._changes = 0
        self._frozen_at = 0.0
        # The stop of the current process, or ``None``.
        self._stop = None

    async def play(self):
        """Do all steps, then wait for the end of the process."""
        async with anyio.create_task_group() as tasks:
            for step in self._steps:
                await anyio.sleep(step.seconds)
                self.history.events.append((time.monotonic(), step.action))
                if step.action is Action.START:
                    await self._start_again()
                elif step.action is Action.TERMINATE and self._stop is None:
                    self._stop = Stop(time.monotonic())
                    self.history.stops.append(self._stop)
                    self.process.signal(SIGTERM)
                    tasks.start_soon(self._watch_stop, self._stop)
                else:
                    self._signal(step.action)

    async def _start_again(self):
        await self._stop.has_ended.wait()
        self._stop = None
        self.process.start_again()
        await self.process.wait_until_serving()
        self.history.events.append((time.monotonic(), "serving"))

    def _signal(self, action):
        if action is Action.RELOAD_CHANGED:
            self._changes += 1
            self.process.write_settings(memory_mb=256.0 + self._changes)
        elif action is Action.RELOAD_INVALID:
            self.process.settings_path.write_text("role: [")
        elif action is Action.FREEZE:
            self.history.freezes.append(Freeze(time.monotonic()))
        self.process.signal(_SIGNAL_BY_ACTION[action])
        if action is Action.THAW:
            self.history.freezes[-1].ended_at = time.monotonic()

    async def _watch_stop(self, stop):
        """Wait for the end of the process, and kill it after its grace."""
        grace = self._plan.grace_seconds
        while (exit_code := self.process.poll()) is None:
            now = time.monotonic()
            frozen = self.history.frozen_seconds(stop.asked_at, now)
            if now > stop.asked_at + grace + frozen:
                stop.killed = True
                self.process.kill()
            await anyio.sleep(POLL_SECONDS)
        stop.ended_at = time.monotonic()
        stop.exit_code = exit_code
        stop.has_ended.set()
        self.history.events.append((stop.ended_at, f"ended {exit_code}"))


async def play(plan, folder):
    """Play a soak, and return its :class:`Record`.

    :param folder: folder for the settings and logs of the gateways.
    """
    targets = [SoakTarget(plan, number) for number in range(len(plan.work_seconds))]
    delays = [0.0]
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for target in targets:
            server = await stack.enter_async_context(scripted_server(target.act))
            addresses.append(server.address)
        gateways = []
        for number in range(len(plan.steps_by_gateway)):
            place = folder / f"gateway-{number}"
            place.mkdir()
            gateways.append(SoakedGateway(plan, number, place, addresses))
            stack.callback(gateways[-1].process.kill)
        for gateway in gateways:
            await gateway.process.wait_until_serving()
        callers = SoakCallers(plan, [gateway.process.address for gateway in gateways])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_delays, delays)
            await _play_steps(plan, gateways, callers)
            tasks.cancel_scope.cancel()
        for gateway in gateways:
            gateway.history.log_lines = gateway.process.log().splitlines()
    works_by_id = {}
    for target in targets:
        for request_id, works in target.works_by_id.items():
            works_by_id.setdefault(request_id, []).extend(works)
    histories = tuple(gateway.history for gateway in gateways)
    return Record(tuple(callers.rows), works_by_id, histories, max(delays))


async def _play_steps(plan, gateways, callers):
    async with anyio.create_task_group() as asking:
        for caller in plan.callers:
            asking.start_soon(callers.run, caller)
        await anyio.sleep(WARM_UP_SECONDS)
        async with anyio.create_task_group() as stepping:
            for gateway in gateways:
                stepping.start_soon(gateway.play)
        await anyio.sleep(AFTERMATH_SECONDS)
        callers.is_over = True


async def _watch_delays(delays):
    """Record by how many seconds the event loop runs late."""
    while True:
        began_at = time.monotonic()
        await anyio.sleep(POLL_SECONDS)
        delays.append(time.monotonic() - began_at - POLL_SECONDS)
