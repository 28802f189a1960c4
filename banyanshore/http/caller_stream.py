"""Byte stream of one connection of a caller, which can be interrupted from outside.

Unlike the streams of anyio it takes no more from the system than was asked for, and
tells what it has not sent yet.
"""

import asyncio
import contextlib

import anyio

from banyanshore.core.sockets import (
    count_unacknowledged_bytes,
    count_unread_bytes,
    find_socket,
)
from banyanshore.http.wire import READ_SIZE_BYTES, PeerClosedError

# Filled by one connection after the other; each takes a copy at once.
_read_buffer = bytearray(READ_SIZE_BYTES)


class StoppedError(PeerClosedError):
    """Signal that the process has stopped the connection for the sake of others."""


class _Protocol(asyncio.BufferedProtocol):
    def __init__(self):
        self.data = b""
        self.is_at_end = False
        self.error = None
        self.is_interrupted = False
        self.may_read = asyncio.Event()
        self.may_write = asyncio.Event()
        self.may_write.set()
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        transport.pause_reading()
        transport.set_write_buffer_limits(0)

    def connection_lost(self, error):
        self.error = error or ConnectionResetError("connection closed")
        self.may_read.set()
        self.may_write.set()

    def get_buffer(self, sizehint):
        return _read_buffer

    def buffer_updated(self, count):
        self.data += bytes(memoryview(_read_buffer)[:count])
        self.transport.pause_reading()
        self.may_read.set()

    def eof_received(self):
        self.is_at_end = True
        self.may_read.set()
        return True

    def pause_writing(self):
        self.may_write.clear()

    def resume_writing(self):
        self.may_write.set()


class CallerStream(anyio.abc.ByteStream):
    """Send and receive bytes of a caller.

    :param on_blocked: called with whether bytes wait for the caller to read.
    """

    def __init__(self, transport, protocol):
        self.on_blocked = lambda is_blocked: None
        self._transport = transport
        self._protocol = protocol

    @property
    def extra_attributes(self):
        """Provide the socket."""
        # Not kept: the event loop may close it, and its number then names another one.
        return {
            anyio.abc.SocketAttribute.raw_socket: lambda: (
                self._transport.get_extra_info("socket")
            )
        }

    def count_buffered_bytes(self):
        """Return the bytes that the caller has to acknowledge, and those to be read."""
        if self._transport.is_closing():
            return 0, 0
        raw = find_socket(self)
        unsent = self._transport.get_write_buffer_size()
        unsent += count_unacknowledged_bytes(raw) or 0
        return unsent, (count_unread_bytes(raw) or 0) + len(self._protocol.data)

    def interrupt(self):
        """End what is being sent or received with a :class:`StoppedError`."""
        protocol = self._protocol
        protocol.is_interrupted = True
        protocol.may_read.set()
        protocol.may_write.set()

    def resume(self):
        """Allow to send and to receive again after an interruption."""
        protocol = self._protocol
        protocol.is_interrupted = False
        if protocol.error is None and self._transport.get_write_buffer_size():
            protocol.may_write.clear()

    async def receive(self, max_bytes=READ_SIZE_BYTES):
        """Return the next bytes, at most :data:`READ_SIZE_BYTES`.

        :raises StoppedError: the stream was interrupted.
        """
        protocol = self._protocol
        if self._has_news():
            await anyio.lowlevel.checkpoint()
        else:
            protocol.may_read.clear()
            if not self._transport.is_closing():
                self._transport.resume_reading()
            try:
                await protocol.may_read.wait()
            finally:
                if not self._transport.is_closing():
                    self._transport.pause_reading()
        if protocol.is_interrupted:
            raise StoppedError("stopped", step="receive")
        data, protocol.data = protocol.data[:max_bytes], protocol.data[max_bytes:]
        if data:
            return data
        if protocol.error is not None and not protocol.is_at_end:
            raise anyio.BrokenResourceError from protocol.error
        raise anyio.EndOfStream

    def _has_news(self):
        protocol = self._protocol
        return (
            protocol.data
            or protocol.is_at_end
            or protocol.error is not None
            or protocol.is_interrupted
        )

    async def send(self, item):
        """Send bytes, and wait until the system has taken them.

        :raises StoppedError: the stream was interrupted.
        """
        await anyio.lowlevel.checkpoint_if_cancelled()
        self._check_open()
        self._transport.write(item)
        if self._protocol.may_write.is_set():
            await anyio.lowlevel.cancel_shielded_checkpoint()
            return
        self.on_blocked(True)
        try:
            await self._protocol.may_write.wait()
        finally:
            self.on_blocked(False)
        self._check_open()

    def _check_open(self):
        if self._protocol.is_interrupted:
            raise StoppedError("stopped", step="send")
        if self._protocol.error is not None or self._transport.is_closing():
            raise anyio.BrokenResourceError from self._protocol.error

    async def send_eof(self):
        """Send the end of the stream after what waits to be sent."""
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    async def aclose(self):
        """Close the connection; what waits to be sent is dropped."""
        self._transport.abort()
        await anyio.lowlevel.checkpoint()


async def open_caller_stream(raw):
    """Return the :class:`CallerStream` on an accepted socket.

    :raises OSError: the caller has closed the connection already.
    """
    raw.setblocking(False)
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_connection(_Protocol, sock=raw)
    return CallerStream(transport, protocol)
