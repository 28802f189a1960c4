"""Tests of targets and callers that send bytes without making progress."""

import time

import anyio
import pytest

from banyanshore.http.caller_connection import MAX_PIPELINED_BYTES
from banyanshore.http.listener import Listener, ListenerLimits
from banyanshore.http.upstream import (
    MAX_HEAD_BYTES,
    BrokenAnswerError,
    HttpSession,
    OutgoingRequest,
    open_answer,
)
from tests.http.raw import (
    connect,
    read_all,
    read_until,
    running_listener,
    scripted_server,
)

pytestmark = pytest.mark.anyio

GET = OutgoingRequest(b"GET", b"/", ((b"host", b"x"),))
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


def sending_endlessly(data, pause=0.0, first=b""):
    async def act(stream):
        await read_until(stream, b"\r\n\r\n")
        try:
            await stream.send(first)
            while True:
                await stream.send(data)
                await anyio.sleep(pause)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    return act


async def read_events(answer):
    while await answer.receive():
        pass


async def read_buffered(answer):
    await answer.read_body(1_000_000_000)


@pytest.mark.parametrize(
    ("act", "read"),
    [
        (sending_endlessly(b"HTTP/1.1 100 Continue\r\n\r\n"), read_events),
        (sending_endlessly(b"x: y\r\n", first=b"HTTP/1.1 200 OK\r\n"), read_events),
        (sending_endlessly(b"x", 0.05, b"HTTP/1.1 200 OK\r\nx: "), read_events),
        (sending_endlessly(b"x", 0.05, HEAD), read_events),
        (sending_endlessly(b"x" * 65_536, 0.0, HEAD), read_events),
        (sending_endlessly(b"x", 0.05, HEAD), read_buffered),
    ],
    ids=["informational", "head", "slow-head", "slow-body", "body", "slow-held"],
)
async def test_answer_without_progress_is_abandoned_after_the_timeout(act, read):
    began = time.process_time()
    async with scripted_server(act) as server:
        with anyio.fail_after(2.0), pytest.raises(BrokenAnswerError):
            async with open_answer(server.address, GET, progress_timeout=0.4) as answer:
                await read(answer)
    assert time.process_time() - began < 1.5
    assert MAX_HEAD_BYTES < 1_000_000


async def test_slow_answer_with_progress_is_not_abandoned():
    """Each useful part of a stream restarts the progress timeout."""

    async def act(stream):
        await read_until(stream, b"\r\n\r\n")
        await stream.send(HEAD)
        for _ in range(6):
            await anyio.sleep(0.2)
            await stream.send(b"part")

    parts = 0
    async with (
        scripted_server(act) as server,
        open_answer(server.address, GET, progress_timeout=0.4) as answer,
    ):
        while await answer.receive():
            parts += 1
            answer.record_progress()
    assert parts == 6


async def test_answer_received_while_the_process_was_frozen_is_read():
    async def act(stream):
        await read_until(stream, b"\r\n\r\n")
        await stream.send(HEAD)
        await anyio.sleep(0.1)
        await stream.send(b"all of it")

    async with (
        scripted_server(act) as server,
        open_answer(server.address, GET, progress_timeout=0.3) as answer,
    ):
        await anyio.sleep(0.5)
        assert await answer.receive() == b"all of it"


async def test_late_duplicate_is_not_mistaken_for_the_next_answer():
    async def act(stream):
        await read_until(stream, b"\r\n\r\n")
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d"
        for _ in range(2):
            await stream.send(answer % server.connections)
            await anyio.sleep(0.1)

    async with scripted_server(act) as server:
        session = HttpSession(server.address)
        assert (await session.fetch(GET, 100, 1.0))[2] == b"1"
        await anyio.sleep(0.2)
        assert (await session.fetch(GET, 100, 1.0))[2] == b"2"
        assert server.connections == 2


async def echo(exchange):
    await exchange.respond(200, (), await exchange.read_body())


async def test_caller_that_sends_its_body_byte_by_byte_is_rejected():
    """Each byte restarted the timeout: a body of 20 bytes took 6 s and was accepted."""
    limits = ListenerLimits(header_timeout=0.4)
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n"
    async with (
        running_listener(Listener(echo, lambda: limits)) as address,
        await connect(address) as stream,
    ):
        await stream.send(head)
        with anyio.fail_after(1.5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_byte_by_byte, stream)
                answer = await read_all(stream)
                tasks.cancel_scope.cancel()
    assert answer.startswith(b"HTTP/1.1 408")


async def _send_byte_by_byte(stream):
    while True:
        try:
            await stream.send(b"x")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        await anyio.sleep(0.1)


async def test_long_body_at_a_normal_rate_is_accepted():
    limits = ListenerLimits(header_timeout=0.4)
    head = b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
    async with (
        running_listener(Listener(echo, lambda: limits)) as address,
        await connect(address) as stream,
    ):
        await stream.send(head + b"content-length: 80000\r\n\r\n")
        for _ in range(8):
            await anyio.sleep(0.1)
            await stream.send(b"x" * 10_000)
        assert (await read_all(stream)).startswith(b"HTTP/1.1 200")


async def test_disconnect_is_detected_after_many_pipelined_bytes():
    """After 64 KiB of pipelined bytes, disconnects were no longer detected."""
    left = anyio.Event()

    async def handle(exchange):
        if not await exchange.run_while_connected(lambda: anyio.sleep(30)):
            left.set()

    async with running_listener(Listener(handle)) as address:
        async with await connect(address) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            await stream.send(b"GET / HTTP/1.1\r\n" + b"a" * (2 * MAX_PIPELINED_BYTES))
            await anyio.sleep(0.3)
        with anyio.fail_after(1.5):
            await left.wait()
