"""What callers get when a process needs the memory or descriptors that they take."""

import contextlib

import anyio
import pytest

from banyanshore.core.byte_account import MEMORY_FRACTION, Stage
from banyanshore.http import lingering
from banyanshore.http.caller_account import (
    LOOK_SECONDS,
    MAX_LOGGED_IN_SECOND,
    CallerAccount,
)
from banyanshore.http.exchange import NO_ROOM_SECONDS
from banyanshore.http.lingering import STALLED_SECONDS
from banyanshore.http.listener import Listener
from banyanshore.http.wire import has_unread_bytes
from banyanshore.telemetry.light import LightRegistry, add_stopped_callers
from tests.http.raw import (
    call_without_reading,
    connect,
    read_all,
    read_rest,
    read_until,
    running_listener,
)

pytestmark = pytest.mark.anyio

BUDGET = 1_000_000
MEMORY_BYTES = int(BUDGET / MEMORY_FRACTION)
BODY_BYTES = 900_000
UNREAD_BYTES = 200_000
GET = b"GET / HTTP/1.1\r\nhost: x\r\n"
LAST = b"connection: close\r\n\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES


class Handler:
    """Answer with the length of the body, or with a long answer at ``/long``."""

    def __init__(self):
        self.run = 0

    async def __call__(self, exchange):
        body = await exchange.read_body()
        self.run += 1
        size = 20_000_000 if exchange.path == "/long" else len(body)
        await exchange.respond(200, (), b"x" * size)


@contextlib.asynccontextmanager
async def serving(handler, max_descriptors=4096, stopped=None):
    """Run a listener with a small account; yield its address and the account."""
    callers = CallerAccount(MEMORY_BYTES, max_descriptors, stopped)
    async with running_listener(Listener(handler, callers=callers)) as address:
        yield address, callers.account


async def wait_until(check):
    with anyio.fail_after(5):
        while not check():
            await anyio.sleep(0.01)


async def test_body_that_there_is_no_room_for_is_refused_and_never_runs():
    handler = Handler()
    async with (
        serving(handler) as (address, _),
        await connect(address) as stream,
    ):
        await stream.send(POST + bytes(BODY_BYTES))
        answer = await read_all(stream)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: %d\r\n" % NO_ROOM_SECONDS in answer.lower()
    assert b"connection: close\r\n" in answer.lower()
    assert handler.run == 0


