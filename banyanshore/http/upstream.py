"""Send HTTP/1.1 requests over anyio streams, by default one for each connection.

With a new connection for each request, late bytes of an earlier answer can't be
mistaken for the answer, and a failure to connect proves that the request has not
reached the target.
"""

import contextlib
import math
import time
from contextlib import asynccontextmanager
from enum import Enum

import anyio
import h11

from banyanshore.core.exceptions import BanyanshoreError, UnavailableError
from banyanshore.core.framing import Framing, find_framing
from banyanshore.core.groups import open_task_group
from banyanshore.core.status_lines import find_status_line_fault
from banyanshore.core.values import dataclass
from banyanshore.http.wire import (
    PeerClosedError,
    bound_receive_buffer,
    get_header,
    has_unread_bytes,
    receive_bytes,
    receive_bytes_by,
    reset_on_close,
    send_bytes,
    set_timeouts,
)
from banyanshore.transport.links import split_address
from banyanshore.transport.tcp_stream import connect_stream

# Maximum size in bytes of the head of an answer.
MAX_HEAD_BYTES = 64 * 1024
# Requests up to this size in bytes are sent before the answer is read; larger ones are
# sent while it is read.
MAX_INLINE_BYTES = 8 * 1024
# Bytes of a long body that are handed to the transport at a time: it copies what the
# target doesn't take at once.
SENT_BYTES = 64 * 1024
# Timeout in seconds of connecting, within a region or across regions.
CONNECT_TIMEOUT = 0.5
# Seconds by which a timer is late if the process stood still.
LATE_TIMER_SECONDS = 0.1
# Maximum number of informational (1xx) heads; a healthy target sends one or two.
MAX_INFORMATIONAL_HEADS = 8
# Bytes that count as progress of a body that isn't a stream of events.
PROGRESS_BYTES = 1024
# Maximum number of reads of already received bytes after the progress timeout.
MAX_LATE_READS = 2


class BrokenAnswerError(BanyanshoreError):
    """Signal an incomplete or invalid answer; the request may have run."""


@dataclass(frozen=True)
class OutgoingRequest:
    """A request for a target.

    :param target: path and query as bytes.
    :param headers: pairs of bytes, without those that define the length of the body.
    """

    method: bytes
    target: bytes
    headers: tuple
    body: bytes = b""


