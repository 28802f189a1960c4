"""Tell gateways, loaders and other control instances what has changed."""

import logging
import time
from dataclasses import dataclass, replace

import anyio

from banyanshore.membership.feed import (
    CONTROL_ROLE,
    GATEWAY_ROLE,
    Departure,
    RolloutAges,
    RowNews,
    peer_address,
)
from banyanshore.membership.messages import StateChange, StateUpdate
from banyanshore.membership.registry import TargetRow
from banyanshore.routing.roster import FleetSize
from banyanshore.routing.version_switch import FIRST_STATE_SECONDS, VersionSwitch
from banyanshore.state.document import to_json
from banyanshore.transport import encode_notice

logger = logging.getLogger(__name__)

# Seconds between looks for silent rows and for connections to control that are new.
UPKEEP_INTERVAL = 0.25
# Seconds for a follower to be heard of by another control instance that it follows now.
MOVE_SECONDS = 1.0
# Questions with an older version than was sent after which the whole is sent.
MAX_LAGS = 2


# Tables of the desired state that a role needs, where it doesn't need all. Loaders sit
# behind narrow links, which a long list of routes would fill for seconds.
TABLES_BY_ROLE = {"loader": ("services", "rollouts")}

_OUTCOME_BY_NEWS = {None: "outdated", False: "unchanged", True: "news"}


@dataclass
class Follower:
    """A gateway or loader that follows this instance.

    :param member: its row.
    :param version: version of the desired state that it was sent last, 0 if it is to
        be sent the whole.
    :param document: what it was sent, where it is sent some tables only.
    :param lags: questions in a row that named an older version than it was sent.
    """

    member: object
    version: int = 0
    document: bytes = b""
    lags: int = 0


