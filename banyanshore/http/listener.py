"""Serve HTTP/1.1 on anyio streams.

The server passes each request to a coroutine function as an :class:`Exchange`. It
detects at once that a caller has closed the connection, ends incomplete answers so that
callers can recognize them, and announces the close of a connection in an answer.
"""

import logging

import anyio
import h11

from banyanshore.core.clock import boottime_now
from banyanshore.core.groups import wait_for_first
from banyanshore.core.sockets import find_socket, is_peer_lost
from banyanshore.core.values import dataclass
from banyanshore.http.accepting import open_acceptor
from banyanshore.http.caller_account import LOOK_SECONDS, CallerAccount
from banyanshore.http.caller_connection import CallerConnection
from banyanshore.http.caller_stream import open_caller_stream
from banyanshore.http.exchange import RequestError
from banyanshore.http.wire import (
    RECEIVE_BUFFER_BYTES,
    PeerClosedError,
    reset_on_close,
    set_keepalive,
)

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ListenerLimits:
    """Limit the size of requests, and the time in which callers may send them.

    :param header_timeout: seconds for the head of a request, and for each
        :data:`BODY_PROGRESS_BYTES` of its body.
    :param idle_timeout: seconds between requests after which a connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 5.0
    idle_timeout: float = 30.0


class Listener:
    """Accept connections on an address, and handle their requests.

    :param handle: coroutine function that answers the :class:`Exchange` it is given.
    :param limits: callable that returns the current :class:`ListenerLimits`; call
        :meth:`apply_limits` when they have changed.
    :param earliest_arrival: callable that returns the boot time before which bytes that
        are read now can't have arrived.
    :param callers: the :class:`~banyanshore.http.caller_account.CallerAccount` that
        all listeners of the process share, ``None`` for one of its own.
    :ivar active: requests that are being handled.
    :ivar leaving: whether answers announce that the connection will be closed.
    :ivar is_closing: whether :meth:`close` was called.
    """

    def __init__(
        self,
        handle,
        limits=ListenerLimits,
        earliest_arrival=boottime_now,
        callers=None,
    ):
        self.callers = callers or CallerAccount()
        self.handle = handle
        self.limits = limits
        self.earliest_arrival = earliest_arrival
        self.active = 0
        self.leaving = False
        self.is_closing = False
        self._stream_by_connection = {}
        self._acceptor = None
        # Set once nothing is accepted any more and all connections have ended.
        self._ended = anyio.Event()

    def find_unfinished(self):
        """Return the :class:`Unfinished` of each open connection."""
        return [connection.unfinished() for connection in self._stream_by_connection]

    def apply_limits(self):
        """Apply changed limits to all open connections."""
        for connection in self._stream_by_connection:
            connection.apply_limits()

    async def serve(self, address, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until cancelled, or until all connections have ended after a close.

        :raises BindError: the address can't be listened on.
        """
        self._acceptor = await open_acceptor(address, RECEIVE_BUFFER_BYTES)
        task_status.started()
        async with anyio.create_task_group() as looking:
            looking.start_soon(self._look_at_buffers)
            async with anyio.create_task_group() as connections:

                def start(raw):
                    share = self.callers.open()
                    connections.start_soon(self._serve_accepted, raw, share)

                await self._acceptor.run(start, self.callers)
            looking.cancel_scope.cancel()
        self._ended.set()

    async def _look_at_buffers(self):
        while True:
            await anyio.sleep(LOOK_SECONDS)
            for connection, stream in list(self._stream_by_connection.items()):
                share = connection.share
                if self.callers.account.needs_look(share):
                    self.callers.look_at(share)
                if share.buffered and is_peer_lost(find_socket(stream)):
                    await self._drop_lost(connection, stream)
            self.callers.make_room()

    async def _drop_lost(self, connection, stream):
        logger.info(
            "caller lost",
            extra={
                "request_id": connection.request_id,
                "bytes": connection.share.buffered,
            },
        )
        # The system would keep what was not acknowledged.
        reset_on_close(stream)
        await stream.aclose()

    async def close(self, seconds, cut_short=None):
        """Stop accepting connections, and wait until all have ended.

        Those that wait to be accepted are accepted first.

        Requests that have arrived are handled, and their answers delivered.
        Connections without a request are closed.

        :param seconds: longest time to wait; :meth:`find_unfinished` returns what is
            left then.
        :param cut_short: event that ends the wait, or ``None``.
        """
        self.leaving = True
        self.is_closing = True
        self._acceptor.stop()
        for connection in list(self._stream_by_connection):
            connection.shorten_waits()
        with anyio.move_on_after(seconds):
            await wait_for_first(self._ended, cut_short or anyio.Event())

    async def _serve_accepted(self, raw, share):
        try:
            try:
                stream = await open_caller_stream(raw)
            except (OSError, ValueError) as error:
                # The caller has closed the connection already.
                logger.debug("connection ended: %s", error)
                raw.close()
                return
            await self._serve_connection(stream, share)
        finally:
            self.callers.account.close(share)

    async def _serve_connection(self, stream, share):
        connection = None
        try:
            # TCP_USER_TIMEOUT would end the connection of a caller that reads slowly.
            set_keepalive(stream)
            connection = CallerConnection(self, stream, share)
            self._stream_by_connection[connection] = stream
            try:
                await connection.serve()
            except RequestError as error:
                await connection.refuse(error)
            await connection.deliver()
        except (PeerClosedError, OSError, h11.LocalProtocolError) as error:
            logger.debug("connection ended: %s", error)
        except Exception:
            logger.exception("connection ended by an internal error")
        finally:
            self._stream_by_connection.pop(connection, None)
            if connection is not None and connection.must_reset():
                reset_on_close(stream)
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await stream.aclose()
