"""Tests of answers that the web server sends before it has read the whole body."""

import contextlib

import anyio
import pytest

from banyanshore.core.groups import open_task_group
from banyanshore.http.asgi import BodyTooLargeError, Problem, make_application
from banyanshore.http.server import serve_http
from tests.http.raw import connect, read_all, read_until
from tests.ports import free_ports

pytestmark = pytest.mark.anyio

MAX_BYTES = 1024
HEADERS = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"


async def handle(request):
    """Answer at once at ``/early``, else with the length of the body."""
    if request.path == "/early":
        await request.respond_problem(Problem(503, "Leaving"))
        return
    try:
        body = await request.read_body(MAX_BYTES)
    except BodyTooLargeError as error:
        await request.respond_problem(Problem(413, "Too large", error.message))
        return
    await request.respond(200, b"%d" % len(body), "text/plain")


@contextlib.asynccontextmanager
async def running_server():
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"
    shutdown = anyio.Event()
    async with open_task_group() as tasks:
        tasks.start_soon(serve_http, make_application(handle), address, shutdown)
        with anyio.fail_after(5):
            while True:
                try:
                    stream = await connect(address)
                    break
                except OSError:
                    await anyio.sleep(0.01)
        async with stream:
            yield stream
        shutdown.set()


async def test_answer_before_the_end_of_the_body_announces_the_close():
    async with running_server() as stream:
        await stream.send(HEADERS % (MAX_BYTES + 10) + b"x" * (MAX_BYTES + 1))
        answer = await read_until(stream, b"}\n")
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert b"\r\nconnection: close\r\n" in answer.lower()
        await stream.send(b"x" * 9)
        assert await read_all(stream) == b""


async def test_answer_without_reading_the_body_announces_the_close():
    async with running_server() as stream:
        await stream.send((HEADERS % 10).replace(b" / ", b" /early "))
        answer = await read_until(stream, b"}\n")
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nconnection: close\r\n" in answer.lower()


async def test_answer_reaches_a_caller_that_is_still_sending():
    async with running_server() as stream:
        size = 4 * 1024 * 1024
        await stream.send(HEADERS % size)
        for _ in range(size // 65536):
            await stream.send(b"x" * 65536)
        assert (await read_all(stream)).startswith(b"HTTP/1.1 413 ")


async def test_connection_is_kept_after_a_complete_body():
    async with running_server() as stream:
        for _ in range(2):
            await stream.send(HEADERS % 3 + b"abc")
            answer = await read_until(stream, b"\r\n\r\n3")
            assert b"connection: close" not in answer.lower()


async def test_connection_is_kept_after_a_request_without_a_body():
    async with running_server() as stream:
        for _ in range(2):
            await stream.send(b"GET /early HTTP/1.1\r\nhost: h\r\n\r\n")
            answer = await read_until(stream, b"}\n")
            assert b"connection: close" not in answer.lower()
