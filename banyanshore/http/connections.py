"""Connections of callers to a web server, and the request that each one serves."""

import asyncio
import contextlib
import time

from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.events import Closed, Updated

from banyanshore.core.sockets import count_unacknowledged_bytes
from banyanshore.http.lingering import CHECK_SECONDS, Linger
from banyanshore.http.unfinished import Phase, Unfinished


class WebConnection(TCPServer):
    """Serve the requests of one connection, one after another.

    After its last answer it stays open, and discards what arrives, until the caller
    has received the answer.

    :param server: the :class:`~banyanshore.http.server.WebServer`.
    :ivar request: the :class:`~banyanshore.http.asgi.Request` that was read last, or
        ``None``; set by the application.
    """

    def __init__(self, server, application, config, context, reader, writer):
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
            self.request.id if self.request is not None else "",
            self.count_undelivered_bytes(),
            self.reader.discarded_bytes,
        )

    def count_undelivered_bytes(self):
        """Return the bytes of answers that the caller's system has not acknowledged."""
        transport = self.writer.transport
        count = count_unacknowledged_bytes(transport.get_extra_info("socket"))
        return transport.get_write_buffer_size() + (count or 0)

    def cut(self):
        """End the connection, whatever it does."""
        self._is_cut = True
        self._task.cancel()

    async def _read_data(self):
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
        await super().protocol_send(event)

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
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.write_eof()
        self.reader.discard()
        # Reading pauses while further requests wait.
        self.writer.transport.resume_reading()
        linger = Linger(time.monotonic())
        while not self._is_cut and not self.reader.ended.is_set():
            if linger.is_over(time.monotonic(), self.count_undelivered_bytes()):
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.reader.ended.wait(), CHECK_SECONDS)
