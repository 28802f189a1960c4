"""Connections of callers to a web server, and the request that each one serves."""

import asyncio
import fcntl
import struct
import termios

from hypercorn.asyncio.tcp_server import TCPServer

from banyanshore.http.unfinished import Phase, Unfinished


class WebConnection(TCPServer):
    """Serve the requests of one connection, one after another.

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

    @property
    def is_closing(self):
        """Whether answers announce the end of the connection."""
        return self._server.is_closing

    @property
    def is_active(self):
        """Whether a request that was read has no whole answer yet."""
        return self.request is not None and not self.request.is_ended

    @property
    def phase(self):
        """Return the :class:`~banyanshore.http.unfinished.Phase`."""
        if self.request is None:
            return Phase.IDLE
        if self.request.is_ended:
            return Phase.DELIVERING
        return Phase.ANSWERING if self.request.response_started else Phase.PROCESSING

    def unfinished(self):
        """Return what the end of the connection now would leave unfinished."""
        return Unfinished(
            self.phase,
            self.request.id if self.request is not None else "",
            self.count_undelivered_bytes(),
            False,
        )

    def count_undelivered_bytes(self):
        """Return the bytes of answers that the caller's system has not acknowledged."""
        transport = self.writer.transport
        raw = transport.get_extra_info("socket")
        if raw.fileno() < 0:
            return 0
        answer = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
        return transport.get_write_buffer_size() + struct.unpack("i", answer)[0]

    def cut(self):
        """End the connection, whatever it does."""
        self._task.cancel()
