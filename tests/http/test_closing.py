"""Tests that an answer reaches the caller when the server closes the connection."""

import anyio
import pytest

from banyanshore.http.closing import LINGER_SECONDS
from banyanshore.http.listener import Listener
from tests.http.raw import connect, read_until, running_listener
from tests.stopping.callers import Callers

pytestmark = pytest.mark.anyio

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


async def test_caller_that_keeps_sending_gets_the_complete_answer():
    """Closing a connection with unread bytes resets it, and the answer is lost."""

    async def refuse(exchange):
        await exchange.respond(503, [(b"connection", b"close")], b"not run")

    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 400000\r\n\r\n"
    listener = Listener(refuse)
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(head + b"a" * 100_000)
        await anyio.sleep(0.1)
        await stream.send(b"a" * 300_000)
        await anyio.sleep(0.1)
        assert (await read_until(stream, b"not run")).startswith(b"HTTP/1.1 503")


async def test_server_does_not_wait_for_callers_that_never_close():
    listener = Listener(lambda exchange: exchange.respond(200))
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(REQUEST)
        await read_until(stream, b"\r\n\r\n")
        with anyio.fail_after(3.0):
            while True:
                try:
                    await stream.send(b"more")
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    break
                await anyio.sleep(0.05)


async def test_caller_that_sends_further_requests_gets_the_complete_answer():
    """The close with an unread request reset the connection, and its answer."""
    body = b"a" * 3_000_000
    listener = Listener(lambda exchange: exchange.respond(200, body=body))
    async with running_listener(listener) as address:
        callers = Callers(address, receive_buffer=8192, bytes_per_second=4_000_000)
        listener.leaving = True
        await callers.ask_without_waiting(pause=0.05)
    assert callers.rows[0].received_bytes > len(body)


async def test_slow_caller_holds_a_connection_only_while_it_makes_progress():
    body = b"a" * 3_000_000
    listener = Listener(lambda exchange: exchange.respond(200, body=body))
    listener.leaving = True
    async with running_listener(listener) as address:
        stream = await Callers(address, receive_buffer=8192).connect()
        async with stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            with anyio.fail_after(LINGER_SECONDS + 4.0):
                while not listener.find_unfinished():
                    await anyio.sleep(0.01)
                while listener.find_unfinished():
                    await anyio.sleep(0.05)
