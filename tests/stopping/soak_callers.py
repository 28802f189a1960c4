"""Callers of a soak, who go to another gateway when one doesn't accept them."""

import contextlib
import itertools
import time
from dataclasses import dataclass

import anyio
import h11

from banyanshore.state.routes import RouteKind
from tests.stopping.callers import Callers
from tests.stopping.soak_plan import CallerKind
from tests.stopping.soak_target import make_pieces

# Receive buffer of slow callers in bytes, and the bytes that they read in a second.
SLOW_RECEIVE_BUFFER = 8192
SLOW_BYTES_PER_SECOND = 2_000_000
# Requests that a pipelining caller sends before it waits for their answers.
PIPELINED_REQUESTS = 4
# Seconds until a caller whom no gateway accepts tries again.
REFUSED_PAUSE = 0.05
_REFUSED_STATUSES = frozenset({429, 503})


@dataclass
class Row:
    """A request and what became of it.

    :ivar sent_at: monotonic time at which its last byte was sent.
    :ivar ended_at: monotonic time at which its answer or its connection ended.
    :ivar status: status of its whole answer, 0 without one.
    :ivar foreign: what its answer holds that isn't its own.
    """

    request_id: str
    gateway: int
    connection: int
    kind: CallerKind
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_last: bool = False
    received_bytes: int = 0
    left: bool = False
    error: str = ""
    foreign: str = ""


class SoakCallers:
    """All callers of a soak.

    :param addresses: addresses of the gateways.
    :ivar rows: all requests as :class:`Row`, in the order in which they were sent.
    """

    def __init__(self, plan, addresses):
        self._plan = plan
        self._addresses = addresses
        self._request_numbers = itertools.count(1)
        self._connection_numbers = itertools.count(1)
        self.rows = []
        self.is_over = False

    async def run(self, caller):
        """Ask until :attr:`is_over`.

        :param caller: the :class:`~tests.stopping.soak_plan.CallerPlan`.
        """
        act = _ACT_BY_KIND[caller.kind]
        is_slow = caller.kind in (CallerKind.SLOW, CallerKind.PIPELINING)
        gateway = caller.first_gateway
        while not self.is_over:
            receive_buffer = SLOW_RECEIVE_BUFFER if is_slow else None
            entrance = Callers(self._addresses[gateway], receive_buffer)
            try:
                stream = await entrance.connect()
            except (OSError, ValueError):
                # It raises ValueError if the connection was reset meanwhile.
                gateway = (gateway + 1) % len(self._addresses)
                await anyio.sleep(REFUSED_PAUSE)
                continue
            rate = SLOW_BYTES_PER_SECOND if is_slow else None
            number = next(self._connection_numbers)
            channel = Channel(stream, rate, gateway, number, self, caller.kind)
            async with stream:
                is_refused = await act(self, channel, caller)
            if is_refused:
                gateway = (gateway + 1) % len(self._addresses)
            await anyio.sleep(caller.pause_seconds)

    async def _ask_on_kept_connection(self, channel, caller):
        while await channel.ask() and not self.is_over:
            await anyio.sleep(caller.pause_seconds)
        return False

    async def _ask_once(self, channel, caller):
        await channel.ask()
        return channel.rows[-1].status in _REFUSED_STATUSES

    async def _ask_in_a_row(self, channel, caller):
        while not self.is_over:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(channel.send_in_a_row, caller.pause_seconds)
                can_go_on = await channel.receive_in_a_row()
                tasks.cancel_scope.cancel()
            if not can_go_on:
                return False
        return False

    async def _ask_and_leave(self, channel, caller):
        with anyio.move_on_after(caller.leave_seconds) as scope:
            await channel.ask()
        if scope.cancelled_caught and channel.rows:
            row = channel.rows[-1]
            row.left, row.ended_at = True, time.monotonic()
        return False

    def make_row(self, gateway, connection, kind):
        """Return the :class:`Row` of a new request, and its bytes."""
        request_id = f"s{self._plan.seed}-{next(self._request_numbers)}"
        row = Row(request_id, gateway, connection, kind, time.monotonic())
        self.rows.append(row)
        lines = [
            "GET /p HTTP/1.1",
            "host: a.example",
            f"request-id: {request_id}",
            "authorization: Bearer key",
            "deadline-ms: 30000",
            "",
            "",
        ]
        return row, "\r\n".join(lines).encode()

    def make_body(self, request_id):
        """Return the body of the whole answer of a target."""
        is_streaming = self._plan.kind is RouteKind.STREAMING
        return b"".join(make_pieces(request_id, self._plan.answer_bytes, is_streaming))


