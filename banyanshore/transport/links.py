"""Accept connections from peers and keep connections to them open."""

import logging

import anyio

from banyanshore.core.exceptions import BindError, UnavailableError
from banyanshore.core.values import dataclass
from banyanshore.transport.activity import HeartbeatTicker
from banyanshore.transport.connection import Connection, encode_notice

logger = logging.getLogger(__name__)

# Seconds between checks of a link whose connection has just ended.
RECHECK_SECONDS = 0.01
# Seconds for which a link that prefers inbound connections waits for its peer before
# it connects itself.
INBOUND_WAIT_SECONDS = 1.0
# Droppable notices are dropped while this many bytes are queued on the connection.
MAX_DROPPABLE_BYTES = 1024 * 1024


@dataclass(frozen=True)
class LinkOptions:
    """Configure the connections of a process; times are in seconds.

    :param ticker: the :class:`~banyanshore.transport.activity.HeartbeatTicker`.
    :param finishing: event that is set once no connection is accepted or opened any
        more, or ``None``.
    """

    heartbeat_interval: float = 1.0
    silence_bound: float = 2.5
    connect_timeout: float = 1.0
    reconnect_delay: float = 0.2
    ticker: HeartbeatTicker | None = None
    gather_seconds: float = 0.0
    finishing: anyio.Event | None = None

    @property
    def is_finishing(self):
        """Whether no connection is accepted or opened any more."""
        return self.finishing is not None and self.finishing.is_set()

    @classmethod
    def from_settings(cls, settings):
        """Return the options in ``transport`` settings, with a new ticker."""
        return cls(
            settings.heartbeat_interval,
            settings.silence_bound,
            settings.connect_timeout,
            ticker=HeartbeatTicker(settings.heartbeat_interval),
            gather_seconds=settings.gather_seconds,
            finishing=anyio.Event(),
        )


