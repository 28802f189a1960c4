"""An HTTP/1.1 client on anyio streams: one connection for each request.

A connection of its own tells what belongs to a request: nothing that arrives late on a
connection kept from an earlier request can be taken for its answer, and a connection
that can't be opened shows that the request has not reached the target.
"""

import math
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum

import anyio
import h11

from banyanshore.core.exceptions import BanyanshoreError, UnavailableError
from banyanshore.core.groups import open_task_group
from banyanshore.http.wire import (
    PeerClosedError,
    get_header,
    has_unread_bytes,
    receive_bytes,
    send_bytes,
    set_timeouts,
)
from banyanshore.transport.links import split_address

# Largest head of an answer, in bytes.
MAX_HEAD_BYTES = 64 * 1024
# Requests up to this size are written before the answer is waited for.
MAX_INLINE_BYTES = 8 * 1024
# Seconds for a connection to be established, within one region or across.
CONNECT_SECONDS = 0.5
# Informational heads before the head of the answer; a sound target sends one or two.
MAX_INFORMATIONAL_HEADS = 8
# Bytes of a body that count as progress of an answer whose parts have no bounds of
# their own.
PROGRESS_BYTES = 1024
# Reads of bytes that are here already once an answer's time is over.
MAX_LATE_READS = 2


class BrokenAnswerError(BanyanshoreError):
    """Signal an answer that broke off, or that isn't HTTP; the request may have run."""


@dataclass(frozen=True)
class OutgoingRequest:
    """A request for a target.

    :param target: path and query as bytes.
    :param headers: pairs of bytes, without those that frame the body.
    """

    method: bytes
    target: bytes
    headers: tuple
    body: bytes = b""


