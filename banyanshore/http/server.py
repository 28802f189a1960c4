"""Run an ASGI application on one address."""

import asyncio

import anyio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config

from banyanshore.core.exceptions import BindError
from banyanshore.http.connections import WebConnection
from banyanshore.http.lingering import DiscardingReader

# Seconds that open connections get to close when a server stops; by then, all requests
# have ended.
GRACEFUL_SECONDS = 1.0
# Seconds between requests after which a connection is closed.
KEEP_ALIVE_SECONDS = 60.0
MAX_HEAD_BYTES = 64 * 1024


class WebServer:
    """Serve an ASGI application on one address.

    :ivar is_closing: whether answers announce the end of their connections, set by the
        owner.
    :ivar unfinished: the :class:`~banyanshore.http.unfinished.Unfinished` of the
        connections that were open when the server ended.
    """

    def __init__(self, application, address):
        self.is_closing = False
        self.unfinished = ()
        self._address = address
        self._application = ASGIWrapper(application)
        self._config = _make_config(address)
        self._context = WorkerContext(None)
        self._connections = set()

    async def serve(self, shutdown, get_close_seconds=lambda: GRACEFUL_SECONDS):
        """Serve until cancelled, or until an event is set and the connections ended.

        :param shutdown: ``anyio.Event`` that stops the server.
        :param get_close_seconds: callable that returns the seconds that connections
            get to end after that.
        :raises BindError: the address can't be listened on.
        """
        listeners = await self._listen()
        try:
            await shutdown.wait()
            for listener in listeners:
                listener.close()
            # Ends the connections that are idle, and each other one after its answer.
            await self._context.terminated.set()
            with anyio.move_on_after(get_close_seconds()):
                await self._wait_for_connections()
        finally:
            for listener in listeners:
                listener.close()
            self.unfinished = [item.unfinished() for item in self._connections]
            for connection in self._connections:
                connection.cut()

    async def _listen(self):
        loop = asyncio.get_running_loop()
        try:
            sockets = self._config.create_sockets().insecure_sockets
            return [
                await loop.create_server(
                    self._make_protocol, sock=sock, backlog=self._config.backlog
                )
                for sock in sockets
            ]
        except OSError as error:
            raise BindError(self._address, error) from error

    def _make_protocol(self):
        return asyncio.StreamReaderProtocol(DiscardingReader(), self._run_connection)

    async def _run_connection(self, reader, writer):
        connection = WebConnection(
            self, self._application, self._config, self._context, reader, writer
        )
        self._connections.add(connection)
        try:
            await connection
        finally:
            self._connections.discard(connection)

    async def _wait_for_connections(self):
        while self._connections:
            await anyio.sleep(0.02)

    def iter_active(self):
        """Yield the requests that have no whole answer yet."""
        for connection in self._connections:
            if connection.is_active:
                yield connection.request


async def serve_http(application, address, shutdown=None):
    """Serve until cancelled, or until an event is set.

    :param shutdown: ``anyio.Event`` that stops the server, or ``None``.
    :raises BindError: the address can't be listened on.
    """
    await WebServer(application, address).serve(shutdown or anyio.Event())


def _make_config(address):
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.include_server_header = False
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    return config