def split_address(address):
    """Return the host and port of ``HOST:PORT``.

    >>> split_address("127.0.0.1:7001")
    ('127.0.0.1', 7001)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def serve_peers(address, handler, instance, options, *, task_status):
    """Accept connections on an address, and serve them with a handler.

    Once ``options.finishing`` is set, the address isn't listened on any more.

    :param task_status: started with the bound port once the socket listens.
    :raises BindError: the address can't be listened on.
    """
    host, port = split_address(address)
    try:
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    except OSError as error:
        raise BindError(address, error) from error
    task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))

    async def serve(stream):
        connection = Connection(
            stream,
            handler,
            instance=instance,
            heartbeat_interval=options.heartbeat_interval,
            silence_bound=options.silence_bound,
            ticker=options.ticker,
            gather_seconds=options.gather_seconds,
        )
        await connection.run()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_accept, listener, serve, tasks)
        try:
            await (options.finishing or anyio.Event()).wait()
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()


async def _accept(listener, serve, tasks):
    try:
        await listener.serve(serve, tasks)
    except* anyio.ClosedResourceError:
        pass


class Link:
    """Keep a connection to one peer, and reconnect whenever it ends.

    :param prefers_inbound: whether the peer is expected to connect to this process, so
        that one connection serves both directions.
    """

    def __init__(
        self, address, handler, instance, options, peer="", prefers_inbound=False
    ):
        self.address = address
        self.peer = peer or address
        self.connection = None
        self.prefers_inbound = prefers_inbound
        self._peer_connected = anyio.Event()
        # Whether the last attempt failed or the last connection ended.
        self.is_failing = False
        self._handler = handler
        self._instance = instance
        self._options = options
        self._opened = anyio.Event()
        self._scope = anyio.CancelScope()

    async def run(self):
        """Keep the connection open until :meth:`close`."""
        with self._scope:
            while not self._options.is_finishing:
                if self.prefers_inbound:
                    await self._follow_inbound()
                await self._connect_once()
                await anyio.sleep(self._options.reconnect_delay)

    def accept(self, connection):
        """Use a connection that the peer has opened.

        It is ignored if the link doesn't prefer inbound connections and is open.
        """
        if not self.prefers_inbound:
            if not self.is_open:
                self._use(connection)
            return
        previous = self.connection
        self._use(connection)
        self._peer_connected.set()
        if previous is not None:
            previous.close()

    def _use(self, connection):
        self.connection = connection
        self.is_failing = False
        self._opened.set()

    def _mark_closed(self):
        if not self.is_open:
            self.is_failing = True
            self._opened = anyio.Event()

    async def _follow_inbound(self):
        """Use the peer's connections; return when it doesn't connect in time."""
        while True:
            with anyio.move_on_after(INBOUND_WAIT_SECONDS):
                await self._peer_connected.wait()
            if not self._peer_connected.is_set():
                return
            self._peer_connected = anyio.Event()
            await self.connection.ended.wait()
            self._mark_closed()

    async def _connect_once(self):
        host, port = split_address(self.address)
        try:
            with anyio.fail_after(self._options.connect_timeout):
                stream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            logger.debug("connect to %s failed: %s", self.address, error)
            self._mark_closed()
            return
        connection = Connection(
            stream,
            self._handler,
            instance=self._instance,
            peer=self.peer,
            heartbeat_interval=self._options.heartbeat_interval,
            silence_bound=self._options.silence_bound,
            ticker=self._options.ticker,
            gather_seconds=self._options.gather_seconds,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connection.run)
            # The link is open only once the peer has sent data, not just accepted.
            await connection.peer_responded.wait()
            if self.prefers_inbound and self._peer_connected.is_set():
                # The peer has connected in the meantime; keep only its connection.
                connection.close()
            elif connection.is_open:
                self._use(connection)
        self._mark_closed()

    @property
    def is_open(self):
        """Whether the link has an open connection."""
        return self.connection is not None and self.connection.is_open

    async def get_connection(self, timeout):
        """Return the connection, waiting until it is open.

        :param timeout: seconds to wait.
        :raises UnavailableError: the timeout expired; nothing was sent.
        """
        with anyio.move_on_after(timeout):
            while not self.is_open:
                # The event of a connection that has just ended is still set.
                if self._opened.is_set():
                    await anyio.sleep(RECHECK_SECONDS)
                else:
                    await self._opened.wait()
        if not self.is_open:
            raise UnavailableError(
                f"no connection to {self.address}", step="connect", peer=self.peer
            )
        return self.connection

    async def notify(self, body):
        """Send a notice if the link is open; drop it otherwise."""
        if self.is_open:
            await self.connection.notify(body)

    async def notify_or_drop(self, body):
        """Send a notice whose loss is harmless, such as a periodic one.

        It is dropped if the link is closed or the peer reads too slowly, so the sender
        never blocks.
        """
        if self._accepts_droppable():
            await self.connection.notify(body)

    async def notify_encoded_or_drop(self, data):
        """Do as :meth:`notify_or_drop` with an encoded notice."""
        if self._accepts_droppable():
            await self.connection.notify_encoded(data)

    async def notify_in_pieces_or_drop(self, body):
        """Do as :meth:`notify_or_drop`; later messages may overtake a large one.

        A large one is dropped, too, while an earlier one is still being written.
        """
        if self._accepts_droppable():
            await self.connection.notify_in_pieces(body)

    def _accepts_droppable(self):
        return self.is_open and self.connection.whole_bytes < MAX_DROPPABLE_BYTES

    def close(self):
        """Stop the link and its connection."""
        self._scope.cancel()


async def notify_all_or_drop(links, body):
    """Encode a notice once and send it over many links, each of which may drop it."""
    data = encode_notice(body)
    for link in links:
        await link.notify_encoded_or_drop(data)


class LinkPool:
    """Manage links by address: open them on first use, close unneeded ones.

    :param prefers_inbound: callable that tells whether a peer is expected to connect to
        this process.
    """

    def __init__(
        self, tasks, handler, instance, options, prefers_inbound=lambda instance: False
    ):
        self._tasks = tasks
        self._handler = handler
        self._instance = instance
        self._options = options
        self._prefers_inbound = prefers_inbound
        self.by_address = {}

    def get(self, address, peer=""):
        """Return the link to an address, creating it if necessary."""
        link = self.by_address.get(address)
        if link is None:
            link = Link(
                address,
                self._handler,
                self._instance,
                self._options,
                peer,
                self._prefers_inbound(peer),
            )
            self.by_address[address] = link
            self._tasks.start_soon(link.run)
        return link

    def is_receiving_frame_from(self, peer):
        """Return whether parts of a frame from a peer, which takes long, are arriving.

        Connections that the peer has opened count too.
        """
        ticker = self._options.ticker
        return ticker is not None and any(
            connection.peer == peer and connection.is_receiving_frame
            for connection in ticker.connections
        )

    async def finish(self, seconds):
        """End all connections of the process once what is queued was delivered.

        :param seconds: time after which the rest is given up.
        """
        self._options.finishing.set()
        connections = list(self._options.ticker.connections)
        with anyio.move_on_after(seconds) as scope:
            async with anyio.create_task_group() as tasks:
                for connection in connections:
                    tasks.start_soon(connection.finish)
        if scope.cancelled_caught:
            logger.warning(
                "connections ended with undelivered bytes",
                extra={
                    "undelivered_bytes_by_peer": {
                        connection.peer: connection.count_undelivered_bytes()
                        for connection in connections
                        if not connection.ended.is_set()
                    }
                },
            )

    def keep_only(self, addresses):
        """Close the links to all addresses but the given ones."""
        for address in self.by_address.keys() - addresses:
            self.by_address.pop(address).close()
