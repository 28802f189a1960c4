"""Requests that are refused or wait while a target reads the prompts of others."""

import contextlib
import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import to_json
from tests.gateway.deployment import (
    COMPLETE,
    FAILED,
    SIGNED,
    Target,
    ask,
    events,
    keep_confirmed,
    make_document,
    make_request,
    running_gateway,
)

pytestmark = pytest.mark.anyio

LAYERS = 4
# Seconds that a target needs for each prompt by the cost model of the service.
PREFILL_SECONDS = 0.05
ENGINE = {
    "layers": LAYERS,
    "slots": 8,
    "read_tokens_per_second": 1000.0,
    "usual_prompt_tokens": 1000 * PREFILL_SECONDS,
}
# A quarter of the objective may be taken by prompts of others.
ROUTE = {"objective_seconds": 0.5, "timeout_seconds": 4.0}
STREAM_HEAD = SIGNED + b"content-type: text/event-stream\r\n\r\n"
STREAM = STREAM_HEAD + events(1, 2)


@contextlib.asynccontextmanager
async def running_engines(*targets, **route):
    """Yield a gateway in front of model engines, and its address for callers."""
    route = {**ROUTE, **route}
    async with running_gateway(*targets, slots=8, **route) as (gateway, address):
        keep_confirmed(gateway)
        document = make_document(**route)
        document["services"]["s"] = {"kind": "direct", "engine": ENGINE}
        document["workspaces"]["urgent"] = {"keys": ["urgent-key"], "priority": 0}
        document["workspaces"]["later"] = {"keys": ["later-key"], "priority": 1}
        gateway.state.apply(PublishedState(2, Fence(1, 2), to_json(document)))
        gateway.versions.oldest_allowed_version = lambda now, model: 1
        for row in list(gateway.registry.targets.rows()):
            held = replace(
                row, sequence=2, model="m", model_version=1, end_layer=LAYERS
            )
            gateway.registry.record(time.monotonic(), held)
        yield gateway, address


def backlog(gateway):
    (row,) = gateway.registry.targets.rows()
    return gateway.board.load(row.address).remaining_prefill_seconds(time.monotonic())


def answer_to(kind):
    return STREAM if kind == "streaming" else COMPLETE


@pytest.mark.parametrize("kind", ["idempotent", "streaming"])
async def test_short_requests_that_are_answered_at_once_keep_no_others_away(kind):
    """Five that had been answered in a tenth of a second filled an idle target."""
    target = Target(answer_to(kind))
    async with running_engines(target, kind=kind) as (gateway, address):
        began_at = time.monotonic()
        for _ in range(12):
            status, _ = await ask(address, make_request(model="m"))
            assert status == 200
        # Each of them waited until the prompts before it had been read by the model.
        assert not gateway.metrics.waits._values
        assert time.monotonic() - began_at < 12 * PREFILL_SECONDS


async def test_head_of_a_stream_is_no_proof_that_its_prompt_is_read():
    begin, end = anyio.Event(), anyio.Event()

    async def send_late(stream):
        await stream.send(STREAM_HEAD)
        await begin.wait()
        await stream.send(events(1, 1))
        await end.wait()

    target = Target(send_late)
    async with (
        running_engines(target, kind="streaming") as (gateway, address),
        anyio.create_task_group() as tasks,
    ):
        gateway.placements._prefill_seconds = lambda screened: 100.0
        tasks.start_soon(ask, address, make_request(model="m"))
        (row,) = gateway.registry.targets.rows()
        load = gateway.board.load(row.address)
        with anyio.fail_after(4.0):
            while not load.first_byte_seconds:
                await anyio.sleep(0.002)
            assert backlog(gateway) > 90.0
            begin.set()
            while backlog(gateway):
                await anyio.sleep(0.002)
        end.set()


async def test_failure_is_no_proof_that_the_prompt_was_read():
    async with running_engines(Target(FAILED), kind="non_idempotent") as (
        gateway,
        address,
    ):
        gateway.placements._prefill_seconds = lambda screened: 100.0
        assert (await ask(address, make_request(model="m")))[0] == 500
        assert backlog(gateway) > 90.0


class SlowTarget(Target):
    """A target that answers nothing until it is told to."""

    def __init__(self):
        super().__init__(self._hold)
        self.read_at = []
        self.marks = []
        self._may_answer = anyio.Event()

    async def _hold(self, stream):
        self.read_at.append(time.monotonic())
        mark = self.requests[-1].split(b"x-mark: ")[1].split(b"\r\n")[0]
        self.marks.append(mark.decode())
        await self._may_answer.wait()
        await stream.send(COMPLETE)

    def answer_all(self):
        self._may_answer.set()


@contextlib.asynccontextmanager
async def busy_gateway(prefill_seconds):
    """Yield a gateway, its target that reads a prompt, and a function that asks.

    Requests that follow have short prompts.
    """
    target = SlowTarget()
    async with (
        running_engines(target) as (gateway, address),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(gateway.turns.run)
        status_by_mark = {}

        async def ask_marked(mark, key="key"):
            request = make_request(model="m", x_mark=mark, key=key)
            status_by_mark[mark], _ = await ask(address, request)

        seconds = iter([prefill_seconds])
        gateway.placements._prefill_seconds = lambda screened: next(seconds, 0.05)
        tasks.start_soon(ask_marked, "first")
        await until(lambda: target.read_at)
        yield gateway, target, lambda *args: tasks.start_soon(ask_marked, *args)
        target.answer_all()
        await until(lambda: len(status_by_mark) == len(target.marks))
        assert set(status_by_mark.values()) == {200}
        tasks.cancel_scope.cancel()


async def until(condition):
    with anyio.fail_after(4.0):
        while not condition():
            await anyio.sleep(0.002)


async def test_request_that_waits_is_sent_once_prompts_before_it_are_read():
    """It waited to the end and was refused: nothing told that there was room."""
    async with busy_gateway(0.25) as (_, target, ask_marked):
        ask_marked("next")
        await until(lambda: len(target.read_at) == 2)
        # A quarter of the objective may be left to read, and gateways spread their
        # tries.
        seconds = target.read_at[1] - target.read_at[0]
        assert 0.25 - 0.125 - 0.02 <= seconds <= 0.25 - 0.125 + 0.06 + 0.1


async def test_more_urgent_request_goes_first_when_prompts_are_read():
    async with busy_gateway(0.3) as (gateway, target, ask_marked):
        ask_marked("later", "later-key")
        await until(lambda: len(gateway.turns.queue) == 1)
        ask_marked("urgent", "urgent-key")
        await until(lambda: len(target.marks) == 3)
        assert target.marks == ["first", "urgent", "later"]


async def test_waiting_request_is_sent_when_the_prompt_before_it_was_read_early():
    async with busy_gateway(100.0) as (gateway, target, ask_marked):
        ask_marked("next")
        await until(lambda: len(gateway.turns.queue) == 1)
        target.answer_all()
        await until(lambda: "next" in target.marks)
