"""Tests of the HTTP client: invalid, interrupted and late answers of a target."""

import asyncio
import contextlib
import socket
import time

import anyio
import pytest

from banyanshore.core.exceptions import UnavailableError
from banyanshore.http import upstream
from banyanshore.http.upstream import (
    BrokenAnswerError,
    HttpSession,
    OutgoingRequest,
    Reachability,
    fetch,
    open_answer,
    probe_address,
)
from banyanshore.transport.tcp_stream import connect_stream
from tests.http.raw import read_until, reset, scripted_server
from tests.ports import free_ports

pytestmark = pytest.mark.anyio

GET = OutgoingRequest(b"GET", b"/", ((b"host", b"x"),))
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def answering(data, then=None):
    async def act(stream):
        await read_until(stream, b"\r\n\r\n")
        await stream.send(data)
        if then is not None:
            await then(stream)

    return act


async def fetch_from(act, request=GET, seconds=2.0):
    async with scripted_server(act) as server:
        return await fetch(server.address, request, 1_000_000, seconds)


async def test_complete_answer():
    status, _, body = await fetch_from(answering(OK))
    assert (status, body) == (200, b"ok")


async def test_answer_without_length_is_complete_at_the_end_of_the_stream():
    _, _, body = await fetch_from(answering(b"HTTP/1.1 200 OK\r\n\r\nall of it"))
    assert body == b"all of it"


async def test_answer_without_length_is_incomplete_after_a_reset():
    async def then(stream):
        await anyio.sleep(0.05)
        reset(stream)

    with pytest.raises(BrokenAnswerError):
        await fetch_from(answering(b"HTTP/1.1 200 OK\r\n\r\npart", then))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
    ],
)
async def test_incomplete_or_invalid_answer_raises_an_error(data):
    with pytest.raises(BrokenAnswerError):
        await fetch_from(answering(data))


async def test_bytes_after_a_complete_answer_are_ignored():
    _, _, body = await fetch_from(answering(OK + b"HTTP/1.1 200 OK\r\n\r\nstray"))
    assert body == b"ok"


async def test_answer_sent_before_the_body_is_read_is_received():
    request = OutgoingRequest(b"POST", b"/", ((b"host", b"x"),), b"a" * 4_000_000)

    async def act(stream):
        await stream.receive(100)
        await stream.send(b"HTTP/1.1 400 Bad\r\ncontent-length: 2\r\n\r\nno")
        await anyio.sleep(5)

    status, _, body = await fetch_from(act, request)
    assert (status, body) == (400, b"no")


async def test_refused_connection_means_that_nothing_was_sent():
    (port,) = free_ports(1)
    with pytest.raises(UnavailableError):
        await fetch(f"127.0.0.1:{port}", GET, 100, 2.0)


async def test_fetch_from_a_silent_target_times_out():
    async def act(stream):
        await anyio.sleep(30)

    with pytest.raises(BrokenAnswerError):
        await fetch_from(act, seconds=0.2)


async def test_connection_is_closed_when_the_answer_is_abandoned():
    closed = anyio.Event()

    async def act(stream):
        await read_until(stream, b"\r\n\r\n")
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\nfirst")
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            closed.set()

    async with scripted_server(act) as server:
        async with open_answer(server.address, GET) as answer:
            assert await answer.receive() == b"first"
        with anyio.fail_after(1):
            await closed.wait()