class UpstreamAnswer:
    """Answer to a request, received step by step.

    :ivar status: status code.
    :ivar headers: pairs of bytes, names in lower case.
    :ivar has_head: whether the head has been received.
    """

    def __init__(self, stream, peer, progress_timeout=math.inf):
        self.status = 0
        self.headers = []
        self.has_head = False
        self.is_complete = False
        self._method = ""
        self._stream = stream
        self._peer = peer
        self._progress_timeout = progress_timeout
        self._due_at = time.monotonic() + progress_timeout
        self._late_reads = 0
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def record_progress(self, progress_timeout=None):
        """Restart the progress timeout after a useful part of the answer.

        :param progress_timeout: seconds until the next part is due, by default as
            before.
        """
        if progress_timeout is not None:
            self._progress_timeout = progress_timeout
        self._due_at = time.monotonic() + self._progress_timeout
        self._late_reads = 0

    def encode(self, request):
        """Return the parts of a request, whose body isn't copied."""
        self._method = request.method.decode("latin-1")
        headers = list(request.headers)
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._h11.send(head)]
        if request.body:
            parts += self._h11.send_with_data_passthrough(h11.Data(data=request.body))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return parts

    async def read_head(self):
        """Receive the status and headers.

        :raises BrokenAnswerError: the answer broke off or is invalid.
        """
        event = await self._next_head()
        informational_heads = 0
        while isinstance(event, h11.InformationalResponse):
            informational_heads += 1
            if informational_heads > MAX_INFORMATIONAL_HEADS:
                raise BrokenAnswerError(
                    "informational heads without end", step="read-head", peer=self._peer
                )
            event = await self._next_head()
        self.status = event.status_code
        self.headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        self.has_head = True
        self.record_progress()

    def require_head(self):
        """Check that the head has been received.

        :raises WithdrawnError: the wait for it was cancelled.
        """
        if not self.has_head:
            raise WithdrawnError("withdrawn", step="read-head", peer=self._peer)

    async def receive(self):
        """Return the next bytes of the body, empty once the answer is complete.

        :raises BrokenAnswerError: the answer broke off or is invalid.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.is_complete = True
            return b""
        raise BrokenAnswerError("the answer broke off", step="body", peer=self._peer)

    async def iter_body(self, max_bytes):
        """Yield the pieces of the body as they arrive, to its end.

        :raises BrokenAnswerError: it broke off, or is longer than ``max_bytes``, by its
            own account or as received.
        """
        if self.framing is Framing.LENGTH:
            self._check_length(int(self.get_header(b"content-length")), max_bytes)
        length = 0
        progress_mark = 0
        while data := await self.receive():
            length += len(data)
            if length - progress_mark >= PROGRESS_BYTES:
                progress_mark = length
                self.record_progress()
            self._check_length(length, max_bytes)
            yield data

    def _check_length(self, length, max_bytes):
        if length > max_bytes:
            raise BrokenAnswerError(
                f"more than {max_bytes} bytes", step="body", peer=self._peer
            )

    async def read_body(self, max_bytes):
        """Return the complete body.

        :raises BrokenAnswerError: it broke off, or is longer than ``max_bytes``.
        """
        return b"".join([piece async for piece in self.iter_body(max_bytes)])

    def get_header(self, name, default=None):
        """Return the first value of a header as text."""
        return get_header(self.headers, name, default)

    @property
    def framing(self):
        """Return the :class:`Framing` of the body, ``None`` without a head."""
        if not self.has_head:
            return None
        names = {name.decode("latin-1") for name, _ in self.headers}
        return find_framing(self._method, self.status, names)

    def is_connection_reusable(self):
        """Return whether the connection can be used for another request."""
        states = (self._h11.our_state, self._h11.their_state)
        return states == (h11.DONE, h11.DONE) and not self._h11.trailing_data[0]

    async def _next_head(self):
        """Return the next informational or final head."""
        event = await self._next_event()
        if not isinstance(event, (h11.InformationalResponse, h11.Response)):
            raise BrokenAnswerError("no answer", step="read-head", peer=self._peer)
        version = event.http_version.decode("latin-1")
        fault = find_status_line_fault(version, event.status_code)
        if fault is not None:
            raise BrokenAnswerError(fault, step="read-head", peer=self._peer)
        return event

    async def _next_event(self):
        while True:
            try:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._h11.receive_data(await self._receive())
            except h11.RemoteProtocolError as error:
                raise BrokenAnswerError(
                    f"invalid or incomplete answer: {error}",
                    step="receive",
                    peer=self._peer,
                ) from None
            except PeerClosedError as error:
                raise BrokenAnswerError(
                    error.message, step="receive", peer=self._peer
                ) from None

    async def _receive(self):
        if self._due_at == math.inf:
            return await receive_bytes(self._stream)
        timeout = self._due_at - time.monotonic()
        if timeout <= 0 and self._may_read_late():
            # The process may have been frozen when the bytes arrived.
            return await receive_bytes(self._stream)
        data = (
            await receive_bytes_by(self._stream, self._due_at) if timeout > 0 else None
        )
        if data is None:
            raise PeerClosedError(
                f"no progress for {self._progress_timeout:g} s", step="receive"
            )
        return data

    def _may_read_late(self):
        self._late_reads += 1
        return self._late_reads <= MAX_LATE_READS and _has_unread(self._stream)


def _has_unread(stream):
    """Return whether bytes, or the end of the stream, have arrived."""
    return stream.has_received or has_unread_bytes(stream)


class WithdrawnError(BanyanshoreError):
    """Signal a request that was withdrawn before its answer; it may have run."""


class NotSentError(BanyanshoreError):
    """Signal a request that was withdrawn before it was sent."""


@asynccontextmanager
async def open_answer(
    address,
    request,
    connect_timeout=CONNECT_TIMEOUT,
    progress_timeout=math.inf,
    may_send=lambda: True,
    head_scope=None,
    has_bounded_buffer=True,
):
    """Send a request, and yield its :class:`UpstreamAnswer` once the head is received.

    The connection is closed on exit, which tells a target that still runs the request
    to stop. It is reset if there is no head yet, so that bytes of the request that have
    not been sent are dropped.

    :param progress_timeout: seconds until the head is due, and then until the next
        part, see :meth:`UpstreamAnswer.record_progress`.
    :param may_send: callable, called once the connection is open, that returns whether
        to send the request.
    :param head_scope: cancel scope of the wait for the head; the request is withdrawn
        when it is cancelled.
    :param has_bounded_buffer: see :func:`~banyanshore.http.wire.bound_receive_buffer`.

    :raises UnavailableError: no connection; the request was not sent.
    :raises NotSentError: ``may_send`` returned false; the request was not sent.
    :raises BrokenAnswerError: there is no valid answer, but the request may have run.
    :raises WithdrawnError: it was withdrawn, but may have run.
    """
    head_scope = head_scope or anyio.CancelScope()
    stream = await _connect(address, connect_timeout)
    if has_bounded_buffer:
        bound_receive_buffer(stream)
    answer = UpstreamAnswer(stream, address, progress_timeout)
    try:
        if not may_send():
            raise NotSentError(
                "withdrawn before it was sent", step="send", peer=address
            )
        parts = answer.encode(request)
        if _count_bytes(parts) <= MAX_INLINE_BYTES:
            with head_scope:
                await _send(stream, parts)
                await answer.read_head()
            answer.require_head()
            yield answer
            return
        async with open_task_group() as tasks:
            with head_scope:
                # A target may answer before it has read all of a long body.
                tasks.start_soon(_send, stream, parts)
                await answer.read_head()
            answer.require_head()
            yield answer
            tasks.cancel_scope.cancel()
    finally:
        _close(stream, answer)


def _close(stream, answer):
    if not answer.has_head:
        reset_on_close(stream)
    stream.abort()


def _count_bytes(parts):
    return sum(len(part) for part in parts)


async def _send(stream, parts):
    if _count_bytes(parts) <= MAX_INLINE_BYTES:
        parts = [b"".join(parts)]
    # Ignore the error, since a target may answer and close before it has read all.
    with contextlib.suppress(PeerClosedError):
        for part in parts:
            for start in range(0, len(part), SENT_BYTES):
                await send_bytes(stream, part[start : start + SENT_BYTES])


class Reachability(Enum):
    """Result of an attempt to connect to an address."""

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"


async def probe_address(address, timeout=CONNECT_TIMEOUT):
    """Connect to an address and disconnect; return its :class:`Reachability`.

    :param timeout: seconds after which the address counts as silent.
    """
    host, port = split_address(address)
    try:
        with anyio.fail_after(timeout):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        was_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return Reachability.REFUSED if was_refused else Reachability.SILENT
    await anyio.aclose_forcefully(stream)
    return Reachability.OPEN


async def _open_stream(address, timeout):
    """Connect within a timeout; try once more if the process stood still meanwhile.

    The connection may have opened during that time, but the timeout ends first.
    """
    host, port = split_address(address)
    began_at = time.monotonic()
    try:
        with anyio.fail_after(timeout):
            return await connect_stream(host, port)
    except TimeoutError:
        if time.monotonic() - began_at < timeout + LATE_TIMER_SECONDS:
            raise
    with anyio.fail_after(timeout):
        return await connect_stream(host, port)


async def _connect(address, timeout):
    try:
        stream = await _open_stream(address, timeout)
    except (OSError, TimeoutError) as error:
        raise UnavailableError(
            f"can't connect: {error!r}", step="connect", peer=address
        ) from None
    set_timeouts(stream)
    return stream


async def fetch(
    address,
    request,
    max_bytes,
    timeout,
    connect_timeout=math.inf,
    may_send=lambda: True,
):
    """Send a request, and return the status, headers and body of its answer.

    :param timeout: seconds for the whole request, including the connection.
    :param connect_timeout: seconds for the connection, if fewer.
    :param may_send: see :func:`open_answer`.
    :raises UnavailableError: no connection; the request was not sent.
    :raises NotSentError: ``may_send`` returned false; the request was not sent.
    :raises BrokenAnswerError: no complete answer within the timeout.
    """
    try:
        with anyio.fail_after(timeout):
            connect_timeout = min(timeout, connect_timeout)
            # The answer is bounded, and large chunks of weights may come from afar.
            opening = open_answer(
                address,
                request,
                connect_timeout,
                may_send=may_send,
                has_bounded_buffer=False,
            )
            async with opening as answer:
                body = await answer.read_body(max_bytes)
                return answer.status, answer.headers, body
    except TimeoutError:
        raise BrokenAnswerError(
            f"no complete answer within {timeout:g} s", step="fetch", peer=address
        ) from None


class HttpSession:
    """Send requests to one server, one at a time, over a persistent connection.

    Only for repeatable calls: one that fails on a reused connection is sent once more
    over a new one.

    :param address: HTTP address of the server.
    """

    def __init__(self, address):
        self._address = address
        self._stream = None
        self._answer = None
        self._is_reusable = False
        self._lock = anyio.Lock()

    async def fetch(self, request, max_bytes, timeout):
        """Send a request, and return the status, headers and body of its answer.

        :param timeout: seconds for the whole request.
        :raises UnavailableError: no connection.
        :raises BrokenAnswerError: no complete answer within the timeout.
        """
        async with self._lock:
            try:
                with anyio.fail_after(timeout):
                    return await self._fetch(request, max_bytes, timeout)
            except TimeoutError:
                raise BrokenAnswerError(
                    f"no complete answer within {timeout:g} s",
                    step="fetch",
                    peer=self._address,
                ) from None
            finally:
                # Keep the connection only after a complete answer.
                self._close_unless_reusable()

    async def _fetch(self, request, max_bytes, timeout):
        if self._stream is not None and _has_unread(self._stream):
            # A duplicate answer, or the end of the stream.
            self._close()
        was_reused = self._stream is not None
        try:
            return await self._exchange(request, max_bytes, timeout)
        except BrokenAnswerError:
            if not was_reused:
                raise
        self._close()
        return await self._exchange(request, max_bytes, timeout)

    async def _exchange(self, request, max_bytes, timeout):
        if self._stream is None:
            self._stream = await _connect(self._address, timeout)
        self._is_reusable = False
        answer = self._answer = UpstreamAnswer(self._stream, self._address)
        await _send(self._stream, answer.encode(request))
        await answer.read_head()
        body = await answer.read_body(max_bytes)
        self._is_reusable = answer.is_connection_reusable()
        return answer.status, answer.headers, body

    def _close_unless_reusable(self):
        if self._stream is not None and not self._is_reusable:
            self._close()

    def _close(self):
        stream, self._stream = self._stream, None
        _close(stream, self._answer)
