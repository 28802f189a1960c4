"""Connections of callers to a web server, and the request that each one serves."""

import asyncio
import contextlib
import time

from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.events import Closed, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol

from banyanshore.core.byte_account import Stage
from banyanshore.core.sockets import count_unacknowledged_bytes, count_unread_bytes
from banyanshore.http.lingering import CHECK_SECONDS, PIECE_BYTES, Linger
from banyanshore.http.unfinished import Phase, Unfinished
from banyanshore.http.wire import reset_socket_on_close

# Title of the refusal of a request that isn't read to its end, as others need the
# memory.
NO_ROOM = "No room for the request"

# Bytes that the event loop takes from the system at a time, beyond what the reader
# limits.
RECEIVED_BYTES = 4 * PIECE_BYTES
# Bytes that the layers of the web server hold while a large body arrives.
LAYERS_BYTES = 8 * PIECE_BYTES


class Http1Protocol(H11Protocol):
    """HTTP/1.1, to which a connection keeps whatever its caller asks for.

    By HTTP/2 a connection would have many requests at a time, beyond its share.
    """

    async def _check_protocol(self, event):
        """Ignore the upgrade or the version that a request asks for."""


class WebConnection(TCPServer):
    """Serve the requests of one connection, one after another.

    After its last answer it stays open, and discards what arrives, until the caller
    has received the answer.

    :param server: the :class:`~banyanshore.http.server.WebServer`.
    :param share: its :class:`~banyanshore.core.byte_account.Share`.
    :ivar request: the :class:`~banyanshore.http.asgi.Request` that was read last, or
        ``None``; set by the application.
    """

    def __init__(self, server, share, application, config, context, reader, writer):
        loop = asyncio.get_running_loop()
        state = {"connection": self}
        super().__init__(application, loop, config, context, state, reader, writer)
        self.request = None
        self._server = server
        self._task = asyncio.current_task()
        self._reading = None
        self._is_idle = True
        self._is_cut = False
        # The task that closes the connection, once that has begun.
        self._closing = None
        self.share = share
        share.holder = self
        reader.on_read = self._count_head
        # Bytes that the event loop takes from the system at a time.
        writer.transport.max_size = RECEIVED_BYTES

    @property
    def request_id(self):
        """Return the id of the last request, empty if none is known."""
        return self.request.id if self.request is not None else ""

    @property
    def is_closing(self):
        """Whether answers announce the end of the connection."""
        return self._server.is_closing

    @property
    def is_active(self):
        """Whether a request that was read has no whole answer yet."""
        return (
            self._closing is None
            and self.request is not None
            and not self.request.is_ended
        )

    @property
    def phase(self):
        """Return the :class:`~banyanshore.http.unfinished.Phase`."""
        if self.request is None:
            return Phase.IDLE
        if not self.is_active:
            return Phase.DELIVERING
        return Phase.ANSWERING if self.request.response_started else Phase.PROCESSING

    def unfinished(self):
        """Return what the end of the connection now would leave unfinished."""
        return Unfinished(
            self.phase,
            self.request_id,
            self.count_undelivered_bytes(),
            self.reader.discarded_bytes,
        )

    def count_undelivered_bytes(self):
        """Return the bytes of answers that the caller's system has not acknowledged."""
        transport = self.writer.transport
        count = count_unacknowledged_bytes(transport.get_extra_info("socket"))
        return transport.get_write_buffer_size() + (count or 0)

    def count_buffered_bytes(self):
        """Return the bytes of answers in buffers, and those that arrived."""
        raw = self.writer.transport.get_extra_info("socket")
        unread = self.reader.count_unread_bytes() + (count_unread_bytes(raw) or 0)
        return self.count_undelivered_bytes(), unread

    def _count_head(self, size):
        """Count bytes that arrived while no request is being processed."""
        if self.share.stage is Stage.IDLE:
            self._server.callers.hold_more(self.share, size)

    def hold_body(self, size):
        """Count the bytes that are held of the body of the request."""
        self.share.stage = Stage.READING
        self._server.callers.hold(self.share, size + min(size, LAYERS_BYTES))

    def end_body(self, is_whole):
        """Record that the body of the request is whole, or isn't read any further."""
        if is_whole:
            self._server.callers.account.resume(self.share, Stage.RUNNING)
        else:
            self._server.callers.hold(self.share, LAYERS_BYTES)
            self._server.callers.account.resume(self.share, Stage.LINGERING)

    def stop(self):
        """Refuse the request whose body is being read, or cut the connection off."""
        is_reading = self.share.stage is Stage.READING
        if is_reading and self.request.refuse_body(NO_ROOM):
            return
        if self.share.stage in (Stage.SENDING, Stage.LINGERING):
            # An answer that was begun must not look complete, and the system would
            # keep the rest of it.
            self._abort()
        self.writer.transport.abort()
        self.cut()

    def _abort(self):
        """Reset the connection, and drop what its caller has not read."""
        raw = self.writer.transport.get_extra_info("socket")
        if raw is not None:
            reset_socket_on_close(raw)
        self.writer.transport.abort()

    def cut(self):
        """End the connection, whatever it does."""
        self._is_cut = True
        self._task.cancel()

    async def _read_data(self):
        made = self.protocol
        self.protocol = Http1Protocol(
            made.app,
            made.config,
            made.context,
            made.task_group,
            made.state,
            made.ssl,
            made.client,
            made.server,
            made.send,
        )
        # A task of its own, since hypercorn's loop doesn't end by itself if a further
        # request was read before the connection is closed.
        self._reading = asyncio.create_task(super()._read_data())
        try:
            await asyncio.wait([self._reading])
        finally:
            self._reading.cancel()
        if not self._reading.cancelled():
            self._reading.result()

    async def protocol_send(self, event):
        """Send an event of the protocol to the caller."""
        if isinstance(event, Updated):
            self._is_idle = event.idle
            if event.idle:
                self.share.stage = Stage.IDLE
                self._server.callers.hold(self.share, 0)
            else:
                self.share.stage = Stage.RUNNING
        if not isinstance(event, RawData):
            await super().protocol_send(event)
            return
        stage, self.share.stage = self.share.stage, Stage.SENDING
        try:
            await self._write(event.data)
        finally:
            if self.share.stage is Stage.SENDING:
                self.share.stage = stage

    async def _write(self, data):
        async with self.send_lock:
            try:
                self.writer.write(data)
                # Before the wait for a caller that doesn't read.
                self._server.callers.record_written(self.share, len(data))
                await self.writer.drain()
            except (ConnectionError, RuntimeError):
                await self.protocol.handle(Closed())

    async def _close(self):
        if self._closing is None:
            self._closing = asyncio.create_task(self._deliver_and_close())
        # The end of a request cancels its task, which must not end the delivery.
        await asyncio.shield(self._closing)

    async def _deliver_and_close(self):
        await self._deliver()
        await super()._close()
        if self._reading is not None:
            self._reading.cancel()

    async def _initiate_server_close(self):
        # A request that was read meanwhile is answered before the connection ends.
        if self._is_idle:
            await self.protocol.handle(Closed())
            await self._close()

    async def _deliver(self):
        """Wait until the caller has received all answers, and discard what it sends."""
        self.share.stage = Stage.LINGERING
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.write_eof()
        self.reader.discard()
        # Reading pauses while further requests wait.
        self.writer.transport.resume_reading()
        linger = Linger(time.monotonic())
        while not self._is_cut and not self.reader.ended.is_set():
            undelivered = self.count_undelivered_bytes()
            is_stopping = self._server.is_stopping
            if linger.is_over(time.monotonic(), undelivered, is_stopping):
                if undelivered and not is_stopping:
                    # The system would keep it, uncounted.
                    self._abort()
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.reader.ended.wait(), CHECK_SECONDS)
