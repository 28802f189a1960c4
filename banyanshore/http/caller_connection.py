"""Serve the requests of one connection of a caller."""

import logging
import math
import time

import anyio
import h11

from banyanshore.core.byte_account import Stage
from banyanshore.core.groups import open_task_group
from banyanshore.core.sockets import (
    count_unacknowledged_bytes,
    count_unread_bytes,
    find_socket,
)
from banyanshore.http.body_buffer import BodyBuffer, DiscardedBody
from banyanshore.http.caller_stream import StoppedError
from banyanshore.http.closing import linger
from banyanshore.http.exchange import (
    Exchange,
    NoRoomError,
    RequestError,
    check_framing,
    has_body,
    head_size,
)
from banyanshore.http.limited_wait import LimitedWait
from banyanshore.http.lingering import DELIVERED_SECONDS
from banyanshore.http.unfinished import Phase, Unfinished
from banyanshore.http.wire import (
    PeerClosedError,
    get_header,
    is_closed_by_peer,
    receive_bytes,
    send_bytes,
)

logger = logging.getLogger(__name__)

# Bytes of pipelined requests that are buffered while one is answered.
MAX_PIPELINED_BYTES = 64 * 1024
# Seconds between checks whether a caller that has sent more has disconnected.
HANGUP_CHECK_INTERVAL = 0.2
# Seconds for which a listener that closes waits for requests that are on their way.
LAST_REQUEST_SECONDS = 0.1
# Seconds that it waits for the rest of a head.
LAST_HEAD_SECONDS = 1.0
# Bytes of a body that must arrive within the header timeout; no healthy caller is
# slower on any link.
BODY_PROGRESS_BYTES = 4096
# Size of an incomplete event above which the parser itself refuses a request; above all
# limits that a declaration may name.
PARSER_LIMIT_BYTES = 2**62


