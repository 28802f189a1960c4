"""The HTTP client: what a target may do to an answer."""

import socket

import anyio
import pytest

from banyanshore.core.exceptions import UnavailableError
from banyanshore.http.upstream import (
    BrokenAnswerError,
    HttpSession,
    OutgoingRequest,
    Reachability,
    fetch,
    open_answer,
    probe_address,
)
from tests.http.raw import read_until, reset, scripted
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


async def ask(act, request=GET, seconds=2.0):
    async with scripted(act) as script:
        return await fetch(script.address, request, 1_000_000, seconds)


async def test_whole_answer():
    status, _, body = await ask(answering(OK))
    assert (status, body) == (200, b"ok")


async def test_answer_without_length_is_whole_at_the_end_of_its_connection():
    _, _, body = await ask(answering(b"HTTP/1.1 200 OK\r\n\r\nall of it"))
    assert body == b"all of it"


async def test_answer_without_length_that_is_reset_is_not_whole():
    async def then(stream):
        await anyio.sleep(0.05)
        reset(stream)

    with pytest.raises(BrokenAnswerError):
        await ask(answering(b"HTTP/1.1 200 OK\r\n\r\npart", then))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
    ],
)
async def test_answer_that_breaks_off_or_is_none_is_told(data):
    with pytest.raises(BrokenAnswerError):
        await ask(answering(data))


async def test_bytes_after_a_whole_answer_belong_to_nobody():
    _, _, body = await ask(answering(OK + b"HTTP/1.1 200 OK\r\n\r\nstray"))
    assert body == b"ok"


async def test_answer_before_the_body_has_been_read():
    request = OutgoingRequest(b"POST", b"/", ((b"host", b"x"),), b"a" * 4_000_000)

    async def act(stream):
        await stream.receive(100)
        await stream.send(b"HTTP/1.1 400 Bad\r\ncontent-length: 2\r\n\r\nno")
        await anyio.sleep(5)

    status, _, body = await ask(act, request)
    assert (status, body) == (400, b"no")


async def test_connection_that_is_refused_shows_that_nothing_was_sent():
    (port,) = free_ports(1)
    with pytest.raises(UnavailableError):
        await fetch(f"127.0.0.1:{port}", GET, 100, 2.0)


async def test_silent_target_is_given_up():
    async def act(stream):
        await anyio.sleep(30)

    with pytest.raises(BrokenAnswerError):
        await ask(act, seconds=0.2)


async def test_target_sees_the_connection_closed_once_nobody_wants_the_answer():
    closed = anyio.Event()

    async def act(stream):
        await read_until(stream, b"\r\n\r\n")
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\nfirst")
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            closed.set()

    async with scripted(act) as script:
        async with open_answer(script.address, GET) as answer:
            assert await answer.receive() == b"first"
        with anyio.fail_after(1):
            await closed.wait()


async def test_session_keeps_its_connection_and_replaces_one_that_has_closed():
    async def act(stream):
        for _ in range(2):
            await read_until(stream, b"\r\n\r\n")
            await stream.send(OK)

    async with scripted(act) as script:
        session = HttpSession(script.address)
        for _ in range(4):
            assert (await session.fetch(GET, 100, 1.0))[2] == b"ok"
        assert script.connections == 2


async def test_session_drops_a_connection_with_a_stray_answer():
    async with scripted(answering(OK + OK, lambda stream: anyio.sleep(5))) as script:
        session = HttpSession(script.address)
        for _ in range(2):
            assert (await session.fetch(GET, 100, 1.0))[2] == b"ok"
        assert script.connections == 2


async def test_probe_distinguishes_open_refused_and_silent_addresses():
    async with scripted(answering(OK)) as script:
        assert await probe_address(script.address) is Reachability.OPEN
    (port,) = free_ports(1)
    assert await probe_address(f"127.0.0.1:{port}") is Reachability.REFUSED
    with socket.socket() as full, socket.socket() as waiting:
        full.bind(("127.0.0.1", port))
        full.listen(0)
        waiting.connect(("127.0.0.1", port))
        assert await probe_address(f"127.0.0.1:{port}", 0.2) is Reachability.SILENT
