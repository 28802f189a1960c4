"""Requests that wait at a gateway until a target has room for them."""

import contextlib
import math
import random
import time

import anyio
import pytest

from banyanshore.conf.loader import parse_settings
from banyanshore.gateway.process import Gateway
from banyanshore.gateway.turns import MAX_TRY_DELAY, TurnExchange
from banyanshore.platform.caller_dialect import PlatformDialect
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import to_json
from banyanshore.state.routes import Route, RouteKind
from banyanshore.telemetry.gateway import GatewayMetrics
from tests.gateway.deployment import (
    COMPLETE,
    SETTINGS,
    Target,
    ask,
    keep_confirmed,
    make_document,
    make_request,
    running_gateway,
)
from tests.http.raw import connect

pytestmark = pytest.mark.anyio

# Requests that a plain target with one slot gets at a time.
PLACES = 3
ROUTE = {"objective_seconds": 1.0, "timeout_seconds": 5.0}


class HoldingTarget(Target):
    """A target that answers a request each time it is told to."""

    def __init__(self):
        super().__init__(self._hold)
        self._held = []

    async def _hold(self, stream):
        released = anyio.Event()
        self._held.append(released)
        await released.wait()
        await stream.send(COMPLETE)

    def release(self):
        """Answer the oldest request."""
        self._held.pop(0).set()

    def release_all(self):
        """Answer all requests, also those that come later."""
        while self._held:
            self.release()
        self.acts = [COMPLETE]

    def marks(self):
        """Return the marks of the requests that it has read, in order."""
        lines = [
            line
            for request in self.requests
            for line in request.split(b"\r\n")
            if line.startswith(b"x-mark: ")
        ]
        return [line[8:].decode() for line in lines]


class FullGateway:
    """A gateway whose target is full, and callers that ask it for more."""

    def __init__(self, gateway, address, target, tasks):
        self.gateway = gateway
        self.target = target
        self.status_by_mark = {}
        self.answer_by_mark = {}
        self._address = address
        self._tasks = tasks

    @property
    def queue(self):
        return self.gateway.turns.queue

    async def ask(self, mark, **headers):
        """Send a request, and go on once it waits, is at the target or has ended."""
        waiting, count = len(self.queue), len(self.target.requests)
        self._tasks.start_soon(self._ask, mark, headers)
        await until(
            lambda: (
                len(self.queue) > waiting
                or len(self.target.requests) > count
                or mark in self.status_by_mark
            )
        )

    async def _ask(self, mark, headers):
        request = make_request(x_mark=mark, **headers)
        status, answer = await ask(self._address, request, 8.0)
        self.status_by_mark[mark] = status
        self.answer_by_mark[mark] = answer

    def outcomes(self):
        """Return the number of waits by rank and outcome."""
        return dict(self.gateway.metrics.waits._values)


async def until(condition):
    with anyio.fail_after(4.0):
        while not condition():
            await anyio.sleep(0.002)


@contextlib.asynccontextmanager
async def full_gateway(**route):
    """Yield a :class:`FullGateway`, and answer all that it holds in the end."""
    target = HoldingTarget()
    async with (
        running_gateway(target, slots=1, **{**ROUTE, **route}) as (gateway, address),
        anyio.create_task_group() as tasks,
    ):
        keep_confirmed(gateway)
        document = make_document(**{**ROUTE, **route})
        document["workspaces"]["urgent"] = {"keys": ["urgent-key"], "priority": 0}
        document["workspaces"]["later"] = {"keys": ["later-key"], "priority": 1}
        gateway.state.apply(PublishedState(2, Fence(1, 2), to_json(document)))
        full = FullGateway(gateway, address, target, tasks)
        for number in range(PLACES):
            await full.ask(f"first-{number}")
        assert len(target.requests) == PLACES
        yield full
        target.release_all()


async def test_request_that_finds_no_room_waits_for_the_next_place():
    """It was refused, and came back when its objective had passed."""
    async with full_gateway() as full:
        await full.ask("next")
        assert "next" not in full.status_by_mark
        full.target.release()
        await until(lambda: "next" in full.target.marks())
        full.target.release_all()
        await until(lambda: "next" in full.status_by_mark)
        assert full.status_by_mark["next"] == 200


async def test_more_urgent_request_gets_the_place_before_one_that_came_earlier():
    async with full_gateway() as full:
        await full.ask("later", key="later-key")
        await full.ask("urgent", key="urgent-key")
        for count in (1, 2):
            full.target.release()
            await until(lambda n=count: len(full.target.marks()) == PLACES + n)
        assert full.target.marks()[PLACES:] == ["urgent", "later"]


async def test_wait_ends_with_a_refusal_while_the_caller_still_waits():
    async with full_gateway(objective_seconds=0.2) as full:
        started_at = time.monotonic()
        await full.ask("next", deadline_ms=5000)
        await until(lambda: "next" in full.status_by_mark)
        assert 0.15 < time.monotonic() - started_at < 1.0
        assert full.status_by_mark["next"] == 503
        assert b"retry-after: " in full.answer_by_mark["next"]
        assert "next" not in full.target.marks()
        assert full.outcomes()["0", "refused"] == 1


