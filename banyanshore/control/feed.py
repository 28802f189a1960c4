"""Push changes to gateways, loaders and other control instances."""

import logging
import math
import time

import anyio

from banyanshore.control.registrations import Registrations
from banyanshore.control.version_history import VersionHistory
from banyanshore.core.clock import boottime_now
from banyanshore.core.values import dataclass
from banyanshore.membership.feed import (
    CONTROL_ROLE,
    GATEWAY_ROLE,
    Departure,
    RolloutAges,
    RowUpdate,
    peer_address,
)
from banyanshore.membership.messages import StateUpdate
from banyanshore.membership.registry import TargetRow, TargetState
from banyanshore.routing.roster import FleetSize
from banyanshore.routing.version_switch import (
    FIRST_STATE_SECONDS,
    VersionSwitch,
)
from banyanshore.state.document import to_json
from banyanshore.state.schema import FIELDS_BY_TABLE
from banyanshore.state.views import PublishedState
from banyanshore.telemetry.rollouts import log_corrected_ages, log_known_versions
from banyanshore.transport import encode_notice

logger = logging.getLogger(__name__)

# Seconds between checks for expired rows and new connections to control instances.
UPKEEP_INTERVAL = 0.25
# Seconds within which a follower that moved to another control instance shows up there.
RECONNECT_SECONDS = 1.0
# Seconds since its state was last known to be current within which an instance takes a
# version that arrives as just named; less than what is left of the bound after the
# switch.
UP_TO_DATE_SECONDS = 0.75
# Seconds since a version was named for which its age is repeated, until followers have
# received it without delay.
REPEATED_SECONDS = 30.0
# Consecutive lagging requests after which the complete state is sent.
MAX_LAGGING_REQUESTS = 2
# Bytes queued for a follower above which it is sent nothing more until it reads.
MAX_QUEUED_BYTES = 256 * 1024


# Tables of the desired state that gateways are sent. Only control needs the text of the
# operator's declaration.
GATEWAY_TABLES = tuple(name for name in FIELDS_BY_TABLE if name != "declarations")
# Tables to send, by role, for roles that need fewer. Loaders have slow links, which a
# long list of routes would fill for seconds.
TABLES_BY_ROLE = {"loader": ("services", "rollouts")}

_OUTCOME_BY_CHANGE = {None: "outdated", False: "unchanged", True: "news"}


@dataclass
class Follower:
    """A gateway or loader that follows this instance.

    :param member: row of the follower.
    :param version: version of the desired state that it was last sent, 0 if the
        complete state has to be sent.
    :param document: document that it was last sent, if it is sent some tables only.
    :param lagging_requests: consecutive confirm requests that named an older version
        than the one sent.
    :param decompresses: whether it accepts compressed notices.
    :param lacks_rows: whether it has to be sent all rows, since it was not sent some.
    """

    member: object
    version: int = 0
    decompresses: bool = False
    lacks_rows: bool = True
    document: bytes = b""
    lagging_requests: int = 0