@contextlib.asynccontextmanager
async def receiver_that_does_not_read():
    """Yield an address, and a coroutine function that reads what has arrived there."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        # Accepted connections inherit the size of the buffer.
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

        async def read_arrived():
            connection, _ = server.accept()
            connection.setblocking(False)
            with connection:
                return await read_socket(connection)

        yield f"127.0.0.1:{server.getsockname()[1]}", read_arrived


async def read_socket(connection):
    """Return the number of bytes up to the end, and whether the end was a reset."""
    size = 0
    with anyio.fail_after(5):
        while True:
            await anyio.wait_readable(connection)
            try:
                data = connection.recv(65536)
            except ConnectionResetError:
                return size, True
            if not data:
                return size, False
            size += len(data)


async def give_up_by_timeout(address, request):
    with pytest.raises(BrokenAnswerError):
        async with open_answer(address, request, progress_timeout=0.2):
            pass


async def give_up_by_cancellation(address, request):
    with anyio.move_on_after(0.2):
        async with open_answer(address, request):
            pass


async def give_up_in_a_session(address, request):
    with pytest.raises(BrokenAnswerError):
        await HttpSession(address).fetch(request, 100, 0.2)


@pytest.mark.parametrize(
    "give_up", [give_up_by_timeout, give_up_by_cancellation, give_up_in_a_session]
)
async def test_request_that_is_given_up_does_not_arrive_after_the_close(give_up):
    """The kernel delivered it behind the close, and the target ran it to its end."""
    request = OutgoingRequest(b"POST", b"/", ((b"host", b"x"),), b"a" * 60_000)
    async with receiver_that_does_not_read() as (address, read_arrived):
        await give_up(address, request)
        size, was_reset = await read_arrived()
    assert size < len(request.body)
    assert was_reset


async def test_connection_is_not_reset_after_a_complete_answer():
    """A target may still send the end of its answer, or wait for an orderly close."""
    endings = []

    async def act(stream):
        await read_until(stream, b"\r\n\r\n")
        await stream.send(OK)
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
            endings.append(type(error))

    async with scripted_server(act) as server:
        await fetch(server.address, GET, 100, 2.0)
        with anyio.fail_after(2):
            while not endings:
                await anyio.sleep(0.01)
    assert endings == [anyio.EndOfStream]


async def test_session_reuses_its_connection_and_replaces_a_closed_one():
    async def act(stream):
        for _ in range(2):
            await read_until(stream, b"\r\n\r\n")
            await stream.send(OK)

    async with scripted_server(act) as server:
        session = HttpSession(server.address)
        for _ in range(4):
            assert (await session.fetch(GET, 100, 1.0))[2] == b"ok"
        assert server.connections == 2


async def test_session_drops_a_connection_with_an_unexpected_answer():
    async with scripted_server(
        answering(OK + OK, lambda stream: anyio.sleep(5))
    ) as server:
        session = HttpSession(server.address)
        for _ in range(2):
            assert (await session.fetch(GET, 100, 1.0))[2] == b"ok"
        assert server.connections == 2


async def test_probe_distinguishes_open_refused_and_silent_addresses():
    async with scripted_server(answering(OK)) as server:
        assert await probe_address(server.address) is Reachability.OPEN
    (port,) = free_ports(1)
    assert await probe_address(f"127.0.0.1:{port}") is Reachability.REFUSED
    with socket.socket() as full, socket.socket() as waiting:
        full.bind(("127.0.0.1", port))
        full.listen(0)
        waiting.connect(("127.0.0.1", port))
        assert await probe_address(f"127.0.0.1:{port}", 0.2) is Reachability.SILENT


async def test_connection_that_opened_while_the_process_stood_still_is_used(
    monkeypatch,
):
    """The timeout ended first, and a request was refused that a target could run."""
    calls = []

    async def connect_and_stall(host, port):
        calls.append(port)
        if len(calls) == 1:
            asyncio.get_running_loop().call_soon(time.sleep, 0.3)
        return await connect_stream(host, port)

    async def answer_requests(stream):
        # The first connection closes without one.
        with contextlib.suppress(anyio.EndOfStream):
            await answering(OK)(stream)

    monkeypatch.setattr(upstream, "connect_stream", connect_and_stall)
    async with (
        scripted_server(answer_requests) as server,
        open_answer(server.address, GET, connect_timeout=0.1) as answer,
    ):
        assert await answer.read_body(10) == b"ok"
    assert len(calls) == 2
