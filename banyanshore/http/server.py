"""Run an ASGI application on one address."""

import asyncio
import logging

import anyio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config

from banyanshore.core.groups import open_task_group
from banyanshore.http.accepting import open_acceptor
from banyanshore.http.caller_account import LOOK_SECONDS, CallerAccount
from banyanshore.http.connections import WebConnection
from banyanshore.http.lingering import DiscardingReader
from banyanshore.http.wire import RECEIVE_BUFFER_BYTES

logger = logging.getLogger(__name__)

# Seconds that open connections get to close when a server stops; by then, all requests
# have ended.
GRACEFUL_SECONDS = 1.0
# Seconds between requests after which a connection is closed.
KEEP_ALIVE_SECONDS = 60.0
MAX_HEAD_BYTES = 64 * 1024
# Pieces of a body, of 64 KiB at most, that wait for the application.
MAX_QUEUED_PIECES = 4


class WebServer:
    """Serve an ASGI application on one address.

    :param callers: the :class:`~banyanshore.http.caller_account.CallerAccount` that
        all servers of the process share, ``None`` for one of its own.
    :ivar is_closing: whether answers announce the end of their connections, set by the
        owner.
    :ivar unfinished: the :class:`~banyanshore.http.unfinished.Unfinished` of the
        connections that were open when the server ended.
    """

    def __init__(self, application, address, callers=None):
        self.callers = callers or CallerAccount()
        self.is_closing = False
        self.unfinished = ()
        self._address = address
        self._application = ASGIWrapper(application)
        self._config = _make_config(address)
        self._context = WorkerContext(None)
        self._connections = set()
        # One for each connection, so that none is collected while it runs.
        self._tasks = set()

    @property
    def is_stopping(self):
        """Whether connections are closed without waiting long for their callers."""
        return self.is_closing or self._context.terminated.is_set()

    async def serve(self, shutdown, get_close_seconds=lambda: GRACEFUL_SECONDS):
        """Serve until cancelled, or until an event is set and the connections ended.

        :param shutdown: ``anyio.Event`` that stops the server.
        :param get_close_seconds: callable that returns the seconds that connections
            get to end after that.
        :raises BindError: the address can't be listened on.
        """
        acceptor = await open_acceptor(self._address, RECEIVE_BUFFER_BYTES)
        try:
            async with open_task_group() as looking:
                looking.start_soon(self._look_at_buffers)
                async with open_task_group() as accepting:
                    accepting.start_soon(acceptor.run, self._start, self.callers)
                    await shutdown.wait()
                    acceptor.stop()
                looking.cancel_scope.cancel()
            # Ends the connections that are idle, and each other one after its answer.
            await self._context.terminated.set()
            with anyio.move_on_after(get_close_seconds()):
                await self._wait_for_connections()
        finally:
            self.unfinished = [item.unfinished() for item in self._connections]
            for connection in self._connections:
                connection.cut()

    def _start(self, raw):
        share = self.callers.open()
        task = asyncio.create_task(self._serve_accepted(raw, share))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_accepted(self, raw, share):
        loop = asyncio.get_running_loop()
        reader = DiscardingReader()
        try:
            protocol = asyncio.StreamReaderProtocol(reader)
            try:
                transport, _ = await loop.connect_accepted_socket(lambda: protocol, raw)
            except OSError as error:
                # The caller has closed the connection already.
                logger.debug("connection ended: %s", error)
                raw.close()
                return
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            await self._run_connection(reader, writer, share)
        finally:
            self.callers.account.close(share)

    async def _run_connection(self, reader, writer, share):
        connection = WebConnection(
            self, share, self._application, self._config, self._context, reader, writer
        )
        self._connections.add(connection)
        try:
            await connection
        finally:
            self._connections.discard(connection)

    async def _look_at_buffers(self):
        while True:
            await anyio.sleep(LOOK_SECONDS)
            for connection in self._connections:
                share = connection.share
                if self.callers.account.needs_look(share):
                    self.callers.look_at(share)
            self.callers.make_room()

    async def _wait_for_connections(self):
        while self._tasks:
            await anyio.sleep(0.02)

    def iter_active(self):
        """Yield the requests that have no whole answer yet."""
        for connection in self._connections:
            if connection.is_active:
                yield connection.request


async def serve_http(application, address, shutdown=None, callers=None):
    """Serve until cancelled, or until an event is set.

    :param shutdown: ``anyio.Event`` that stops the server, or ``None``.
    :param callers: as in :class:`WebServer`.
    :raises BindError: the address can't be listened on.
    """
    await WebServer(application, address, callers).serve(shutdown or anyio.Event())


def _make_config(address):
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.include_server_header = False
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.max_app_queue_size = MAX_QUEUED_PIECES
    return config
