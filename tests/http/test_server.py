"""Tests of answers that the web server sends before it has read the whole body."""

import pytest

from banyanshore.http.asgi import BodyTooLargeError, Problem
from tests.http.raw import read_all, read_until, running_web_server

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


async def test_answer_before_the_end_of_the_body_announces_the_close():
    async with running_web_server(handle) as stream:
        await stream.send(HEADERS % (MAX_BYTES + 10) + b"x" * (MAX_BYTES + 1))
        answer = await read_until(stream, b"}\n")
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert b"\r\nconnection: close\r\n" in answer.lower()
        await stream.send(b"x" * 9)
        assert await read_all(stream) == b""


async def test_answer_without_reading_the_body_announces_the_close():
    async with running_web_server(handle) as stream:
        await stream.send((HEADERS % 10).replace(b" / ", b" /early "))
        answer = await read_until(stream, b"}\n")
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nconnection: close\r\n" in answer.lower()


async def test_answer_reaches_a_caller_that_is_still_sending():
    async with running_web_server(handle) as stream:
        size = 4 * 1024 * 1024
        await stream.send(HEADERS % size)
        for _ in range(size // 65536):
            await stream.send(b"x" * 65536)
        assert (await read_all(stream)).startswith(b"HTTP/1.1 413 ")


async def test_connection_is_kept_after_a_complete_body():
    async with running_web_server(handle) as stream:
        for _ in range(2):
            await stream.send(HEADERS % 3 + b"abc")
            answer = await read_until(stream, b"\r\n\r\n3")
            assert b"connection: close" not in answer.lower()


async def test_connection_is_kept_after_a_request_without_a_body():
    async with running_web_server(handle) as stream:
        for _ in range(2):
            await stream.send(b"GET /early HTTP/1.1\r\nhost: h\r\n\r\n")
            answer = await read_until(stream, b"}\n")
            assert b"connection: close" not in answer.lower()
