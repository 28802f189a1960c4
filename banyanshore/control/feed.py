"""Tell gateways, loaders and other control instances what has changed."""

import logging
import time
from dataclasses import dataclass

import anyio

from banyanshore.membership.feed import CONTROL_ROLE, RowNews, peer_address
from banyanshore.membership.messages import StateChange, StateUpdate

logger = logging.getLogger(__name__)

# Seconds between looks for silent rows and for connections to control that are new.
UPKEEP_INTERVAL = 0.25
# Questions with an older version than was sent after which the whole is sent.
MAX_LAGS = 2


@dataclass
class Follower:
    """A gateway or loader that follows this instance.

    :param version: version of the desired state that it was sent last, 0 if it is to
        be sent the whole.
    :param lags: questions in a row that named an older version than it was sent.
    """

    version: int = 0
    lags: int = 0


class FeedServer:
    """The rows and versions that this control instance passes on.

    :param settings: the :class:`~banyanshore.conf.settings.ControlSettings`.
    :param member: row of this instance.
    :param state: the :class:`~banyanshore.state.StateHolder`.
    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param links: the :class:`~banyanshore.transport.LinkPool` to other control
        instances.
    """

    def __init__(self, settings, member, state, registry, links):
        self.seeds = tuple(settings.seeds)
        self._settings = settings
        self._member = member
        self._state = state
        self._registry = registry
        self._links = links
        self._follower_by_connection = {}
        self._greeted_by_instance = {}
        self._state_changed = anyio.Event()
        state.on_change.append(lambda desired: self._state_changed.set())

    @property
    def followers(self):
        """Return how many follow this instance."""
        return len(self._follower_by_connection)

    async def run(self):
        """Pass versions on, and look after rows, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pass_versions)
            tasks.start_soon(self._upkeep)

    async def on_follower(self, connection, request):
        """Take note of a follower, and send it what it lacks."""
        follower = self._follower_by_connection.get(connection)
        if follower is None:
            follower = Follower(request.state_version)
            self._follower_by_connection[connection] = follower
            logger.info("follower came", extra={"follower": request.member.instance})
            await connection.notify(RowNews(self._registry.rows()))
        if request.state_version < follower.version:
            # What was sent is on its way, or was a change that didn't fit.
            follower.lags += 1
            if follower.lags >= MAX_LAGS:
                follower.version = 0
        else:
            follower.lags = 0
        await self._send_version(connection, follower)
        await self.record(request.member)

    def on_closed(self, connection):
        """Forget a follower whose connection has ended."""
        if self._follower_by_connection.pop(connection, None) is not None:
            logger.info("follower left", extra={"follower": connection.peer})

    def find_target(self, target_id):
        """Return the row of a target, or ``None``."""
        known = self._registry.targets.by_key.get(target_id)
        return known.row if known else None

    async def record(self, row):
        """Take a row that was told to this instance itself."""
        news = self._registry.record(time.monotonic(), row)
        if news is None:
            return
        # The others have to know that it lives, also where nothing is new.
        message = RowNews((row,))
        await self._tell_control(message)
        if news:
            await self._tell_followers(message)

    async def forget(self, departure):
        """Take a departure that was told to this instance itself."""
        if self._registry.forget(time.monotonic(), departure):
            message = RowNews((), (departure,))
            await self._tell_control(message)
            await self._tell_followers(message)

    async def on_peer_news(self, news):
        """Take what another control instance has learnt."""
        now = time.monotonic()
        rows = tuple(row for row in news.rows if self._registry.record(now, row))
        departures = tuple(
            departure
            for departure in news.departures
            if self._registry.forget(now, departure)
        )
        if rows or departures:
            await self._tell_followers(RowNews(rows, departures))

    async def _tell_followers(self, message):
        for connection in list(self._follower_by_connection):
            await connection.notify(message)

    async def _tell_control(self, message):
        for address in self.control_addresses():
            await self._links.get(address).notify_or_drop(message)

    def control_addresses(self):
        """Return the peer addresses of the other control instances that are known."""
        port = self._settings.peer_port
        names = {row.instance for row in self._registry.members_of(CONTROL_ROLE)}
        names.update(self.seeds)
        names.discard(self._member.instance)
        return sorted(peer_address(name, port) for name in names)

    async def _pass_versions(self):
        while True:
            await self._state_changed.wait()
            self._state_changed = anyio.Event()
            for connection, follower in list(self._follower_by_connection.items()):
                await self._send_version(connection, follower)

    async def _send_version(self, connection, follower):
        desired, previous = self._state.desired, self._state.previous
        if desired is None or follower.version >= desired.version:
            return
        message = StateUpdate(desired.published)
        if previous is not None and 0 < previous.version == follower.version:
            message = StateChange(desired.delta_from(previous))
        follower.version = desired.version
        await connection.notify(message)

    async def _upkeep(self):
        while True:
            await self._greet_control()
            departures = self._registry.expire(time.monotonic())
            for departure in departures:
                logger.info(
                    "silent row dropped",
                    extra={"table": departure.table, "key": departure.key},
                )
            if departures:
                await self._tell_followers(RowNews((), tuple(departures)))
            await anyio.sleep(UPKEEP_INTERVAL)

    async def _greet_control(self):
        """Send all rows on each new connection to another control instance."""
        for address in self.control_addresses():
            link = self._links.get(address)
            connection = link.connection
            if not link.is_open or self._greeted_by_instance.get(address) is connection:
                continue
            self._greeted_by_instance[address] = connection
            logger.info("control instance reached", extra={"peer": address})
            await link.notify_or_drop(RowNews(self._registry.rows()))