class FeedServer:
    """The rows and versions that this control instance passes on.

    :param settings: the :class:`~banyanshore.conf.registered.ControlSettings`.
    :param member: row of this instance.
    :param state: the :class:`~banyanshore.state.StateHolder`.
    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param links: the :class:`~banyanshore.transport.LinkPool` to other control
        instances.
    :param metrics: the :class:`~banyanshore.telemetry.control.ControlMetrics`.
    """

    def __init__(self, settings, member, state, registry, links, metrics):
        self._metrics = metrics
        self.seeds = tuple(settings.seeds)
        self._settings = settings
        self._member = member
        self._state = state
        self._registry = registry
        self._links = links
        self._follower_by_connection = {}
        self._greeted_by_instance = {}
        self._state_changed = anyio.Event()
        self._fleet_size = FleetSize()
        # Leads from the version before to the newest, for all followers alike.
        self._change = None
        # Only the ages are of interest: control sends no requests.
        self._versions = VersionSwitch(FIRST_STATE_SECONDS)
        state.on_change.append(self._on_state)

    @property
    def followers(self):
        """Return how many follow this instance."""
        return len(self._follower_by_connection)

    def _on_state(self, desired):
        self._versions.record(time.monotonic(), desired.document["rollouts"])
        self._state_changed.set()

    async def run(self):
        """Pass versions on, and look after rows, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pass_versions)
            tasks.start_soon(self._upkeep)

    async def on_follower(self, connection, request):
        """Take note of a follower, and send it what it lacks."""
        self._fleet_size.record(time.monotonic(), request.gateways)
        follower = self._follower_by_connection.get(connection)
        if follower is None:
            follower = Follower(request.member, request.state_version)
            self._follower_by_connection[connection] = follower
            logger.info("follower came", extra={"follower": request.member.instance})
            await connection.notify(self._all_rows())
        if request.state_version < follower.version:
            # What was sent is on its way, or was a change that didn't fit.
            follower.lags += 1
            if follower.lags >= MAX_LAGS:
                follower.version = 0
                follower.document = b""
        else:
            follower.lags = 0
        await self._send_version(connection, follower)
        await self.record(request.member)

    async def on_closed(self, connection):
        """Forget a follower whose connection has ended.

        Unless it is heard of in a moment by way of another control instance, it has
        ended or is cut off, and the others are told at once.
        """
        follower = self._follower_by_connection.pop(connection, None)
        if follower is None:
            return
        logger.info("follower left", extra={"follower": connection.peer})
        closed_at = time.monotonic()
        await anyio.sleep(MOVE_SECONDS)
        key = follower.member.key
        known = self._registry.members.by_key.get(key)
        if known is not None and known.heard_at < closed_at:
            departure = Departure("member", key, follower.member.incarnation)
            await self.forget(departure)

    def _all_rows(self):
        now = time.monotonic()
        self._fleet_size.record(now, len(self._registry.members_of(GATEWAY_ROLE)))
        rows = self._registry.rows()
        return RowNews(rows, (), True, self._fleet_size.max_count(now))

    def find_target(self, target_id):
        """Return the row of a target, or ``None``."""
        known = self._registry.targets.by_key.get(target_id)
        return known.row if known else None

    async def record(self, row):
        """Take a row that was told to this instance itself."""
        news = self._registry.record(time.monotonic(), row)
        self._metrics.registrations.labels(_OUTCOME_BY_NEWS[news]).inc()
        if news is None:
            return
        # The others have to know that it lives, also where nothing is new.
        message = RowNews((row,))
        await self._tell_control(message)
        if news:
            _log_target("target told of itself", row)
            await self._tell_followers(message)

    async def forget(self, departure):
        """Take a departure that was told to this instance itself."""
        known = self.find_target(departure.key)
        if self._registry.forget(time.monotonic(), departure):
            if known is not None:
                _log_target("target left", known)
            message = RowNews((), (departure,))
            await self._tell_control(message)
            await self._tell_followers(message)

    async def on_peer_news(self, news):
        """Take what another control instance has learnt."""
        now = time.monotonic()
        if news.gateways:
            self._fleet_size.record(now, news.gateways)
        rows = tuple(row for row in news.rows if self._registry.record(now, row))
        departures = tuple(
            departure
            for departure in news.departures
            if self._registry.forget(now, departure)
        )
        if rows or departures:
            await self._tell_followers(RowNews(rows, departures))

    async def _tell_followers(self, message):
        data = encode_notice(message)
        for connection in list(self._follower_by_connection):
            await connection.notify_encoded(data)

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
        desired = self._state.desired
        if desired is None or follower.version >= desired.version:
            return
        tables = TABLES_BY_ROLE.get(follower.member.role)
        if tables is None:
            message = self._news_for(follower)
            follower.version = desired.version
        else:
            document = to_json({name: desired.document[name] for name in tables})
            if document == follower.document:
                return
            follower.document = document
            follower.version = desired.version
            published = replace(desired.published, document=document)
            message = StateUpdate(published)
        ages = self._versions.ages(time.monotonic())
        rows = tuple((*key, age) for key, age in sorted(ages.items()))
        await connection.notify(RolloutAges(rows))
        await connection.notify(message)

    def _news_for(self, follower):
        """Return what leads a follower to the newest version, as a message."""
        desired, previous = self._state.desired, self._state.previous
        if previous is None or not 0 < previous.version == follower.version:
            return StateUpdate(desired.published)
        if self._change is None or self._change.delta.version != desired.version:
            self._change = StateChange(desired.delta_from(previous))
        return self._change

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
            await link.notify_or_drop(self._all_rows())


def _log_target(message, row):
    """Tell the log of a change of a target; instances are told of as followers."""
    if isinstance(row, TargetRow):
        logger.info(
            message,
            extra={
                "target": row.id,
                "service": row.service,
                "address": row.address,
                "target_data_centre": row.data_centre,
                "state": row.state,
                "model_version": row.model_version,
                "incarnation": row.incarnation,
            },
        )