class CallerConnection:
    """Serve one connection of a caller.

    :param listener: the :class:`~banyanshore.http.listener.Listener`.
    :param stream: the :class:`~banyanshore.http.caller_stream.CallerStream`.
    :param share: its :class:`~banyanshore.core.byte_account.Share`.
    :ivar opened_at: monotonic time at which it was accepted.
    :ivar is_cut_off: whether it was stopped while an answer waited for the caller.
    """

    def __init__(self, listener, stream, share):
        self._listener = listener
        self._callers = listener.callers
        self._stream = stream
        self.share = share
        self.opened_at = time.monotonic()
        self.is_cut_off = False
        # What has arrived of the body that is being read.
        self._body = BodyBuffer()
        # Bytes that the parser keeps, or has got since it last asked for more.
        self._unparsed_bytes = 0
        stream.on_blocked = self._on_blocked
        share.holder = self
        self._phase = Phase.IDLE
        # The limit of heads may change, which the parser's own can't.
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=PARSER_LIMIT_BYTES
        )
        self._peer_closed = False
        # Whether the rest of a request that was refused is not read.
        self._must_close = False
        # Stage before the connection waited for its caller to read.
        self._stage_before = Stage.IDLE
        self._exchange = None
        # Waits for a request, for the rest of its head, and for more of its body.
        self._idle_wait = LimitedWait(self._idle_seconds)
        self._head_wait = LimitedWait(self._header_seconds)
        self._body_wait = LimitedWait(self._header_seconds)
        # Monotonic time at which the last answer ended or was broken off.
        self._answered_at = -math.inf
        # Earliest arrival of the oldest bytes that no request has been parsed from.
        self._arrived_after = 0.0

    @property
    def limits(self):
        """Return the :class:`~banyanshore.http.listener.ListenerLimits` in force."""
        return self._listener.limits()

    def _idle_seconds(self):
        return self.limits.idle_timeout

    def _header_seconds(self):
        return self.limits.header_timeout

    def apply_limits(self):
        """Wait as long as the limits in force say, also where a wait has begun."""
        for wait in (self._idle_wait, self._head_wait, self._body_wait):
            wait.renew()

    @property
    def request_id(self):
        """Return the id of the last request, empty if none is known."""
        return self._exchange.request_id if self._exchange else ""

    def count_buffered_bytes(self):
        """Return the bytes of answers in buffers, and those that arrived."""
        return self._stream.count_buffered_bytes()

    def stop(self):
        """Refuse the request that is being read, or cut the connection off."""
        self.is_cut_off = self.share.stage in (Stage.SENDING, Stage.LINGERING)
        # Released at once: the others may take its place before this one goes on.
        self._body.clear()
        self._stream.interrupt()

    def _on_blocked(self, is_blocked):
        share = self.share
        if is_blocked:
            self._stage_before = share.stage
            share.stage = Stage.SENDING
            self._callers.look_at(share)
            self._callers.make_room()
            if self._exchange is not None:
                self._exchange.tell_blocked()
        elif share.stage is Stage.SENDING:
            share.stage = self._stage_before

    def unfinished(self):
        """Return what a close of the connection now would leave unfinished."""
        raw = find_socket(self._stream)
        return Unfinished(
            self._phase,
            self.request_id,
            count_unacknowledged_bytes(raw),
            count_unread_bytes(raw),
        )

    def close_ends_incomplete_answer(self):
        """Return whether an orderly close would complete an answer that broke off.

        Answers to HTTP/1.0 callers have neither a length nor chunks; they end with the
        connection.
        """
        exchange = self._exchange
        is_incomplete = exchange and exchange.started and not exchange.finished
        return bool(is_incomplete) and self._h11.their_http_version == b"1.0"

    def must_reset(self):
        """Return whether the close has to drop what the system has not delivered."""
        return self.is_cut_off or self.close_ends_incomplete_answer()

    async def serve(self):
        """Serve requests until the connection ends."""
        while (request := await self._read_head()) is not None:
            exchange = Exchange(self, request, self._arrived_after)
            self._listener.active += 1
            self._exchange = exchange
            self._phase = Phase.PROCESSING
            self.share.stage = Stage.RUNNING
            try:
                check_framing(exchange)
                await self._listener.handle(exchange)
            except RequestError as error:
                await self.refuse(error, exchange.started)
                return
            finally:
                self._listener.active -= 1
                if exchange.started:
                    self._answered_at = time.monotonic()
            if not exchange.finished or not await self._next_cycle():
                return

    def shorten_waits(self):
        """Wait only a short time for the next request, or the rest of its head."""
        self._idle_wait.shorten(LAST_REQUEST_SECONDS)
        self._head_wait.shorten(LAST_HEAD_SECONDS)

    async def deliver(self):
        """Wait until the caller has received the last answer, for a bounded time."""
        if self.must_reset():
            return
        is_recent = time.monotonic() - self._answered_at < DELIVERED_SECONDS
        is_waited_for = is_recent and not self._peer_closed
        raw = find_socket(self._stream)
        if not is_waited_for and not count_unacknowledged_bytes(raw):
            return
        self.share.stage = Stage.LINGERING
        listener = self._listener
        discarded = await linger(
            self._stream, time.monotonic, lambda: listener.is_closing
        )
        if count_unacknowledged_bytes(raw) and not listener.is_closing:
            # The system would keep it, uncounted.
            self.is_cut_off = True
        if discarded:
            # Further requests, which the caller has to send again.
            logger.info(
                "bytes discarded after the last answer of a connection",
                extra={"request_id": self.request_id, "bytes": discarded},
            )

    async def refuse(self, error, started=False):
        """Answer an invalid request, unless an answer has started.

        The connection can't be used afterwards.
        """
        logger.info(
            "request refused", extra={"status": error.status, "why": str(error)}
        )
        if started or self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        headers.extend(error.headers)
        await self.send_head(error.status, headers, h11.EndOfMessage())
        self._answered_at = time.monotonic()

    async def _read_head(self):
        """Return the next request, or ``None`` if the connection has ended."""
        self._phase = Phase.IDLE
        if not await self._wait_for_bytes():
            return None
        self._phase = Phase.READING_HEAD
        return await self._read_request()

    async def _wait_for_bytes(self):
        """Return whether bytes of a request have arrived."""
        unparsed = self._h11.trailing_data[0]
        self._unparsed_bytes = len(unparsed)
        self.share.stage = Stage.READING if unparsed else Stage.IDLE
        self._callers.hold(self.share, len(unparsed))
        if unparsed:
            return True
        self._idle_wait = LimitedWait(self._idle_seconds)
        if self._listener.is_closing:
            self.shorten_waits()
        data = b""
        with self._idle_wait.scope as scope:
            data = await receive_bytes(self._stream)
        if scope.cancelled_caught:
            return False
        self._arrived_after = self._listener.earliest_arrival()
        self.share.stage = Stage.READING
        self._take(data)
        self._peer_closed = not data
        return bool(data)

    def _take(self, data, body_bytes=0):
        """Give bytes that arrived to the parser, and count them.

        :param body_bytes: bytes that are held of the body.
        """
        self._h11.receive_data(data)
        self._unparsed_bytes += len(data)
        self._callers.hold(self.share, self._unparsed_bytes + body_bytes)

    async def _read_request(self):
        self._head_wait = LimitedWait(self._header_seconds)
        if self._listener.is_closing:
            self.shorten_waits()
        with self._head_wait.scope:
            event = await self._next_event()
            if not isinstance(event, h11.Request):
                return None
            if self.share.is_stopped:
                self._refuse_for_room()
            # An incomplete head is checked as it arrives.
            if head_size(event) > self.limits.max_header_bytes:
                raise RequestError(431, "the head of the request is too long")
            return event
        raise RequestError(408, "the head of the request took too long")

    async def _next_event(self, body_bytes=0):
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestError(error.error_status_hint, str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            # All that the parser keeps is a part of the next event.
            self._unparsed_bytes = len(self._h11.trailing_data[0])
            if self._unparsed_bytes > self.limits.max_header_bytes:
                raise RequestError(431, "a part of the request is too long")
            self._take(await self._receive_request_bytes(), body_bytes)

    async def _receive_request_bytes(self):
        try:
            return await receive_bytes(self._stream)
        except StoppedError:
            if self.is_cut_off:
                raise
            self._refuse_for_room()

    def _refuse_for_room(self):
        """Go on with a connection that was stopped, to refuse its request.

        :raises NoRoomError: always.
        """
        # What still arrives is discarded after the refusal.
        self._stream.resume()
        self._callers.hold(self.share, 0)
        self._callers.account.resume(self.share, Stage.LINGERING)
        self._must_close = True
        raise NoRoomError() from None

    async def read_body(self):
        """Return the complete body of the request."""
        self.share.stage = Stage.READING
        body = await self._read_whole_body()
        if self.share.is_stopped:
            # Its last bytes were those that there was no room for.
            self._refuse_for_room()
        self.share.stage = Stage.RUNNING
        return body

    async def _read_whole_body(self):
        if self._h11.they_are_waiting_for_100_continue:
            await self.send_events(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        await self._receive_body(self._body)
        return self._body.take()

    async def _receive_body(self, body):
        """Add the pieces of the body to a buffer, to its end."""
        self._body_wait = LimitedWait(self._header_seconds)
        progress_mark = 0
        with self._body_wait.scope:
            while not await self._receive_piece(body):
                if len(body) - progress_mark >= BODY_PROGRESS_BYTES:
                    progress_mark = len(body)
                    self._body_wait.restart()
            return
        raise RequestError(408, "the body took too long")

    async def _receive_piece(self, body):
        """Add the next piece of the body; return whether the body is whole."""
        event = await self._next_event(body.held_bytes)
        if isinstance(event, h11.EndOfMessage):
            self._callers.hold(self.share, body.held_bytes)
            return True
        if isinstance(event, h11.ConnectionClosed):
            raise PeerClosedError("the caller left", step="read-body")
        body.append(event.data)
        if len(body) > self.limits.max_body_bytes:
            raise RequestError(413, "the body is too long")
        return False

    async def run_while_connected(self, work):
        """Run a coroutine function, and cancel it if the caller disconnects."""
        if is_closed_by_peer(self._stream):
            self._peer_closed = True
            return False
        completed = False
        async with open_task_group() as tasks:
            tasks.start_soon(self._watch_for_disconnect, tasks.cancel_scope)
            await work()
            completed = True
            tasks.cancel_scope.cancel()
        return completed

    async def _watch_for_disconnect(self, scope):
        pipelined_bytes = 0
        while pipelined_bytes <= MAX_PIPELINED_BYTES:
            try:
                data = await receive_bytes(self._stream)
            except PeerClosedError:
                data = b""
            if not data:
                self._peer_closed = True
                scope.cancel()
                return
            pipelined_bytes += len(data)
            if not self._h11.trailing_data[0]:
                self._arrived_after = self._listener.earliest_arrival()
            self._h11.receive_data(data)
            self._callers.hold_more(self.share, len(data))
        while not (self.share.is_stopped or is_closed_by_peer(self._stream)):
            await anyio.sleep(HANGUP_CHECK_INTERVAL)
        self._peer_closed = True
        scope.cancel()

    async def send_head(self, status, headers, *events):
        """Send the status and headers, and further parts with them."""
        if get_header(headers, b"connection") is None and self._announces_close():
            headers.append((b"connection", b"close"))
        self._phase = Phase.ANSWERING
        head = h11.Response(status_code=status, headers=headers)
        await self.send_events(head, *events)

    def _announces_close(self):
        """Return whether an answer says that it is the last one of its connection."""
        if self._listener.is_closing or self._must_close:
            return True
        # A further request that has arrived is answered too. Before the end of a
        # request, what has arrived may be its own body.
        is_request_read = self._h11.their_state is h11.DONE or not has_body(
            self._exchange
        )
        has_further_request = is_request_read and self._h11.trailing_data[0]
        return self._listener.leaving and not has_further_request

    async def send_events(self, *events):
        """Send parts of the answer with one write."""
        parts = [self._h11.send(event) for event in events]
        data = b"".join(part for part in parts if part)
        if data:
            await send_bytes(self._stream, data)
            self._callers.record_written(self.share, len(data))
        if isinstance(events[-1], h11.EndOfMessage):
            self._phase = Phase.DELIVERING

    async def _next_cycle(self):
        """Prepare for the next request; return whether there can be one."""
        if self._peer_closed or self._must_close:
            return False
        if self._h11.their_state is h11.SEND_BODY and not await self._discard_body():
            return False
        if (self._h11.our_state, self._h11.their_state) != (h11.DONE, h11.DONE):
            return False
        self._h11.start_next_cycle()
        return True

    async def _discard_body(self):
        """Discard the rest of a body that the handler hasn't read.

        :return: whether it ended within the limits of a body.
        """
        # May be stopped: its answer was written.
        self.share.stage = Stage.READING
        try:
            await self._receive_body(DiscardedBody())
        except RequestError as error:
            logger.info(
                "connection ended within a body",
                extra={"request_id": self.request_id, "why": str(error)},
            )
            return False
        return True
