"""Answers to callers that read slowly.

Targets cut off an answer that stays unread for some seconds, and the gateway read no
more of it than its caller had read, so that it broke off although it was ready.
"""

import contextlib
import socket
from signal import SIGTERM

import anyio
import pytest

from banyanshore.core.byte_account import Stage
from banyanshore.core.sockets import count_unacknowledged_bytes, find_socket
from banyanshore.http.listener import Listener
from banyanshore.state.routes import RouteKind
from tests.crowds.observed import ObservedProcess
from tests.gateway.deployment import Target, make_request, running_gateway
from tests.http.raw import running_listener, scripted_server
from tests.stopping.process import running_gateway_process

pytestmark = pytest.mark.anyio

# Receive buffer of a slow caller, and its segments, as on an ordinary network; the
# sender's buffer grows with both.
RECEIVE_BUFFER_BYTES = 8192
SEGMENT_BYTES = 1400
# What it reads at a time, and the seconds between.
READ_BYTES = 4096
READ_INTERVAL = 0.05
# What it reads at a time once it reads as fast as it can.
FAST_READ_BYTES = 256 * 1024
# Send buffer of a target, so that it knows what was read.
SEND_BUFFER_BYTES = 16_384
EVENT_BYTES = 8000
# Seconds after which a test gives up; all routes allow more.
TIMEOUT = 60.0
ROUTE = {"timeout_seconds": 120.0, "objective_seconds": 30.0, "max_attempts": 1}
HEAD = b"HTTP/1.1 200 OK\r\nreplica-signature: s\r\nrequest-id: id-1\r\n"
EVENT_STREAM = HEAD + b"content-type: text/event-stream\r\n"


def make_events(size):
    """Return events of at least some bytes in sum."""
    return [
        b"id: %d\ndata: %s\n\n" % (number, b"%d" % (number % 10) * EVENT_BYTES)
        for number in range(1, size // EVENT_BYTES + 2)
    ]


def in_chunks(pieces):
    for piece in pieces:
        yield b"%x\r\n%s\r\n" % (len(piece), piece)
    yield b"0\r\n\r\n"


class WatchedTarget:
    """A target that notices when its answers have been read.

    :ivar read_count: answers that the gateway's system has received to their end.
    """

    def __init__(self, head, pieces):
        self._head = head
        self._pieces = list(pieces)
        self.read_count = 0

    async def act(self, stream):
        raw = find_socket(stream)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(self._head)
            for piece in self._pieces:
                await stream.send(piece)
            while count_unacknowledged_bytes(raw):
                await anyio.sleep(0.01)
            self.read_count += 1


class SlowCaller:
    """A caller with a small window.

    :ivar received: the bytes of its answer.
    """

    def __init__(self, address):
        host, _, port = address.partition(":")
        self._address = (host, int(port))
        self.received = bytearray()

    @contextlib.asynccontextmanager
    async def asking(self, request):
        """Send a request, and keep the connection open."""
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        with raw:
            await anyio.to_thread.run_sync(raw.connect, self._address)
            raw.sendall(request)
            raw.setblocking(False)
            self._socket = raw
            yield self

    async def read_slowly(self):
        """Read a few bytes, and wait a short time."""
        await self._read(READ_BYTES)
        await anyio.sleep(READ_INTERVAL)

    async def read_rest(self):
        """Read as fast as possible, to the end of the connection."""
        while await self._read(FAST_READ_BYTES):
            pass

    async def _read(self, size):
        # A stream of the event loop would read ahead.
        await anyio.wait_readable(self._socket)
        data = self._socket.recv(size)
        self.received += data
        return len(data)

    @property
    def body(self):
        """Return the body of a whole answer in chunks, else ``None``."""
        _, _, rest = bytes(self.received).partition(b"\r\n\r\n")
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            if int(size, 16) == 0:
                return body if rest == b"\r\n" else None
            body += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]
        return None


@pytest.mark.parametrize("framing", ["chunked", "close"])
async def test_stream_is_read_to_its_end_while_its_caller_reads_slowly(
    tmp_path, framing
):
    events = make_events(2_000_000)
    body = b"".join(events)
    if framing == "chunked":
        head = EVENT_STREAM + b"transfer-encoding: chunked\r\n\r\n"
        target = WatchedTarget(head, in_chunks(events))
    else:
        target = WatchedTarget(EVENT_STREAM + b"\r\n", events)
    async with (
        scripted_server(Target(target.act).act) as server,
        running_gateway_process(
            tmp_path,
            [server.address],
            {"memory_mb": 1024},
            kind=RouteKind.STREAMING,
            **ROUTE,
        ) as gateway,
    ):
        with anyio.fail_after(TIMEOUT):
            async with SlowCaller(gateway.address).asking(make_request()) as caller:
                while not target.read_count and len(caller.received) < len(body) / 2:
                    await caller.read_slowly()
                was_read = target.read_count == 1
                await caller.read_rest()
    assert caller.body == body
    assert was_read


