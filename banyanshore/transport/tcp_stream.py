"""Byte streams over TCP connections that this process opens.

Load pattern: thousands of small pieces arrive in a second, each of which wakes a task
that waits for it with a timeout. The streams of anyio stop and start reading for each
of them, and each timeout takes a cancel scope and a timer. These go on reading until
they hold a bounded number of bytes, and have one timer for all waits.
"""

import asyncio
import contextlib
import time

import anyio

# Bytes read from a connection at a time, and held before reading stops.
READ_SIZE_BYTES = 64 * 1024
# Seconds by which a timer may be early; event loops count in milliseconds.
MIN_TIMER_SECONDS = 0.001

# Filled by one connection after the other; each takes a copy at once.
_read_buffer = bytearray(READ_SIZE_BYTES)


class _Protocol(asyncio.BufferedProtocol):
    """The bytes that have arrived on a connection, and how it has ended."""

    def __init__(self):
        self.data = b""
        self.is_at_end = False
        self.error = None
        self.is_paused = False
        # Future of the wait for bytes, false if that has taken too long, or ``None``.
        self.reader = None
        self.may_write = asyncio.Event()
        self.may_write.set()
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(0)

    def connection_lost(self, error):
        self.error = error or ConnectionResetError("connection closed")
        self.wake_reader()
        self.may_write.set()

    def get_buffer(self, sizehint):
        return _read_buffer

    def buffer_updated(self, count):
        self.data += bytes(memoryview(_read_buffer)[:count])
        if len(self.data) >= READ_SIZE_BYTES:
            self.is_paused = True
            self.transport.pause_reading()
        self.wake_reader()

    def eof_received(self):
        self.is_at_end = True
        self.wake_reader()
        return True

    def pause_writing(self):
        self.may_write.clear()

    def resume_writing(self):
        self.may_write.set()

    def wake_reader(self):
        if self.reader is not None and not self.reader.done():
            self.reader.set_result(True)


class TcpStream(anyio.abc.ByteStream):
    """Send and receive bytes on a connection; one task at a time may receive."""

    def __init__(self, transport, protocol):
        self._transport = transport
        self._protocol = protocol
        self._loop = asyncio.get_running_loop()
        self._is_closed = False
        # Monotonic time at which the wait for bytes ends, and the timer of a wait,
        # which may have ended already.
        self._due_at = None
        self._timer = None
        self._timer_at = None

    @property
    def extra_attributes(self):
        """Provide the socket."""
        # Not kept: the event loop may close it, and its number then names another one.
        return {
            anyio.abc.SocketAttribute.raw_socket: lambda: (
                self._transport.get_extra_info("socket")
            )
        }

    @property
    def has_received(self):
        """Whether bytes that were not asked for yet, or the end, have arrived."""
        protocol = self._protocol
        return bool(protocol.data or protocol.is_at_end or protocol.error is not None)

    async def receive(self, max_bytes=READ_SIZE_BYTES):
        """Return the next bytes."""
        self._check_is_closed()
        if self.has_received:
            await anyio.lowlevel.checkpoint()
        else:
            await self._has_received_in_time()
        return self._take(max_bytes)

    async def receive_by(self, due_at, max_bytes=READ_SIZE_BYTES):
        """Return the next bytes, or ``None`` if there are none by a time.

        :param due_at: monotonic time.
        """
        if self.has_received:
            return await self.receive(max_bytes)
        self._check_is_closed()
        self._due_at = due_at
        self._start_timer()
        try:
            is_in_time = await self._has_received_in_time()
        finally:
            self._due_at = None
        return self._take(max_bytes) if is_in_time else None

    async def _has_received_in_time(self):
        """Wait for bytes or the end; return false if that has taken too long."""
        protocol = self._protocol
        if protocol.reader is not None:
            raise anyio.BusyResourceError("reading from")
        protocol.reader = self._loop.create_future()
        try:
            return await protocol.reader
        finally:
            protocol.reader = None

    def _take(self, max_bytes):
        protocol = self._protocol
        data = protocol.data
        if not data:
            self._check_is_closed()
            if protocol.error is not None and not protocol.is_at_end:
                raise anyio.BrokenResourceError from protocol.error
            raise anyio.EndOfStream
        data, protocol.data = data[:max_bytes], data[max_bytes:]
        if protocol.is_paused and not protocol.data:
            protocol.is_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
        return data

    def _start_timer(self):
        """Have a timer that ends no later than the wait."""
        if self._timer is not None:
            if self._timer_at <= self._due_at:
                return
            self._timer.cancel()
        seconds = max(MIN_TIMER_SECONDS, self._due_at - time.monotonic())
        self._timer_at = self._due_at
        self._timer = self._loop.call_later(seconds, self._on_timer)

    def _on_timer(self):
        self._timer = None
        if self._due_at is None:
            return
        if time.monotonic() < self._due_at:
            self._start_timer()
            return
        reader = self._protocol.reader
        if reader is not None and not reader.done():
            reader.set_result(False)

    async def send(self, item):
        """Send bytes, and wait until the system has taken them."""
        await anyio.lowlevel.checkpoint_if_cancelled()
        self._check_is_open()
        self._transport.write(item)
        if not self._protocol.may_write.is_set():
            await self._protocol.may_write.wait()
            self._check_is_open()

    def _check_is_closed(self):
        if self._is_closed:
            raise anyio.ClosedResourceError

    def _check_is_open(self):
        self._check_is_closed()
        if self._protocol.error is not None or self._transport.is_closing():
            raise anyio.BrokenResourceError from self._protocol.error

    async def send_eof(self):
        """Send the end of the stream after what waits to be sent."""
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    def abort(self):
        """Close the connection; what waits to be sent or read is dropped."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._transport.abort()

    async def aclose(self):
        """Close the connection; what waits to be sent or read is dropped."""
        self.abort()
        await anyio.lowlevel.checkpoint()


async def connect_stream(host, port):
    """Return the :class:`TcpStream` of a new connection.

    :raises OSError: the connection can't be opened.
    """
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_connection(_Protocol, host, port)
    return TcpStream(transport, protocol)