_ACT_BY_KIND = {
    CallerKind.KEPT: SoakCallers._ask_on_kept_connection,
    CallerKind.NEW_CONNECTIONS: SoakCallers._ask_once,
    CallerKind.SLOW: SoakCallers._ask_on_kept_connection,
    CallerKind.PIPELINING: SoakCallers._ask_in_a_row,
    CallerKind.LEAVING: SoakCallers._ask_and_leave,
}


class Channel:
    """A connection of a caller to a gateway.

    :ivar rows: its requests in the order in which they were sent.
    :ivar is_closing: whether an answer has announced the end of the connection; its
        caller then sends nothing further (RFC 9112, section 9.6).
    """

    def __init__(self, stream, bytes_per_second, gateway, number, callers, kind):
        self._stream = stream
        self._bytes_per_second = bytes_per_second
        self._callers = callers
        self._place = (gateway, number, kind)
        self._rest = b""
        self.rows = []
        self.is_closing = False
        self._answered = 0

    async def ask(self):
        """Send a request; return whether the connection can be used again."""
        await self._send()
        return await self._receive_next()

    async def send_in_a_row(self, pause):
        """Send several requests without waiting for their answers."""
        for _ in range(PIPELINED_REQUESTS):
            if self.is_closing:
                return
            await self._send()
            await anyio.sleep(pause)

    async def receive_in_a_row(self):
        """Receive the answers; return whether the connection can be used again."""
        for _ in range(PIPELINED_REQUESTS):
            while self._answered == len(self.rows):
                await anyio.sleep(0.01)
            if not await self._receive_next():
                return False
        return True

    async def _send(self):
        row, data = self._callers.make_row(*self._place)
        self.rows.append(row)
        # The answer to a request before this one may show that the connection ended.
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._stream.send(data)
        row.sent_at = time.monotonic()

    async def _receive_next(self):
        row = self.rows[self._answered]
        self._answered += 1
        try:
            await self._receive_answer(row)
        except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
            row.error = repr(error.__cause__ or error)
        except h11.RemoteProtocolError as error:
            row.foreign = f"no answer: {error}"
        if row.status and not row.is_last:
            return True
        self._end_all(row)
        return False

    def _end_all(self, last):
        """Record the end of the connection for all requests without an answer."""
        now = time.monotonic()
        last.ended_at = last.ended_at or now
        for row in self.rows[self._answered :]:
            row.ended_at = now
            row.error = f"connection ended with {last.request_id}"

    async def _receive_answer(self, row):
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/p", headers=[("host", "a")]))
        parser.send(h11.EndOfMessage())
        if self._rest:
            parser.receive_data(self._rest)
        head, body = None, bytearray()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await self._receive_bytes())
            elif isinstance(event, h11.Response):
                head = event
                headers = dict(event.headers)
                self.is_closing = headers.get(b"connection") == b"close"
            elif isinstance(event, h11.Data):
                body += event.data
                row.received_bytes = len(body)
            elif isinstance(event, h11.EndOfMessage):
                break
        self._rest = parser.trailing_data[0]
        row.ended_at = time.monotonic()
        row.status = head.status_code
        row.is_last = self.is_closing
        row.foreign = self._find_foreign(row, headers, bytes(body))

    async def _receive_bytes(self):
        data = await self._stream.receive(16_384)
        if self._bytes_per_second:
            await anyio.sleep(len(data) / self._bytes_per_second)
        return data

    def _find_foreign(self, row, headers, body):
        """Return what an answer holds that isn't its request's own."""
        request_id = headers.get(b"request-id", b"").decode()
        if request_id != row.request_id:
            return f"request id {request_id!r}"
        if row.status == 200:
            if b"replica-signature" not in headers:
                return "success without a signature"
            if body != self._callers.make_body(row.request_id):
                return f"success with {len(body)} other bytes"
        elif b"replica-signature" in headers or body:
            return f"status {row.status} that no target has given"
        return ""