async def test_request_waits_no_more_after_its_caller_has_left():
    async with full_gateway() as full:
        async with await connect(full._address) as stream:
            await stream.send(make_request(x_mark="gone"))
            await until(lambda: len(full.queue) == 1)
        await until(lambda: len(full.queue) == 0)
        assert full.queue.waiting_bytes == 0
        full.target.release()
        await full.ask("next")
        await until(lambda: "next" in full.target.marks())
        assert "gone" not in full.target.marks()


async def test_place_is_passed_on_if_the_caller_that_is_next_leaves():
    async with full_gateway() as full:
        async with await connect(full._address) as stream:
            request = make_request(x_mark="gone", key="urgent-key")
            await stream.send(request)
            await until(lambda: len(full.queue) == 1)
            # Places have become free before, so that the second one may wait.
            for _ in range(20):
                full.queue.record_begin("s", "w")
                full.queue.record_end(time.monotonic(), "s", "w")
            await full.ask("next")
            assert len(full.queue) == 2
        full.target.release()
        await until(lambda: "next" in full.target.marks())


async def test_stop_ends_waits_at_once_with_a_refusal():
    async with full_gateway() as full:
        await full.ask("next")
        assert len(full.queue) == 1
        full._tasks.start_soon(full.gateway._leave, anyio.Event())
        started_at = time.monotonic()
        await until(lambda: "next" in full.status_by_mark)
        assert time.monotonic() - started_at < 0.5
        assert full.status_by_mark["next"] == 503
        assert "next" not in full.target.marks()
        full.target.release_all()


async def test_news_of_other_gateways_lets_a_waiting_request_try_again():
    turns = TurnExchange(random.Random(1), GatewayMetrics())
    woken = anyio.Event()

    class Queue:
        def __len__(self):
            return 1

        def services(self):
            return ["s"]

        def wake_next(self, service):
            assert service == "s"
            woken.set()

    turns.queue = Queue()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(turns.run)
        turns.record_news()
        with anyio.fail_after(2.0):
            await woken.wait()
        tasks.cancel_scope.cancel()


class RecordingQueue:
    """A queue that records when the requests of a service are woken."""

    def __init__(self):
        self.woken = []

    def wake_next(self, service):
        self.woken.append((service, time.monotonic()))


async def test_requests_are_woken_once_when_a_target_is_expected_to_have_room():
    turns = TurnExchange(random.Random(1), GatewayMetrics())
    queue = turns.queue = RecordingQueue()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(turns.run)
        began_at = time.monotonic()
        turns.expect_room("late", 0.3)
        turns.expect_room("early", 5.0)
        turns.expect_room("never", math.inf)
        await anyio.sleep(0.05)
        for seconds in (0.1, 0.2):
            turns.expect_room("early", seconds)
        await until(lambda: len(queue.woken) == 2)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert [service for service, _ in queue.woken] == ["early", "late"]
    early, late = (at - began_at for _, at in queue.woken)
    assert 0.15 <= early < late
    assert 0.3 <= late < 0.3 + MAX_TRY_DELAY + 0.2


async def test_request_that_returns_late_gets_the_place_after_one_that_can_be_in_time():
    """It took the place of one that could be in time, and was late all the same."""
    async with full_gateway() as full:
        for _ in range(20):
            full.queue.record_begin("s", "w")
            full.queue.record_end(time.monotonic(), "s", "w")
        for _ in range(8):
            full.gateway.time_budgets.record_request(
                full.gateway.screening.table.find_route("a.example", "/p"), 5.0
            )
        await full.ask("returned", deadline_ms=3500)
        await full.ask("fresh", deadline_ms=5000)
        assert len(full.queue) == 2
        full.target.release()
        await until(lambda: len(full.target.marks()) == PLACES + 1)
        assert full.target.marks()[PLACES] == "fresh"


async def test_new_request_does_not_pass_one_that_waits():
    async with full_gateway() as full:
        for _ in range(20):
            full.queue.record_begin("s", "w")
            full.queue.record_end(time.monotonic(), "s", "w")
        await full.ask("early")
        full.gateway.board.load(
            next(iter(full.gateway.registry.targets.rows())).address
        ).own_in_flight -= 1
        full._tasks.start_soon(full._ask, "later", {})
        await until(lambda: len(full.target.marks()) == PLACES + 1)
        assert full.target.marks()[PLACES] == "early"
        full.gateway.board.load(
            next(iter(full.gateway.registry.targets.rows())).address
        ).own_in_flight += 1


async def test_outcomes_of_waits_are_counted_by_rank():
    async with full_gateway(objective_seconds=0.2) as full:
        await full.ask("later", key="later-key")
        await full.ask("second", key="later-key")
        await until(lambda: len(full.status_by_mark) == 2)
        # The urgent workspace has rank 0, and that of the plain key the route's.
        assert full.outcomes() == {("1", "refused"): 1, ("1", "refused at once"): 1}


def test_gateway_without_a_state_goes_on_after_its_upkeep():
    """A gateway that had no state for five seconds ended with an AttributeError."""
    gateway = Gateway(parse_settings(SETTINGS), PlatformDialect(), None)
    route = Route("a.example", "/", RouteKind.STREAMING, (), 6.0, 0.4)
    gateway.time_budgets.record_request(route, 6.0)
    gateway._forget_budgets()
    assert gateway.time_budgets.passed_seconds(route, 3.0) > 0
