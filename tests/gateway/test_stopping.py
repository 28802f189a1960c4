"""A gateway that stops answers all that it has taken, before it is killed."""

import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.gateway.process import CUT_SHORT_SECONDS
from banyanshore.state.routes import RouteKind
from tests.gateway.deployment import (
    SIGNED,
    Target,
    ask,
    events,
    keep_confirmed,
    make_request,
    running_gateway,
)
from tests.http.raw import connect, read_until

pytestmark = pytest.mark.anyio

ONCE = {"kind": RouteKind.NON_IDEMPOTENT, "max_attempts": 1, "objective_seconds": 2.0}
CUT_OFF = 0


class WorkingTarget(Target):
    """A target that works for some time on each request."""

    def __init__(self, seconds):
        super().__init__(self._work)
        self._seconds = seconds

    async def _work(self, stream):
        await anyio.sleep(self._seconds)
        await stream.send(SIGNED + b"content-length: 2\r\n\r\nok")


async def stop_while_requests_come(target, grace_seconds, **route):
    """Stop a gateway that gets a request each 50 ms; return statuses, and seconds.

    :return: statuses of the requests sent since the stop began, 0 for those without an
        answer, and the seconds for which the gateway went on.
    """
    rows = []

    async def ask_and_record(address):
        sent_at = time.monotonic()
        try:
            rows.append((sent_at, (await ask(address))[0]))
        except OSError:
            # The gateway has ended; the request was not read.
            return

    # The callers wait for their answers after the gateway has ended.
    async with (
        anyio.create_task_group() as tasks,
        running_gateway(target, **route) as (gateway, address),
    ):
        keep_confirmed(gateway)
        gateway.settings = replace(gateway.settings, grace_seconds=grace_seconds)
        for _ in range(3):
            tasks.start_soon(ask_and_record, address)
        await anyio.sleep(0.1)
        started_at = time.monotonic()
        ended = anyio.Event()

        async def leave():
            await gateway._leave(anyio.Event())
            ended.set()

        tasks.start_soon(leave)
        while not ended.is_set():
            tasks.start_soon(ask_and_record, address)
            with anyio.move_on_after(0.05):
                await ended.wait()
        seconds = time.monotonic() - started_at
    # A request may cross the end of the process without being read.
    last_sent_at = started_at + seconds - 0.1
    return [status for sent_at, status in rows if sent_at < last_sent_at], seconds


@pytest.mark.parametrize(
    ("grace", "timeout", "work"),
    [(3.0, 2.25, 2.1), (1.5, 6.0, 1.0), (1.5, 1.0, 0.2), (0.6, 6.0, 5.0)],
    ids=["late-in-the-grace", "long-route", "short-work", "short-grace"],
)
async def test_stopping_gateway_cuts_off_no_request_that_it_has_taken(
    grace, timeout, work
):
    """Requests were taken for a fixed time, though they may last beyond the grace."""
    target = WorkingTarget(work)
    statuses, seconds = await stop_while_requests_come(
        target, grace, timeout_seconds=timeout, **ONCE
    )
    assert CUT_OFF not in statuses
    assert set(statuses) <= {200, 503, 504}
    assert seconds < grace
    # Those that it had when the stop began, and the last ones that fit.
    assert len(target.requests) >= 3


async def test_refused_callers_of_a_stopping_gateway_go_elsewhere_at_once():
    target = WorkingTarget(0.01)
    async with (
        running_gateway(target, timeout_seconds=60.0) as (gateway, address),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(gateway._leave, anyio.Event())
        await anyio.sleep(0.05)
        started_at = time.monotonic()
        status, answer = await ask(address)
        assert time.monotonic() - started_at < 0.5
        assert status == 503
        seconds = float(answer.split(b"retry-after: ")[1].split(b"\r\n")[0])
        assert seconds <= 0.1
        assert not target.requests
        tasks.cancel_scope.cancel()


async def test_stream_that_outlasts_the_grace_is_broken_off_recognizably():
    async def stream_for_long(stream):
        await stream.send(SIGNED + b"content-length: 99\r\n\r\n" + events(1, 1))
        await anyio.sleep(30)

    target = Target(stream_for_long)
    route = {"kind": RouteKind.STREAMING, "timeout_seconds": 20.0}
    async with running_gateway(target, **route) as (gateway, address):
        gateway.settings = replace(gateway.settings, grace_seconds=0.8)
        async with await connect(address) as stream:
            await stream.send(make_request())
            await read_until(stream, b"data: e1")
            with anyio.fail_after(0.8):
                await gateway._leave(anyio.Event())
                rest = b""
                while True:
                    try:
                        rest += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        break
            assert not rest.endswith(b"0\r\n\r\n")


async def test_request_that_a_stop_cuts_off_is_named_in_the_log(caplog):
    """Only the number of the requests that were cut off was logged."""
    request = make_request("POST", body=b"12345")
    async with running_gateway(WorkingTarget(0.01)) as (gateway, address):
        gateway.settings = replace(gateway.settings, grace_seconds=0.4)
        async with await connect(address) as stream:
            await stream.send(request[:-1])
            await anyio.sleep(0.05)
            await gateway._leave(anyio.Event())
    rows = [record for record in caplog.records if record.msg == "request cut off"]
    assert [(row.request_id, row.phase) for row in rows] == [("id-1", "processing")]


async def test_stop_is_cut_short_while_slow_callers_are_waited_for():
    """A second interrupt had no effect once the listener had begun to close."""
    target = WorkingTarget(0.01)
    async with (
        running_gateway(target) as (gateway, address),
        await connect(address) as stream,
        anyio.create_task_group() as tasks,
    ):
        gateway.settings = replace(gateway.settings, grace_seconds=20.0)
        await stream.send(b"POST /p HTTP/1.1\r\nhost: a")
        cut_short, ended = anyio.Event(), anyio.Event()

        async def leave():
            await gateway._leave(cut_short)
            ended.set()

        tasks.start_soon(leave)
        while not gateway.caller_listener.is_closing:
            await anyio.sleep(0.05)
        cut_short.set()
        with anyio.fail_after(CUT_SHORT_SECONDS + 0.5):
            await ended.wait()
        tasks.cancel_scope.cancel()


async def test_stop_that_is_cut_short_still_answers_what_is_in_flight():
    """The connections of requests in flight ended without an answer."""
    target = WorkingTarget(5.0)
    async with (
        running_gateway(target, timeout_seconds=6.0, **ONCE) as (gateway, address),
        anyio.create_task_group() as tasks,
    ):
        cut_short = anyio.Event()

        async def cut_short_soon():
            await anyio.sleep(0.2)
            tasks.start_soon(gateway._leave, cut_short)
            cut_short.set()

        tasks.start_soon(cut_short_soon)
        with anyio.fail_after(1.5):
            status, _ = await ask(address)
        assert status == 504
        assert target.requests
