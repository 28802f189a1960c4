"""Tests of the HTTP server: limits, disconnects and incomplete answers."""

import anyio
import pytest

from banyanshore.http.listener import Listener, ListenerLimits
from tests.http.raw import connect, read_all, read_until, running_listener

pytestmark = pytest.mark.anyio


async def echo(exchange):
    body = await exchange.read_body()
    await exchange.respond(200, [(b"x-path", exchange.path.encode())], body)


async def send_raw(listener, data, rest=b""):
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(data)
        if rest:
            await anyio.sleep(0.05)
            await stream.send(rest)
        return await read_all(stream)


async def test_connection_is_reused_for_consecutive_requests():
    listener = Listener(echo)
    async with running_listener(listener) as address, await connect(address) as stream:
        for text in (b"one", b"two"):
            await stream.send(
                b"POST /a?b HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\n" + text
            )
            answer = await read_until(stream, text)
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"x-path: /a\r\n" in answer


async def test_pipelined_requests_are_answered_in_order():
    one = b"POST /1 HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\na"
    two = b"GET /2 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    answer = await send_raw(Listener(echo), one + two)
    assert answer.index(b"x-path: /1") < answer.index(b"x-path: /2")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nhost: x\r\nbad header\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"a" * 3000 + b"\r\n\r\n", 431),
        (
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\n" + b"a" * 2000,
            413,
        ),
        (
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            400,
        ),
        (b"GET / HTT", 408),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc", 408),
    ],
)
async def test_invalid_or_oversized_request_is_rejected_and_closes_the_connection(
    data, status
):
    limits = ListenerLimits(2048, 1024, 0.1, 5.0)
    answer = await send_raw(Listener(echo, lambda: limits), data)
    assert answer.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"connection: close" in answer


async def test_idle_connection_is_closed_after_the_timeout():
    limits = ListenerLimits(idle_timeout=0.1)
    assert await send_raw(Listener(echo, lambda: limits), b"") == b""


async def test_chunked_body_is_read_completely():
    head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n"
    data = head + b"connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    assert (await send_raw(Listener(echo), data)).endswith(b"abcde")


async def test_handler_is_cancelled_when_the_caller_disconnects():
    cancelled = anyio.Event()
    begun = anyio.Event()

    async def work():
        begun.set()
        try:
            await anyio.sleep(30)
        finally:
            cancelled.set()

    async def handle(exchange):
        assert not await exchange.run_while_connected(work)

    async with running_listener(Listener(handle)) as address:
        async with await connect(address) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            await begun.wait()
        with anyio.fail_after(1):
            await cancelled.wait()


async def test_interrupted_answer_has_no_end_marker():
    async def handle(exchange):
        await exchange.start(200, [])
        await exchange.send(b"part")

    answer = await send_raw(Listener(handle), b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    assert answer.endswith(b"part\r\n")
    assert b"\r\n0\r\n" not in answer


async def test_error_in_the_handler_closes_only_its_connection():
    async def handle(exchange):
        if exchange.path == "/bad":
            raise RuntimeError("planted")
        await exchange.respond(200)

    listener = Listener(handle)
    async with running_listener(listener) as address:
        async with await connect(address) as stream:
            await stream.send(b"GET /bad HTTP/1.1\r\nhost: x\r\n\r\n")
            assert await read_all(stream) == b""
        async with await connect(address) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            assert await read_until(stream, b"\r\n\r\n")
    assert listener.active == 0


async def test_leaving_server_announces_the_close_in_its_answers():
    listener = Listener(echo)
    listener.leaving = True
    answer = await send_raw(listener, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    assert b"connection: close" in answer