async def test_slow_callers_get_whole_answers_when_there_is_no_room(tmp_path):
    """Together they exceed the memory for answers many times."""
    memory_mb, count = 96, 16
    events = make_events(700_000)
    body = b"".join(events)
    head = EVENT_STREAM + b"transfer-encoding: chunked\r\n\r\n"
    target = WatchedTarget(head, in_chunks(events))
    async with (
        scripted_server(Target(target.act).act) as server,
        running_gateway_process(
            tmp_path,
            [server.address],
            {"memory_mb": memory_mb},
            kind=RouteKind.STREAMING,
            **ROUTE,
        ) as gateway,
    ):
        callers = [SlowCaller(gateway.address) for _ in range(count)]
        port = int(gateway.address.rpartition(":")[2])
        observed = ObservedProcess(gateway.process.pid, [port])

        async def read(caller):
            async with caller.asking(make_request()):
                while len(caller.received) < len(body) / 4:
                    await caller.read_slowly()
                await caller.read_rest()

        async def look():
            while True:
                await anyio.to_thread.run_sync(observed.look)
                await anyio.sleep(READ_INTERVAL)

        async with anyio.create_task_group() as looking:
            looking.start_soon(look)
            with anyio.fail_after(TIMEOUT):
                async with anyio.create_task_group() as tasks:
                    for caller in callers:
                        tasks.start_soon(read, caller)
            looking.cancel_scope.cancel()
    assert [caller.body == body for caller in callers] == [True] * count
    assert observed.most_bytes <= memory_mb * 1_000_000


async def test_answer_of_a_slow_caller_counts_once():
    """It counted as held, and again as waiting to be sent."""
    body = b"x" * 1_500_000
    head = HEAD + b"content-length: %d\r\n\r\n" % len(body)
    async with running_gateway(Target(head + body), **ROUTE) as (gateway, _):
        listener = Listener(
            gateway.request_handler.handle, gateway._limits, callers=gateway.callers
        )
        account = gateway.callers.account
        async with (
            running_listener(listener) as address,
            SlowCaller(address).asking(make_request()) as caller,
        ):
            with anyio.fail_after(TIMEOUT):
                # Until the caller's connection has taken what it takes.
                while not any(s.stage is Stage.SENDING for s in account._shares):
                    await caller.read_slowly()
            assert account.total < 1.5 * len(body)
            await caller.read_rest()
        assert gateway.answer_memory.held_bytes == 0
    assert caller.received.endswith(body)


async def test_target_is_free_once_its_answer_was_read():
    """It counted as busy until the caller had the answer, and others were refused."""
    events = make_events(900_000)
    head = EVENT_STREAM + b"transfer-encoding: chunked\r\n\r\n"
    target = WatchedTarget(head, in_chunks(events))
    async with running_gateway(
        Target(target.act), kind=RouteKind.STREAMING, **ROUTE
    ) as (gateway, address):
        (row,) = gateway.registry.targets.rows()
        load = gateway.board.load(row.address)
        async with SlowCaller(address).asking(make_request()) as caller:
            with anyio.fail_after(TIMEOUT):
                await caller.read_slowly()
                while load.own_in_flight and len(caller.received) < 300_000:
                    await caller.read_slowly()
            assert load.own_in_flight == 0
            assert gateway.runs
            await caller.read_rest()
    assert caller.body == b"".join(events)


@pytest.mark.parametrize("pause", [0.4, 5.0], ids=["slowly", "after-a-pause"])
async def test_answer_is_whole_however_slowly_its_caller_reads(tmp_path, pause):
    """The system reset a caller whose window was closed, three seconds later.

    TCP_USER_TIMEOUT counts that as silence, also while the caller reads a little.
    """
    events = make_events(1_000_000)
    body = b"".join(events)
    head = EVENT_STREAM + b"transfer-encoding: chunked\r\n\r\n"
    target = WatchedTarget(head, in_chunks(events))
    async with (
        scripted_server(Target(target.act).act) as server,
        running_gateway_process(
            tmp_path, [server.address], kind=RouteKind.STREAMING, **ROUTE
        ) as gateway,
        SlowCaller(gateway.address).asking(make_request()) as caller,
    ):
        with anyio.fail_after(TIMEOUT):
            began_at = anyio.current_time()
            while anyio.current_time() < began_at + 6.0:
                await caller.read_slowly()
                await anyio.sleep(pause)
            await caller.read_rest()
    assert caller.body == body


@pytest.mark.parametrize("kind", [RouteKind.STREAMING, RouteKind.IDEMPOTENT])
async def test_answer_that_has_arrived_is_not_cut_off_before_the_end_of_a_stop(
    tmp_path, kind
):
    """It was broken off when answers of targets are due, half a tenth before."""
    grace = 16.0
    events = make_events(3_500_000)
    body = b"".join(events)
    head = EVENT_STREAM + b"transfer-encoding: chunked\r\n\r\n"
    target = WatchedTarget(head, in_chunks(events))
    async with (
        scripted_server(Target(target.act).act) as server,
        running_gateway_process(
            tmp_path,
            [server.address],
            {"memory_mb": 1024, "grace_seconds": grace},
            kind=kind,
            **ROUTE | {"timeout_seconds": grace},
        ) as gateway,
        SlowCaller(gateway.address).asking(make_request()) as caller,
    ):
        with anyio.fail_after(TIMEOUT):
            await caller.read_slowly()
            gateway.signal(SIGTERM)
            while anyio.current_time() < gateway.stopped_at + 0.86 * grace:
                await caller.read_slowly()
            await caller.read_rest()
        assert await gateway.wait() == 0
        assert gateway.stop_seconds < grace
    assert target.read_count == 1
    if kind is RouteKind.STREAMING:
        assert caller.body == body
    else:
        assert caller.received.endswith(body)
