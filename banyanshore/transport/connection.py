"""Multiplex calls in both directions over one connection, with heartbeats.

A connection that receives nothing for ``silence_bound`` seconds is closed. The bound
is also checked on each read, before any frame is handled: when a frozen process or a
suspended machine resumes, its peers have closed their connections, and frames that were
buffered meanwhile are dropped instead of handled late.
"""

import logging

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.sockets import count_unacknowledged_bytes, find_socket
from banyanshore.transport.activity import byte_counter
from banyanshore.transport.codec import CodecError, Decoder, encode
from banyanshore.transport.frames import (
    Ack,
    Call,
    Cancel,
    Failure,
    Heartbeat,
    Hello,
    Notice,
    Piece,
    Reply,
)
from banyanshore.transport.outbox import PIECE_BYTES, Outbox, PieceJoiner
from banyanshore.transport.replies import (
    ConnectionLostError,
    ReplyStream,
    Responder,
)

logger = logging.getLogger(__name__)

# Bytes read from the socket at a time.
READ_SIZE_BYTES = 256 * 1024
# Senders block while more than this many bytes are queued for writing.
MAX_PENDING_BYTES = 4 * 1024 * 1024
# Seconds between checks whether all that is queued was sent.
DRAIN_CHECK_SECONDS = 0.01
# Seconds without data after which an incomplete frame counts as interrupted.
INTERRUPTED_SECONDS = 1.0


