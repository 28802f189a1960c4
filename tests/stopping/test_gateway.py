"""A gateway that is a real process ends without losing what it has taken."""

from signal import SIGCONT, SIGHUP, SIGINT, SIGSTOP, SIGTERM

import anyio
import pytest

from banyanshore.gateway.process import LEAVE_SECONDS
from banyanshore.state.routes import RouteKind
from tests.stopping.callers import Callers, WorkingTarget, running_target
from tests.stopping.process import running_gateway_process

pytestmark = pytest.mark.anyio

GRACE_SECONDS = 8.0
ONCE = {
    "kind": RouteKind.NON_IDEMPOTENT,
    "max_attempts": 1,
    "timeout_seconds": 6.0,
    "objective_seconds": 2.0,
}


async def play(folder, target, steps, count, act=Callers.ask_until_gone, **options):
    """Stop a gateway by signals while callers ask it.

    :param steps: see :meth:`GatewayProcess.signal_in_turn`.
    :param count: number of callers.
    :param act: what each of them does, given the :class:`Callers`.
    :return: the callers, and the gateway after its end.
    """
    async with (
        running_target(target) as address,
        running_gateway_process(
            folder, [address], {"grace_seconds": GRACE_SECONDS}, **ONCE
        ) as gateway,
        anyio.create_task_group() as tasks,
    ):
        callers = Callers(gateway.address, **options)
        for _ in range(count):
            tasks.start_soon(act, callers)
        await anyio.sleep(0.5)
        await gateway.signal_in_turn(*steps)
        assert await gateway.wait() == 0
        assert gateway.stop_seconds < GRACE_SECONDS
    return callers, gateway


@pytest.mark.parametrize(
    "steps",
    [
        [(0, SIGTERM)],
        [(0, SIGTERM), (0.3, SIGTERM)],
        [(0, SIGTERM), (0.3, SIGINT)],
        [(0, SIGTERM), (0.2, SIGHUP), (0.3, SIGTERM), (0.5, SIGTERM)],
    ],
    ids=["once", "twice", "then-sigint", "in-series"],
)
async def test_signals_repeated_in_a_stop_cut_off_no_request(tmp_path, steps):
    """A second SIGTERM or SIGINT ended the process with its requests in flight."""
    target = WorkingTarget(seconds=1.5)
    callers, _ = await play(tmp_path, target, steps, 8)
    assert len(callers.rows) >= 8
    assert callers.lost(target, ONCE["timeout_seconds"]) == []


async def test_slow_callers_get_large_answers_whole_at_a_stop(tmp_path):
    """The process ended while the kernel still held a part of the answers."""
    target = WorkingTarget(seconds=1.2, body_bytes=4_000_000)
    callers, _ = await play(
        tmp_path,
        target,
        [(0, SIGTERM)],
        4,
        receive_buffer=8192,
        bytes_per_second=2_000_000,
    )
    assert callers.lost(target, ONCE["timeout_seconds"]) == []


async def test_callers_that_send_on_get_their_answers_whole_at_a_stop(tmp_path):
    """The close of a connection with unread requests reset it, with its answer."""
    target = WorkingTarget(seconds=1.0, body_bytes=3_000_000)

    async def ask(callers):
        await callers.ask_without_waiting(pause=0.15)

    callers, _ = await play(
        tmp_path,
        target,
        [(0, SIGTERM)],
        4,
        ask,
        receive_buffer=8192,
        bytes_per_second=2_000_000,
    )
    assert len(target.read_ids) >= 4
    assert [row for row in callers.rows if row.status == 200]
    assert callers.lost(target, ONCE["timeout_seconds"]) == []


async def test_requests_that_arrive_as_a_stop_ends_are_refused(tmp_path):
    """Those that had arrived when the process ended were neither read nor refused.

    The process stands still at that time, as it does on a busy machine.
    """
    async with running_gateway_process(
        tmp_path, [], {"grace_seconds": GRACE_SECONDS}, **ONCE
    ) as gateway:
        callers = Callers(gateway.address)
        gateway.signal(SIGTERM)
        await gateway.signal_in_turn((LEAVE_SECONDS - 0.05, SIGSTOP))
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(callers.ask_once)
            await gateway.signal_in_turn((0.3, SIGCONT))
            assert await gateway.wait() == 0
    assert [row.status for row in callers.rows] == [503] * 20


async def test_requests_that_would_outlast_the_grace_are_refused(tmp_path):
    """They were taken until shortly before the end, and cut off at it."""
    target = WorkingTarget(seconds=5.0)

    async def ask_twice(callers):
        await callers.ask_once()
        await callers.ask_until_gone(pause=0.1)

    callers, _ = await play(tmp_path, target, [(0, SIGTERM)], 8, ask_twice)
    assert [row for row in callers.rows if row.status == 200]
    assert [row for row in callers.rows if row.status == 503]
    assert callers.lost(target, ONCE["timeout_seconds"]) == []