class FeedServer:
    """Push rows and versions from this control instance to followers and peers.

    :param settings: the :class:`~banyanshore.conf.registered.ControlSettings`.
    :param member: row of this instance.
    :param state: the :class:`~banyanshore.state.StateHolder`.
    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param links: the :class:`~banyanshore.transport.LinkPool` to other control
        instances.
    :param metrics: the :class:`~banyanshore.telemetry.control.ControlMetrics`.
    :param copies: the :class:`~banyanshore.control.leaving_copies.LeavingCopies`.
    :ivar registrations: the :class:`~banyanshore.control.registrations.Registrations`.
    :ivar current_at: time since boot at which the state was last known to be current,
        ``-inf`` before the first.
    """

    def __init__(self, settings, member, state, registry, links, metrics, copies):
        self.current_at = -math.inf
        self._metrics = metrics
        self.seeds = tuple(settings.seeds)
        self._settings = settings
        self._member = member
        self._state = state
        self._registry = registry
        self._links = links
        self._copies = copies
        self.registrations = Registrations(self, state, registry.targets, copies)
        self._follower_by_connection = {}
        self._synced_connection_by_address = {}
        self._state_changed = anyio.Event()
        self._fleet_size = FleetSize()
        self._history = VersionHistory(GATEWAY_TABLES)
        # Control uses only the ages of versions, as it sends no requests.
        self._versions = VersionSwitch(FIRST_STATE_SECONDS)
        if state.desired is not None:
            self._on_state(state.desired)
        state.on_change.append(self._on_state)

    @property
    def followers(self):
        """Return the number of followers of this instance."""
        return len(self._follower_by_connection)

    @property
    def followed_version(self):
        """Return the latest version as gateways are sent it."""
        return self._history.latest

    def _on_state(self, desired):
        self._history.record(desired)
        now = boottime_now()
        is_current = now - self.current_at <= UP_TO_DATE_SECONDS
        learned = self._versions.record(
            now, desired.document["rollouts"], 0.0 if is_current else math.inf
        )
        log_known_versions(learned)
        self._state_changed.set()

    def record_current(self, asked_at):
        """Record that a quorum confirmed the state as current.

        :param asked_at: time since boot at which it was asked.
        """
        self.current_at = max(self.current_at, asked_at)

    async def run(self):
        """Send versions and maintain the rows until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_versions)
            tasks.start_soon(self._upkeep)

    async def on_confirm_request(self, connection, request):
        """Record a follower and send it the updates that it lacks."""
        self._fleet_size.record(time.monotonic(), request.gateways)
        follower = self._follower_by_connection.get(connection)
        if follower is None:
            follower = Follower(
                request.member, request.state_version, request.decompresses
            )
            self._follower_by_connection[connection] = follower
            logger.info(
                "follower connected",
                extra={
                    "follower": request.member.instance,
                    "held": request.state_version,
                    "version": self._state.version,
                },
            )
        if follower.lacks_rows and not _is_reading_slowly(connection):
            follower.lacks_rows = False
            await connection.notify(self._complete_update())
        if connection.pending_bytes:
            # Updates that it lacks may still be queued.
            follower.lagging_requests = 0
        elif request.state_version < follower.version:
            # The last update is still in transit, or was a change that didn't apply.
            follower.lagging_requests += 1
            if follower.lagging_requests >= MAX_LAGGING_REQUESTS:
                follower.version = 0
                follower.document = b""
        else:
            follower.lagging_requests = 0
        await self._send_ages(connection, REPEATED_SECONDS)
        await self._send_version(connection, follower)
        await self.record(request.member)

    async def on_closed(self, connection):
        """Remove a follower whose connection was closed.

        Unless it reconnects to another control instance within
        :data:`RECONNECT_SECONDS`, it has exited or is cut off, and the others are
        notified of its departure without waiting for its expiry.
        """
        follower = self._follower_by_connection.pop(connection, None)
        if follower is None:
            return
        logger.info("follower disconnected", extra={"follower": connection.peer})
        closed_at = time.monotonic()
        await anyio.sleep(RECONNECT_SECONDS)
        key = follower.member.key
        known = self._registry.members.by_key.get(key)
        if known is not None and known.last_contact_at < closed_at:
            departure = Departure("member", key, follower.member.incarnation)
            await self.forget(departure)

    def _complete_update(self):
        now = time.monotonic()
        self._fleet_size.record(now, len(self._registry.members_of(GATEWAY_ROLE)))
        return RowUpdate(
            self._registry.rows(),
            # The receiver may have been out of reach when they were sent.
            self._registry.final_departures(),
            True,
            self._fleet_size.max_count(now),
        )

    def find_target(self, target_id):
        """Return the row of a target, or ``None``."""
        known = self._registry.targets.by_key.get(target_id)
        return known.row if known else None

    async def record(self, row):
        """Record a row that this instance is the first to learn of."""
        is_changed = self._registry.record(time.monotonic(), row)
        self._metrics.registrations.labels(_OUTCOME_BY_CHANGE[is_changed]).inc()
        if is_changed is None:
            return
        # Other control instances need the heartbeat even if the row is unchanged.
        message = RowUpdate((row,))
        await self._notify_control(message)
        if is_changed:
            _log_target("target told of itself", row)
            await self._notify_followers(message)

    async def forget(self, departure):
        """Apply a departure that was sent to this instance directly."""
        known = self.find_target(departure.key)
        if self._registry.forget(time.monotonic(), departure):
            if known is not None:
                _log_target("target left", known)
            message = RowUpdate((), (departure,))
            await self._notify_control(message)
            await self._notify_followers(message)

    async def on_peer_update(self, update):
        """Apply an update from another control instance."""
        now = time.monotonic()
        if update.gateways:
            self._fleet_size.record(now, update.gateways)
        rows = tuple(
            row
            for row in update.rows
            if self.registrations.admit(row) and self._registry.record(now, row)
        )
        departures = tuple(
            departure
            for departure in update.departures
            if self._registry.forget(now, departure)
        )
        if departures or any(map(_is_leaving, rows)):
            self._copies.request()
        if rows or departures:
            await self._notify_followers(RowUpdate(rows, departures))

    def on_peer_ages(self, ages):
        """Apply the :class:`RolloutAges` of another control instance."""
        age_by_key = {(model, version): age for model, version, age in ages.rows}
        log_corrected_ages(self._versions.record_ages(boottime_now(), age_by_key))

    def _known_ages(self, seconds):
        """Return the ages that are less than some seconds, ``None`` without any."""
        ages = self._versions.ages(boottime_now())
        rows = [(*key, age) for key, age in sorted(ages.items()) if age < seconds]
        return RolloutAges(tuple(rows)) if rows else None

    async def _send_ages(self, receiver, seconds=math.inf):
        if ages := self._known_ages(seconds):
            await receiver.notify(ages)

    async def send_ages_to_control(self):
        """Send the ages of recent versions to the other control instances."""
        if ages := self._known_ages(REPEATED_SECONDS):
            await self._notify_control(ages)

    async def tell_control(self, row):
        """Tell the other control instances of a row that isn't used here."""
        await self._notify_control(RowUpdate((row,)))

    async def _notify_followers(self, message):
        data = encode_notice(message)
        for connection, follower in list(self._follower_by_connection.items()):
            if _is_reading_slowly(connection):
                follower.lacks_rows = True
            else:
                await connection.notify_encoded(data)

    async def _notify_control(self, message):
        for address in self.control_addresses():
            await self._links.get(address).notify_or_drop(message)

    def control_addresses(self):
        """Return the peer addresses of the other known control instances."""
        port = self._settings.peer_port
        names = {row.instance for row in self._registry.members_of(CONTROL_ROLE)}
        names.update(self.seeds)
        names.discard(self._member.instance)
        return sorted(peer_address(name, port) for name in names)

    async def _send_versions(self):
        while True:
            await self._state_changed.wait()
            self._state_changed = anyio.Event()
            await self.send_ages_to_control()
            await self._send_to_all()
            await self.registrations.use_named_candidates()

    async def _send_to_all(self):
        """Send the latest version to all followers."""
        version = self._state.version
        started_at = time.monotonic()
        sent_bytes = [
            await self._send_version(connection, follower)
            for connection, follower in list(self._follower_by_connection.items())
        ]
        now = time.monotonic()
        logger.info(
            "version sent",
            extra={
                "version": version,
                "followers": len(sent_bytes),
                "sent_to": sum(count > 0 for count in sent_bytes),
                "bytes": sum(sent_bytes),
                "milliseconds": round((now - started_at) * 1000),
                "applied_ms_ago": round((now - self._state.changed_at) * 1000),
            },
        )

    async def _send_version(self, connection, follower):
        """Send a follower what it lacks of the latest version; return the bytes."""
        desired = self._state.desired
        if desired is None or follower.version >= desired.version:
            return 0
        if _is_reading_slowly(connection):
            # It is sent what it lacks after one of its next requests.
            return 0
        tables = TABLES_BY_ROLE.get(follower.member.role)
        if tables is not None:
            return await self._send_tables(connection, follower, tables)
        if follower.decompresses:
            notices = self._history.notices_after(follower.version)
        else:
            notices = self._history.plain_notices_after(follower.version)
        follower.version = desired.version
        await self._send_ages(connection)
        for data in notices:
            await connection.notify_encoded(data)
        return sum(map(len, notices))

    async def _send_tables(self, connection, follower, tables):
        """Send some tables of the latest version, if any of them has changed.

        :return: the bytes of the tables, 0 if nothing was sent.
        """
        desired = self._state.desired
        document = to_json({name: desired.document[name] for name in tables})
        if document == follower.document:
            return 0
        follower.document = document
        follower.version = desired.version
        published = PublishedState(desired.version, desired.fence, document)
        await self._send_ages(connection)
        await connection.notify(StateUpdate(published))
        return len(document)

    async def _upkeep(self):
        while True:
            await self._sync_control()
            now = time.monotonic()
            self.registrations.expire(now)
            departures = self._registry.expire(now)
            for departure in departures:
                logger.info(
                    "silent row dropped",
                    extra={"table": departure.table, "key": departure.key},
                )
            if departures:
                await self._notify_followers(RowUpdate((), tuple(departures)))
            await anyio.sleep(UPKEEP_INTERVAL)

    async def _sync_control(self):
        """Send all rows and ages on each new connection to a control instance."""
        for address in self.control_addresses():
            link = self._links.get(address)
            connection = link.connection
            if (
                not link.is_open
                or self._synced_connection_by_address.get(address) is connection
            ):
                continue
            self._synced_connection_by_address[address] = connection
            logger.info("control instance reached", extra={"peer": address})
            if ages := self._known_ages(math.inf):
                await link.notify_or_drop(ages)
            await link.notify_or_drop(self._complete_update())


def _is_reading_slowly(connection):
    """Return whether a follower has to read what is queued before it is sent more.

    Load pattern: a follower is frozen, or its link is narrow. All others would wait
    for it, and what is queued for several would use up the memory of the instance.
    """
    return connection.pending_bytes > MAX_QUEUED_BYTES


def _is_leaving(row):
    return isinstance(row, TargetRow) and row.state == TargetState.DRAINING


def _log_target(message, row):
    """Log a change of a target; instances are logged as followers."""
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