class Connection:
    """Exchange calls, replies and notices over one byte stream.

    :param stream: the anyio byte stream.
    :param handler: the :class:`Handler` of calls and notices from the peer.
    :param instance: name of this instance.
    :param peer: name of the peer; if empty, read from its :class:`Hello` frame.
    :param heartbeat_interval: seconds between heartbeats to the peer.
    :param silence_bound: seconds without received data after which it closes.
    :param ticker: the :class:`HeartbeatTicker` shared by many connections, or ``None``
        for its own timer.
    :param gather_seconds: minimum time between writes for frames that may wait, so
        that tokens of many answers share a write; 0 writes every frame at once.
    """

    def __init__(
        self,
        stream,
        handler,
        *,
        instance,
        peer="",
        heartbeat_interval=0.5,
        silence_bound=2.0,
        ticker=None,
        gather_seconds=0.0,
        clock=boottime_now,
    ):
        self.peer = peer
        self.is_open = True
        # Set once the peer has sent data, or the connection has ended.
        self.peer_responded = anyio.Event()
        self.ended = anyio.Event()
        self._stream = stream
        self._handler = handler
        self._instance = instance
        self._heartbeat_interval = heartbeat_interval
        self._silence_bound = silence_bound
        self._ticker = ticker
        self._clock = clock
        self._last_received_at = clock()
        self._last_sent_at = clock()
        # Time of the last data if it completed no frame.
        self._incomplete_at = float("-inf")
        self._next_call_id = 1
        self._stream_by_call_id = {}
        self._scope_by_call_id = {}
        self._responder_by_call_id = {}
        self._outbox = Outbox()
        self.pending_bytes = 0
        self._joiner = PieceJoiner()
        self._peer_joins_pieces = False
        self._gather_seconds = gather_seconds
        self._last_written_at = float("-inf")
        self._wake_writer = anyio.Event()
        self._wake_gatherer = anyio.Event()
        self._drained = anyio.Event()
        # Whether the last byte was sent; whatever is queued later is dropped.
        self._is_finished = False
        self._tasks = None

    @property
    def is_receiving_frame(self):
        """Whether parts of a frame that takes long are arriving."""
        return self._clock() - self._incomplete_at <= INTERRUPTED_SECONDS

    async def run(self):
        """Serve the connection until it ends; don't raise if the peer is lost."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._write_loop)
                if self._gather_seconds:
                    tasks.start_soon(self._gather_loop)
                if self._ticker is not None:
                    self._ticker.connections.add(self)
                else:
                    tasks.start_soon(self._heartbeat_loop)
                await self.send_frame(Hello(self._instance, joins_pieces=True))
                await self._read_loop()
                tasks.cancel_scope.cancel()
        except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        except* CodecError as group:
            logger.error("closing connection: %s", group.exceptions[0])
        finally:
            if self._ticker is not None:
                self._ticker.connections.discard(self)
            self._abort_calls()
            self.peer_responded.set()
            self.ended.set()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)
                await self._handler.handle_close(self)

    def close(self):
        """Close the connection now; pending calls fail with a lost connection."""
        self.is_open = False
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()

    async def finish(self):
        """End the connection once the peer has received all that is queued.

        The peer reads until the end of the stream and closes first, since a connection
        that is closed with unread bytes is reset. A silent peer doesn't hold it.
        """
        self.is_open = False
        while self.pending_bytes and not self.ended.is_set():
            await anyio.sleep(DRAIN_CHECK_SECONDS)
        self._is_finished = True
        if self._ticker is not None:
            self._ticker.connections.discard(self)
        if not self.ended.is_set():
            await self._stream.send_eof()
        while not self.ended.is_set() and not self._is_silent():
            await anyio.sleep(DRAIN_CHECK_SECONDS)
        self.close()

    def count_undelivered_bytes(self):
        """Return the bytes of frames that the peer's system has not acknowledged."""
        raw = find_socket(self._stream)
        return self.pending_bytes + (count_unacknowledged_bytes(raw) or 0)

    @property
    def whole_bytes(self):
        """Return the bytes that are queued without those of frames in pieces."""
        return self.pending_bytes - self._outbox.piece_bytes

    async def call(self, body, timeout, in_pieces=False):
        """Send a call that has a single reply, and return the reply.

        :param timeout: seconds to wait.
        :param in_pieces: whether later frames may overtake it if it is large.
        :raises ConnectionLostError: the connection ended, or the timeout expired.
        """
        replies = await self.open_call(body, in_pieces)
        try:
            with anyio.fail_after(timeout):
                return await anext(replies)
        except TimeoutError:
            raise ConnectionLostError(
                f"no reply within {timeout:g} s",
                step=type(body).__name__,
                peer=self.peer,
            ) from None
        finally:
            with anyio.CancelScope(shield=True):
                await replies.aclose()

    async def open_call(self, body, in_pieces=False):
        """Send a call and return the :class:`ReplyStream` of its replies.

        :param in_pieces: whether later frames may overtake it if it is large.
        :raises ConnectionLostError: the connection had ended; nothing was sent.
        """
        if not self.is_open:
            raise ConnectionLostError(
                "not connected", step=type(body).__name__, peer=self.peer
            )
        call_id = self._next_call_id
        self._next_call_id += 1
        replies = ReplyStream(self, call_id)
        self._stream_by_call_id[call_id] = replies
        data = encode(Call(call_id, body))
        if in_pieces and self._sends_in_pieces(data):
            self._enqueue(data, in_pieces=True)
        else:
            await self._send(data)
        return replies

    async def notify(self, body):
        """Send a message that needs no reply; drop it if the connection has ended."""
        await self.send_frame(Notice(body))

    async def notify_in_pieces(self, body):
        """Send a message that needs no reply; later frames may overtake a large one.

        A large one is dropped while an earlier large frame is still being written.
        """
        data = encode(Notice(body))
        if not self._sends_in_pieces(data):
            await self._send(data)
        elif not self._outbox.has_pieces:
            self._enqueue(data, in_pieces=True)

    async def notify_encoded(self, data):
        """Send a notice already encoded by :func:`encode_notice`."""
        await self._send(data)

    async def forget_call(self, call_id, cancel):
        """Discard further replies to a call.

        :param cancel: whether to cancel the call at the peer.
        """
        replies = self._stream_by_call_id.pop(call_id, None)
        if replies is not None and cancel and self.is_open:
            await self.send_frame(Cancel(call_id))

    async def send_frame(self, frame, may_wait=False):
        """Queue a frame; all queued frames are sent in a single write.

        :param may_wait: whether the write may be delayed by up to ``gather_seconds``.
        """
        await self._send(encode(frame), may_wait)

    async def _send(self, data, may_wait=False):
        self._enqueue(data, may_wait)
        while self.whole_bytes > MAX_PENDING_BYTES and self.is_open:
            await self._drained.wait()

    def _sends_in_pieces(self, data):
        return self._peer_joins_pieces and len(data) > PIECE_BYTES

    def _enqueue(self, data, may_wait=False, in_pieces=False):
        if self._is_finished:
            return
        put = self._outbox.put_in_pieces if in_pieces else self._outbox.put
        self.pending_bytes += put(data)
        now = self._clock()
        self._last_sent_at = now
        if may_wait and now - self._last_written_at < self._gather_seconds:
            self._wake_gatherer.set()
        else:
            self._wake_writer.set()

    async def _gather_loop(self):
        while True:
            await self._wake_gatherer.wait()
            self._wake_gatherer = anyio.Event()
            waited = self._clock() - self._last_written_at
            await anyio.sleep(max(0.0, self._gather_seconds - waited))
            if self._outbox.has_whole:
                self._wake_writer.set()

    async def _write_loop(self):
        while True:
            await self._wake_writer.wait()
            self._wake_writer = anyio.Event()
            data = self._outbox.take()
            if self._outbox.has_pieces:
                self._wake_writer.set()
            self._last_written_at = self._clock()
            await self._stream.send(data)
            byte_counter.sent += len(data)
            self.pending_bytes -= len(data)
            drained, self._drained = self._drained, anyio.Event()
            drained.set()

    async def _heartbeat_loop(self):
        while True:
            await anyio.sleep(self._heartbeat_interval)
            self.tick()

    def tick(self):
        """Close the connection if the peer is silent, else send a heartbeat if due.

        Any frame sent within the interval counts as a heartbeat.
        """
        if self._is_silent():
            self.close()
        elif self._clock() - self._last_sent_at >= 0.9 * self._heartbeat_interval:
            self._enqueue(encode(Heartbeat()))

    def _is_silent(self):
        silent_for = self._clock() - self._last_received_at
        if silent_for <= self._silence_bound:
            return False
        logger.warning(
            "closing connection to %s: silent for %.1f s", self.peer, silent_for
        )
        return True

    async def _read_loop(self):
        decoder = Decoder()
        while True:
            try:
                data = await self._stream.receive(READ_SIZE_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                return
            if self._is_silent():
                return
            self._last_received_at = self._clock()
            self.peer_responded.set()
            byte_counter.received += len(data)
            incomplete_at = self._last_received_at
            for frame in decoder.feed(data):
                incomplete_at = float("-inf")
                await self._dispatch(frame)
            self._incomplete_at = incomplete_at

    async def _dispatch(self, frame):
        action = _ACTION_BY_FRAME.get(type(frame))
        if action is None:
            raise CodecError(f"{type(frame).__name__} is not a frame", peer=self.peer)
        await action(self, frame)

    async def _on_heartbeat(self, frame):
        pass

    async def _on_piece(self, piece):
        frame = self._joiner.add(piece)
        if frame is not None:
            await self._dispatch(frame)

    async def _on_hello(self, frame):
        self._peer_joins_pieces = frame.joins_pieces
        if not self.peer:
            self.peer = frame.instance
            await self._handler.handle_open(self)

    async def _on_notice(self, frame):
        await self._handler.handle_notice(self, frame.body)

    async def _on_call(self, frame):
        scope = anyio.CancelScope()
        self._scope_by_call_id[frame.call_id] = scope
        self._tasks.start_soon(self._run_call, frame, scope)

    async def _on_reply(self, frame):
        replies = self._stream_by_call_id.get(frame.call_id)
        if replies is not None and not replies.deliver(frame):
            await self.forget_call(frame.call_id, cancel=not frame.final)

    async def _on_cancel(self, frame):
        scope = self._scope_by_call_id.get(frame.call_id)
        if scope is not None:
            scope.cancel()

    async def _on_ack(self, frame):
        responder = self._responder_by_call_id.get(frame.call_id)
        if responder is not None:
            responder.record_ack(frame.sequence)

    async def _run_call(self, call, scope):
        responder = Responder(self, call.call_id)
        self._responder_by_call_id[call.call_id] = responder
        with scope:
            try:
                await self._handler.handle_call(self, call.body, responder)
            except BanyanshoreError as error:
                await responder.finish(Failure(str(error)))
            except Exception as error:
                logger.exception("%s failed", type(call.body).__name__)
                await responder.finish(Failure(f"internal error: {error!r}"))
            finally:
                del self._scope_by_call_id[call.call_id]
                del self._responder_by_call_id[call.call_id]

    def _abort_calls(self):
        self.is_open = False
        self._drained.set()
        for replies in self._stream_by_call_id.values():
            replies.abort()
        self._stream_by_call_id.clear()


def encode_notice(body):
    """Return the bytes of a notice, so that it is encoded once for many peers."""
    return encode(Notice(body))


_ACTION_BY_FRAME = {
    Heartbeat: Connection._on_heartbeat,
    Hello: Connection._on_hello,
    Notice: Connection._on_notice,
    Call: Connection._on_call,
    Reply: Connection._on_reply,
    Cancel: Connection._on_cancel,
    Ack: Connection._on_ack,
    Piece: Connection._on_piece,
}