class UpstreamAnswer:
    """The answer to a request, as it arrives.

    :ivar status: status code.
    :ivar headers: pairs of bytes, names in lower case.
    """

    def __init__(self, stream, peer, silence_seconds=math.inf):
        self.status = 0
        self.headers = []
        self.is_whole = False
        self._stream = stream
        self._peer = peer
        self._silence_seconds = silence_seconds
        self._due_at = time.monotonic() + silence_seconds
        self._late_reads = 0
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def record_progress(self, silence_seconds=None):
        """Give the answer its time anew, after a part of it that is of use.

        :param silence_seconds: time until the next part, by default as before.
        """
        if silence_seconds is not None:
            self._silence_seconds = silence_seconds
        self._due_at = time.monotonic() + self._silence_seconds
        self._late_reads = 0

    def encode(self, request):
        """Return a request as the bytes to send."""
        headers = list(request.headers)
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._h11.send(head)]
        if request.body:
            parts.append(self._h11.send(h11.Data(data=request.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return b"".join(parts)

    async def read_head(self):
        """Wait for the status and headers."""
        event = await self._next_event()
        heads = 0
        while isinstance(event, h11.InformationalResponse):
            heads += 1
            if heads > MAX_INFORMATIONAL_HEADS:
                raise BrokenAnswerError(
                    "informational heads without end", step="read-head", peer=self._peer
                )
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise BrokenAnswerError("no answer", step="read-head", peer=self._peer)
        self.status = event.status_code
        self.headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        self.record_progress()

    async def receive(self):
        """Return the next bytes of the body; empty once the answer is whole."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.is_whole = True
            return b""
        raise BrokenAnswerError("the answer broke off", step="body", peer=self._peer)

    async def read_body(self, max_bytes):
        """Return the whole body.

        :raises BrokenAnswerError: it broke off, or is longer than allowed.
        """
        body = bytearray()
        progressed_at = 0
        while data := await self.receive():
            body += data
            if len(body) - progressed_at >= PROGRESS_BYTES:
                progressed_at = len(body)
                self.record_progress()
            if len(body) > max_bytes:
                raise BrokenAnswerError(
                    f"more than {max_bytes} bytes", step="body", peer=self._peer
                )
        return bytes(body)

    def get_header(self, name, default=None):
        """Return the first value of a header as text."""
        return get_header(self.headers, name, default)

    def leaves_connection_clean(self):
        """Tell whether the connection may serve another request after this answer."""
        states = (self._h11.our_state, self._h11.their_state)
        return states == (h11.DONE, h11.DONE) and not self._h11.trailing_data[0]

    async def _next_event(self):
        while True:
            try:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._h11.receive_data(await self._receive())
            except h11.RemoteProtocolError as error:
                raise BrokenAnswerError(
                    f"not a whole answer: {error}", step="receive", peer=self._peer
                ) from None
            except PeerClosedError as error:
                raise BrokenAnswerError(
                    error.message, step="receive", peer=self._peer
                ) from None

    async def _receive(self):
        if self._due_at == math.inf:
            return await receive_bytes(self._stream)
        seconds = self._due_at - time.monotonic()
        if seconds <= 0 and self._may_read_late():
            # This process may have stood still while the bytes arrived.
            return await receive_bytes(self._stream)
        with anyio.move_on_after(seconds):
            return await receive_bytes(self._stream)
        raise PeerClosedError(
            f"no progress for {self._silence_seconds:g} s", step="receive"
        )

    def _may_read_late(self):
        self._late_reads += 1
        return self._late_reads <= MAX_LATE_READS and has_unread_bytes(self._stream)


class NotSentError(BanyanshoreError):
    """Signal a request that was no longer to be sent once it could have been."""


@asynccontextmanager
async def open_answer(
    address,
    request,
    connect_seconds=CONNECT_SECONDS,
    silence_seconds=math.inf,
    may_send=lambda: True,
):
    """Send a request and yield its :class:`UpstreamAnswer` once the head is here.

    :param silence_seconds: time without progress after which the answer is given up:
        until its head, and from then on as :meth:`UpstreamAnswer.record_progress` says.
    :param may_send: asked once the connection is open, right before the request is
        sent.

    The connection is closed on leaving, which tells a target that still works on the
    request to stop.

    :raises UnavailableError: no connection; the request was not sent.
    :raises NotSentError: it was not to be sent any more.
    :raises BrokenAnswerError: the request may have run, and there is no answer.
    """
    stream = await _connect(address, connect_seconds)
    try:
        if not may_send():
            raise NotSentError("not to be sent any more", step="send", peer=address)
        answer = UpstreamAnswer(stream, address, silence_seconds)
        data = answer.encode(request)
        async with open_task_group() as tasks:
            if len(data) <= MAX_INLINE_BYTES:
                await _send(stream, data)
            else:
                # A target may answer before it has read a long body.
                tasks.start_soon(_send, stream, data)
            await answer.read_head()
            yield answer
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


async def _send(stream, data):
    # A target that closes its side while the request is sent may have answered.
    try:
        await send_bytes(stream, data)
    except PeerClosedError:
        return


class Reachability(Enum):
    """Result of an attempt to connect to an address."""

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"


async def probe_address(address, seconds=CONNECT_SECONDS):
    """Connect to an address and disconnect; return its :class:`Reachability`.

    :param seconds: timeout after which the address counts as silent.
    """
    host, port = split_address(address)
    try:
        with anyio.fail_after(seconds):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        was_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return Reachability.REFUSED if was_refused else Reachability.SILENT
    await anyio.aclose_forcefully(stream)
    return Reachability.OPEN


async def _connect(address, seconds):
    host, port = split_address(address)
    try:
        with anyio.fail_after(seconds):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise UnavailableError(
            f"can't connect: {error!r}", step="connect", peer=address
        ) from None
    set_timeouts(stream)
    return stream


async def fetch(address, request, max_bytes, seconds, connect_seconds=math.inf):
    """Return the status, headers and whole body of an answer.

    :param seconds: time for all of it, the connection included.
    :param connect_seconds: time for the connection, if it is less.
    :raises UnavailableError: no connection; the request was not sent.
    :raises BrokenAnswerError: no whole answer in that time.
    """
    try:
        with anyio.fail_after(seconds):
            connect_seconds = min(seconds, connect_seconds)
            async with open_answer(address, request, connect_seconds) as answer:
                body = await answer.read_body(max_bytes)
                return answer.status, answer.headers, body
    except TimeoutError:
        raise BrokenAnswerError(
            f"no whole answer within {seconds:g} s", step="fetch", peer=address
        ) from None


class HttpSession:
    """Requests to one server, one after the other, over a connection that is kept.

    Only for calls that may be sent again: one that finds the kept connection closed is
    sent once more over a new one.

    :param address: HTTP address of the server.
    """

    def __init__(self, address):
        self._address = address
        self._stream = None
        self._is_kept = False
        self._lock = anyio.Lock()

    async def fetch(self, request, max_bytes, seconds):
        """Return the status, headers and whole body of an answer.

        :param seconds: time for all of it.
        :raises UnavailableError: no connection.
        :raises BrokenAnswerError: no whole answer in that time.
        """
        async with self._lock:
            try:
                with anyio.fail_after(seconds):
                    return await self._fetch(request, max_bytes, seconds)
            except TimeoutError:
                raise BrokenAnswerError(
                    f"no whole answer within {seconds:g} s",
                    step="fetch",
                    peer=self._address,
                ) from None
            finally:
                # Anything but a whole answer leaves no connection behind.
                await self._close_unless_kept()

    async def _fetch(self, request, max_bytes, seconds):
        if self._stream is not None and has_unread_bytes(self._stream):
            # A second copy of an answer, or the end: nothing that belongs to a request.
            await self._close()
        was_kept = self._stream is not None
        try:
            return await self._exchange(request, max_bytes, seconds)
        except BrokenAnswerError:
            if not was_kept:
                raise
        await self._close()
        return await self._exchange(request, max_bytes, seconds)

    async def _exchange(self, request, max_bytes, seconds):
        if self._stream is None:
            self._stream = await _connect(self._address, seconds)
        self._is_kept = False
        answer = UpstreamAnswer(self._stream, self._address)
        await _send(self._stream, answer.encode(request))
        await answer.read_head()
        body = await answer.read_body(max_bytes)
        self._is_kept = answer.leaves_connection_clean()
        return answer.status, answer.headers, body

    async def _close_unless_kept(self):
        if self._stream is not None and not self._is_kept:
            await self._close()

    async def _close(self):
        stream, self._stream = self._stream, None
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
