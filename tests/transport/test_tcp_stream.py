"""Tests of the streams of connections that this process opens."""

import asyncio
import contextlib
import time

import anyio
import pytest

from banyanshore.transport.links import split_address
from banyanshore.transport.tcp_stream import READ_SIZE_BYTES, connect_stream
from tests.http.raw import reset, scripted_server

pytestmark = pytest.mark.anyio

SHORT_SECONDS = 0.1


@contextlib.asynccontextmanager
async def connected(act):
    """Yield a stream to a server that runs a script."""
    async with scripted_server(act) as server:
        stream = await connect_stream(*split_address(server.address))
        async with stream:
            yield stream


def sending(*pieces, gap=0.0):
    async def act(stream):
        for piece in pieces:
            await stream.send(piece)
            await anyio.sleep(gap)

    return act


async def stay_silent(stream):
    await anyio.sleep(10)


async def test_bytes_arrive_in_order_up_to_the_end():
    data = bytes(range(256)) * 1000
    received = b""
    async with connected(sending(data[:100], data[100:])) as stream:
        with pytest.raises(anyio.EndOfStream):
            while True:
                received += await stream.receive(1000)
    assert received == data


async def test_reset_is_told_from_the_end():
    async def act(stream):
        await anyio.sleep(0.05)
        reset(stream)

    async with connected(act) as stream:
        with pytest.raises(anyio.BrokenResourceError):
            await stream.receive()


async def test_wait_ends_at_its_time():
    async with connected(stay_silent) as stream:
        began_at = time.monotonic()
        assert await stream.receive_by(began_at + SHORT_SECONDS) is None
        assert SHORT_SECONDS <= time.monotonic() - began_at < 20 * SHORT_SECONDS


async def test_timer_of_an_earlier_wait_ends_no_later_wait():
    pieces = [b"%d" % number for number in range(4)]
    async with connected(sending(*pieces, gap=0.7 * SHORT_SECONDS)) as stream:
        for piece in pieces:
            due_at = time.monotonic() + 20 * SHORT_SECONDS
            if piece == pieces[0]:
                # Its timer ends while the next piece is waited for.
                due_at = time.monotonic() + SHORT_SECONDS
            assert await stream.receive_by(due_at) == piece


async def test_wait_may_end_earlier_than_the_one_before():
    async with connected(sending(b"a", gap=10)) as stream:
        assert await stream.receive_by(time.monotonic() + 10) == b"a"
        began_at = time.monotonic()
        assert await stream.receive_by(began_at + SHORT_SECONDS) is None
        assert time.monotonic() - began_at < 20 * SHORT_SECONDS


async def test_bytes_that_have_arrived_are_received_after_the_time():
    async with connected(sending(b"a", gap=10)) as stream:
        while not stream.has_received:
            await anyio.sleep(0.01)
        assert await stream.receive_by(time.monotonic() - 1) == b"a"


async def test_cancelled_wait_loses_no_bytes():
    async with connected(sending(b"", b"a", gap=2 * SHORT_SECONDS)) as stream:
        with anyio.move_on_after(SHORT_SECONDS):
            await stream.receive_by(time.monotonic() + 10)
        assert await stream.receive() == b"a"


async def test_reading_stops_while_bytes_wait():
    """An answer without end filled the memory while its caller read nothing."""
    sent = 0

    async def act(stream):
        nonlocal sent
        while True:
            await stream.send(bytes(READ_SIZE_BYTES))
            sent += READ_SIZE_BYTES

    async with connected(act) as stream:
        await anyio.sleep(0.3)
        assert len(stream._protocol.data) < 2 * READ_SIZE_BYTES
        sent_before = sent
        await anyio.sleep(0.1)
        assert sent == sent_before
        received = 0
        while received < sent_before + READ_SIZE_BYTES:
            received += len(await stream.receive())


async def test_sender_waits_for_a_slow_reader():
    async with connected(stay_silent) as stream:
        with anyio.move_on_after(SHORT_SECONDS) as scope:
            while True:
                await stream.send(bytes(READ_SIZE_BYTES))
        assert scope.cancelled_caught
        stream.abort()
        with pytest.raises(anyio.ClosedResourceError):
            await stream.send(b"x")


async def test_abort_ends_a_wait():
    async with connected(stay_silent) as stream:
        asyncio.get_running_loop().call_later(SHORT_SECONDS, stream.abort)
        with pytest.raises(anyio.ClosedResourceError):
            await stream.receive_by(time.monotonic() + 10)