async def test_body_within_the_account_is_served():
    async with serving(Handler()) as (address, _), await connect(address) as stream:
        body = bytes(BUDGET // 2)
        head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n" % len(body)
        await stream.send(head + LAST + body)
        answer = await read_all(stream)
    assert answer.startswith(b"HTTP/1.1 200 ")


async def test_answer_that_is_not_read_is_cut_off_recognizably():
    """A caller that reads nothing kept its whole answer in the process."""
    async with serving(Handler()) as (address, account):
        stream = await connect(address)
        async with stream:
            await stream.send(b"GET /long HTTP/1.1\r\nhost: x\r\n\r\n")
            await wait_until(lambda: not account.total)
            with pytest.raises(anyio.BrokenResourceError):
                while True:
                    await stream.receive()
        async with await connect(address) as other:
            await other.send(GET + LAST)
            assert (await read_all(other)).startswith(b"HTTP/1.1 200 ")


async def test_idle_connection_is_closed_for_another():
    async with (
        serving(Handler(), max_descriptors=4) as (address, account),
        contextlib.AsyncExitStack() as stack,
    ):
        idle = [
            await stack.enter_async_context(await connect(address)) for _ in range(2)
        ]
        await wait_until(lambda: account.is_full)
        assert not any(has_unread_bytes(stream) for stream in idle)
        other = await stack.enter_async_context(await connect(address))
        await other.send(GET + LAST)
        assert (await read_all(other)).startswith(b"HTTP/1.1 200 ")
        assert [has_unread_bytes(stream) for stream in idle] == [True, False]


async def test_account_is_empty_once_all_connections_have_ended():
    async with serving(Handler()) as (address, account):
        for _ in range(3):
            async with await connect(address) as stream:
                await stream.send(GET + b"\r\n" + GET + LAST)
                assert (await read_all(stream)).count(b"HTTP/1.1 200 ") == 2
        await wait_until(lambda: not account.total)


class Holder:
    """A connection that ends as soon as it is asked to stop."""

    request_id = "id-1"

    def stop(self):
        pass


async def test_stopped_callers_are_counted_and_few_are_logged(caplog):
    stopped = add_stopped_callers(LightRegistry())
    callers = CallerAccount(MEMORY_BYTES, 4096, stopped)
    count = 3 * MAX_LOGGED_IN_SECOND
    for _ in range(count):
        share = callers.open()
        share.holder, share.stage = Holder(), Stage.READING
        callers.hold(share, 2 * BUDGET)
    assert sum(stopped._values.values()) == count
    assert stopped._values["reading", "memory"] == count
    assert 0 < len(caplog.records) <= 2 * MAX_LOGGED_IN_SECOND


async def test_framing_of_chunks_that_were_parsed_is_not_counted():
    """A small body in small chunks with extensions was refused in calm."""
    chunk = b"10;%s\r\n%s\r\n" % (b"x" * 1000, bytes(16))
    count = 2 * BUDGET // len(chunk)
    async with (
        serving(Handler()) as (address, _),
        await connect(address) as stream,
    ):
        await stream.send(b"POST / HTTP/1.1\r\nhost: x\r\n" + CHUNKED)
        await stream.send(chunk * count + b"0\r\n\r\n")
        answer = await read_until(stream, b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200 ")


async def reject(exchange):
    """Answer requests at ``/none`` without reading their bodies."""
    status = 404 if exchange.path == "/none" else 200
    if status == 200:
        await exchange.read_body()
    await exchange.respond(status)


async def test_endless_body_of_a_rejected_request_is_bounded():
    """It was discarded without end, counted as held, and couldn't be stopped."""
    async with (
        serving(reject) as (address, account),
        await connect(address) as endless,
        await connect(address) as other,
    ):
        await other.send(POST + b"x")
        await endless.send(b"POST /none HTTP/1.1\r\nhost: x\r\n" + CHUNKED)
        chunk = b"10000\r\n%s\r\n" % bytes(0x10000)
        with anyio.fail_after(20), pytest.raises(anyio.BrokenResourceError):
            while True:
                await endless.send(chunk)
                assert account.total < BUDGET / 2
        await other.send(bytes(BODY_BYTES // 2 - 1))
        await wait_until(lambda: account.total > BODY_BYTES // 2)


async def answer_long(exchange):
    """Answer with a body that the buffers of the system take at once."""
    await exchange.respond(200, (), bytes(UNREAD_BYTES))


async def test_answers_that_the_system_took_are_counted_and_cut_off():
    """An answer that never had to wait was in no share, and stayed with the system."""
    async with serving(answer_long) as (address, account):
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(call_without_reading(address, GET + b"\r\n"))
            await wait_until(lambda: account.total > UNREAD_BYTES * 9 // 10)
            others = []
            for _ in range(2 * BUDGET // UNREAD_BYTES):
                others.append(
                    stack.enter_context(call_without_reading(address, GET + b"\r\n"))
                )
                await anyio.sleep(0.02)
            await wait_until(lambda: not account.is_over)
            ends = [await read_rest(caller) for caller in (first, *others)]
        whole = [count for count, _ in ends if count > UNREAD_BYTES]
        assert 0 < len(whole) * UNREAD_BYTES <= BUDGET
        assert all(was_reset for count, was_reset in ends if count <= UNREAD_BYTES)


async def test_running_answer_that_is_left_unread_is_cut_off():
    """What the system had taken of it held the account, and others were refused."""
    began = []

    async def begin(exchange):
        if exchange.path == "/body":
            await Handler()(exchange)
            return

        async def work():
            await exchange.start(200, ((b"content-length", b"%d" % BODY_BYTES),))
            await exchange.send(bytes(UNREAD_BYTES))
            began.append(exchange)
            await anyio.sleep(60)

        await exchange.run_while_connected(work)

    async with serving(begin) as (address, _):
        with contextlib.ExitStack() as stack:
            for _ in range(2 * BUDGET // UNREAD_BYTES):
                stack.enter_context(call_without_reading(address, GET + b"\r\n"))
                await anyio.sleep(0.02)
            await wait_until(lambda: began)
            # Until the buffers were looked at.
            await anyio.sleep(2 * LOOK_SECONDS)
            async with await connect(address) as other:
                head = b"POST /body HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n"
                await other.send(head + LAST + bytes(9))
                assert (await read_all(other)).startswith(b"HTTP/1.1 200 ")


async def test_what_a_caller_leaves_unread_at_the_end_is_counted():
    """The connection was closed, and the system kept the answer for minutes."""
    async with serving(answer_long) as (address, account):
        with call_without_reading(address, GET + LAST) as caller:
            await anyio.sleep(STALLED_SECONDS + 1)
            assert account.total > UNREAD_BYTES * 9 // 10
            count, was_reset = await read_rest(caller)
            assert count > UNREAD_BYTES
            assert not was_reset


async def test_caller_that_never_reads_the_end_is_reset(monkeypatch):
    monkeypatch.setattr(lingering, "UNREAD_SECONDS", 0.5)
    async with serving(answer_long) as (address, account):
        with call_without_reading(address, GET + LAST) as caller:
            await wait_until(lambda: account.total > UNREAD_BYTES * 9 // 10)
            await wait_until(lambda: not account.total)
            count, was_reset = await read_rest(caller)
            assert count < UNREAD_BYTES
            assert was_reset
