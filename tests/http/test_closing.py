"""Tests that an answer reaches the caller when the server closes the connection."""

import contextlib
import errno
import socket

import anyio
import pytest

from banyanshore.http.caller_connection import LAST_HEAD_SECONDS
from banyanshore.http.lingering import DELIVERED_SECONDS
from banyanshore.http.listener import Listener
from banyanshore.http.unfinished import Phase
from tests.http.raw import connect, read_until, running_listener
from tests.ports import free_ports
from tests.stopping.callers import Callers

pytestmark = pytest.mark.anyio

# Errors of a connection that has ended.
ENDED = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream)
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


async def test_refusal_before_the_body_was_read_announces_the_close():
    """The rest of the body counted as a further request, and the caller sent on."""
    listener = Listener(lambda exchange: exchange.respond(503))
    listener.leaving = True
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n"
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(head + b"12345")
        answer = await read_until(stream, b"\r\n\r\n")
        assert b"connection: close" in answer.lower()


async def test_request_behind_one_without_a_body_is_answered_though_that_is_refused():
    """Its end was still to be parsed, so that the refusal announced the close."""
    listener = Listener(lambda exchange: exchange.respond(503))
    listener.leaving = True
    request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(2 * request)
        answers = await read_until(stream, b"close\r\n\r\n")
        assert answers.count(b"HTTP/1.1 503") == 2


async def test_caller_that_never_stops_sending_does_not_hold_up_a_close():
    """Each of its requests was answered as long as another one had arrived."""
    listener = Listener(lambda exchange: exchange.respond(200))
    request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
    async with running_listener(listener) as address, await connect(address) as stream:

        async def send_on():
            with contextlib.suppress(*ENDED):
                while True:
                    await stream.send(request * 50)

        async def read_on():
            with contextlib.suppress(*ENDED):
                while True:
                    await stream.receive()
            await stream.aclose()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_on)
            tasks.start_soon(read_on)
            await anyio.sleep(0.2)
            with anyio.fail_after(DELIVERED_SECONDS + 1.0):
                await listener.close(10.0)
            tasks.cancel_scope.cancel()


async def test_slow_caller_holds_a_connection_only_while_it_makes_progress():
    body = b"a" * 3_000_000
    listener = Listener(lambda exchange: exchange.respond(200, body=body))
    listener.leaving = True
    async with running_listener(listener) as address:
        stream = await Callers(address, receive_buffer=8192).connect()
        async with stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            with anyio.fail_after(DELIVERED_SECONDS + 4.0):
                while not listener.find_unfinished():
                    await anyio.sleep(0.01)
                while listener.find_unfinished():
                    await anyio.sleep(0.05)


async def test_request_that_crosses_the_close_of_its_idle_connection_is_answered():
    """An idle connection was closed with the request that was arriving on it."""
    listener = Listener(lambda exchange: exchange.respond(200))
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        await read_until(stream, b"\r\n\r\n")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.close, 3.0)
            await anyio.sleep(0)
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            answer = await read_until(stream, b"\r\n\r\n")
            await stream.aclose()
        assert b"connection: close" in answer.lower()
        assert listener.find_unfinished() == []


async def test_connections_that_wait_to_be_accepted_at_a_close_are_answered():
    """They were reset, since the socket that listened was closed."""
    listener = Listener(lambda exchange: exchange.respond(200))
    async with running_listener(listener) as address:
        host, _, port = address.partition(":")
        waiting = [socket.create_connection((host, int(port))) for _ in range(10)]
        for raw in waiting:
            raw.sendall(REQUEST)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.close, 3.0)
            for raw in waiting:
                with raw:
                    data = await anyio.to_thread.run_sync(raw.recv, 4096)
                assert data.startswith(b"HTTP/1.1 200")


async def test_close_does_not_wait_longer_than_it_may():
    async def hang(exchange):
        await anyio.sleep(30)

    listener = Listener(hang)
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(REQUEST)
        while not listener.active:
            await anyio.sleep(0.01)
        with anyio.fail_after(1.0):
            await listener.close(0.1)
        assert [row.phase for row in listener.find_unfinished()] == [Phase.PROCESSING]


async def test_unfinished_connections_are_told_though_one_was_reset_meanwhile():
    """The closed descriptor raised an error, which ended the stop."""

    async def hang(exchange):
        await anyio.sleep(30)

    listener = Listener(hang)
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(REQUEST)
        while not listener.active:
            await anyio.sleep(0.01)
        (connection,) = listener._stream_by_connection
        await anyio.aclose_forcefully(connection._stream)
        (row,) = listener.find_unfinished()
    assert (row.unacknowledged_bytes, row.unread_bytes) == (0, 0)


async def test_rest_of_a_head_does_not_hold_up_a_close():
    """The listener waited for it as long as at other times."""
    listener = Listener(lambda exchange: exchange.respond(200))
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(b"GET / HTTP/1.1\r\nhost")
        await anyio.sleep(0.1)
        with anyio.fail_after(LAST_HEAD_SECONDS + DELIVERED_SECONDS + 0.5):
            await listener.close(10.0)
        assert (await read_until(stream, b"\r\n\r\n")).startswith(b"HTTP/1.1 408")


async def test_listener_on_a_host_name_serves_all_of_its_addresses():
    """Only the first address of the name was listened on."""
    (port,) = free_ports(1)
    listener = Listener(lambda exchange: exchange.respond(200))
    infos = socket.getaddrinfo("localhost", port, type=socket.SOCK_STREAM)
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.serve, f"localhost:{port}")
        for host in {info[4][0] for info in infos}:
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(REQUEST)
                await read_until(stream, b"\r\n\r\n")
        tasks.cancel_scope.cancel()


async def test_listener_goes_on_after_the_system_had_no_descriptors(monkeypatch):
    """The error ended the process."""
    accept = socket.socket.accept
    errors = [OSError(errno.EMFILE, "too many open files")] * 2

    def fail_first(self):
        if errors:
            raise errors.pop()
        return accept(self)

    monkeypatch.setattr(socket.socket, "accept", fail_first)
    listener = Listener(lambda exchange: exchange.respond(200))
    async with running_listener(listener) as address, await connect(address) as stream:
        await stream.send(REQUEST)
        assert (await read_until(stream, b"\r\n\r\n")).startswith(b"HTTP/1.1 200")


async def test_answer_sent_long_before_a_close_reaches_a_slow_caller():
    """Answers older than two seconds counted as delivered."""
    body = b"a" * 1_500_000
    listener = Listener(lambda exchange: exchange.respond(200, body=body))
    async with running_listener(listener) as address:
        callers = Callers(address, receive_buffer=8192, bytes_per_second=300_000)
        async with (
            await callers.connect() as stream,
            anyio.create_task_group() as tasks,
        ):
            sent, request = callers.make_request()
            await stream.send(request)
            tasks.start_soon(callers.receive_answer, stream, sent)
            await anyio.sleep(DELIVERED_SECONDS + 0.3)
            tasks.start_soon(listener.close, 8.0)
            await anyio.sleep(0.3)
            await stream.send(request)
    assert sent.status == 200
    assert listener.find_unfinished() == []
