"""What a web server counts for callers, and by which protocols it serves them."""

import contextlib

import anyio
import pytest

from banyanshore.core.byte_account import MEMORY_FRACTION
from banyanshore.http.asgi import make_application
from banyanshore.http.caller_account import CallerAccount
from banyanshore.http.server import WebServer
from tests.http.raw import call_without_reading, connect, read_rest, read_until
from tests.ports import free_ports

pytestmark = pytest.mark.anyio

BUDGET = 1_000_000
LONG_BYTES = 200_000
LONG = b"GET /long HTTP/1.1\r\nhost: x\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nhost: x\r\n"
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
H2C = (
    b"connection: upgrade, http2-settings\r\nupgrade: h2c\r\n"
    b"http2-settings: AAMAAABk\r\n"
)
WEB_SOCKET = (
    b"connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n"
    b"sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
)


async def handle(request):
    """Answer at ``/long`` with a long body, else with a short one."""
    size = LONG_BYTES if request.path == "/long" else 2
    await request.respond(200, b"x" * size, "text/plain")


@contextlib.asynccontextmanager
async def serving():
    """Run a web server with a small account; yield its address and the account."""
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"
    callers = CallerAccount(int(BUDGET / MEMORY_FRACTION))
    server = WebServer(make_application(handle), address, callers)
    shutdown = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, shutdown)
        with anyio.fail_after(5):
            while True:
                with contextlib.suppress(OSError):
                    await (await connect(address)).aclose()
                    break
                await anyio.sleep(0.01)
        yield address, callers.account
        shutdown.set()


async def wait_until(check):
    with anyio.fail_after(5):
        while not check():
            await anyio.sleep(0.01)


@pytest.mark.parametrize(
    "sent",
    [HTTP2_PREFACE, GET + H2C + b"\r\n", GET + WEB_SOCKET + b"\r\n"],
    ids=["http2", "h2c", "websocket"],
)
async def test_connection_stays_with_http_1(sent):
    """By HTTP/2 one connection had many requests, of which the account saw one."""
    async with serving() as (address, _), await connect(address) as stream:
        await stream.send(sent)
        answer = await read_until(stream, b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 "), answer
    assert not answer.startswith(b"HTTP/1.1 101 "), answer


async def test_answers_that_are_left_unread_are_cut_off_recognizably():
    """They were counted only while the connection was in use, and closed in order."""
    async with serving() as (address, account):
        with contextlib.ExitStack() as stack:
            callers = []
            for _ in range(2 * BUDGET // LONG_BYTES):
                caller = call_without_reading(address, LONG)
                callers.append(stack.enter_context(caller))
                await anyio.sleep(0.02)
            ends = [await read_rest(caller) for caller in callers]
            assert not account.is_over
    whole = [count for count, _ in ends if count > LONG_BYTES]
    assert 0 < len(whole) * LONG_BYTES <= BUDGET
    assert all(was_reset for count, was_reset in ends if count <= LONG_BYTES)


async def test_heads_that_do_not_end_are_counted():
    """Each caller could leave 64 KB of a head in the process."""
    head = GET + b"x-fill: " + b"x" * 60_000
    count = 8
    async with serving() as (address, account), contextlib.AsyncExitStack() as stack:
        for _ in range(count):
            stream = await stack.enter_async_context(await connect(address))
            await stream.send(head)
        await wait_until(lambda: account.total >= count * len(head))
        for _ in range(2 * BUDGET // len(head)):
            stream = await stack.enter_async_context(await connect(address))
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(head)
            assert not account.is_over
    await wait_until(lambda: account.total < BUDGET / 10)
