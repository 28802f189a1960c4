"""Messages from control to gateways and loaders, and the client that follows control.

A follower asks one control instance at short intervals to confirm that its desired
state is current. The request also serves as the follower's heartbeat. Over the same
connection control pushes each version of the state, and each change of targets and
instances, as it learns of it.
"""

import logging
import time
from dataclasses import replace
from types import MappingProxyType

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.membership.compression import decompress_notice
from banyanshore.membership.control_choice import ControlChoice
from banyanshore.membership.lease import ConfirmationStatus, StateLease
from banyanshore.membership.messages import CompressedNotice, StateChange, StateUpdate
from banyanshore.membership.registry import Departure, MemberRow, RowTable, TargetRow
from banyanshore.transport import LinkPool, TableHandler
from banyanshore.transport.codec import message

logger = logging.getLogger(__name__)

# Seconds between requests to confirm the state. A gateway that is cut off must stop
# accepting keys after about three intervals, so two requests may be lost.
CONFIRM_INTERVAL = 1.0
# Seconds to wait for the answer, during which control reads from its leader.
CONFIRM_TIMEOUT = 1.0
# Seconds to wait for a connection to control.
CONNECT_TIMEOUT = 0.4
# Seconds to wait after a failure before the next control instance is tried.
RETRY_SECONDS = 0.1
CONTROL_ROLE = "control"
GATEWAY_ROLE = "gateway"
LOADER_ROLE = "loader"


@message(104)
class RowUpdate:
    """Carry new or changed rows, and departures of rows.

    :param is_complete: whether ``rows`` are all rows that the sender knows, and
        ``departures`` all that it remembers.
    :param gateways: highest recent number of gateways, sent with complete updates; 0
        otherwise.
    """

    rows: tuple = ()
    departures: tuple = ()
    is_complete: bool = False
    gateways: int = 0


@message(123)
class RowsRecorded:
    """Answer a :class:`RowUpdate` that was sent as a call: it is on disk."""


@message(105)
class ConfirmRequest:
    """Ask control to confirm that a version of the desired state is current.

    :param member: row of the follower.
    :param gateways: number of gateways that the follower knows, 0 if it counts none.
    :param decompresses: whether the follower accepts a :class:`CompressedNotice`.
    """

    member: MemberRow
    state_version: int
    gateways: int = 0
    decompresses: bool = False


@message(106)
class Confirmation:
    """Answer a :class:`ConfirmRequest`.

    :param version: latest accepted version some seconds before the request arrived.
    :param is_current: whether a quorum confirmed that; otherwise ``version`` is only
        the latest that this control instance holds.
    :param age: those seconds.
    """

    version: int
    is_current: bool
    age: float = 0.0


@message(113)
class RolloutAges:
    """Report the ages of model versions that the sender knows.

    :param rows: tuples of model, version and seconds since the rollout named it.
    """

    rows: tuple


class Registry:
    """Hold the rows of targets and instances that a process knows.

    :param target_expiry: seconds without an update after which a target is dropped; 0
        where another process decides that.
    :param member_expiry: the same for an instance.
    """

    def __init__(self, target_expiry=0.0, member_expiry=0.0):
        self.targets = RowTable("target", target_expiry)
        self.members = RowTable("member", member_expiry)
        self._table_by_type = {TargetRow: self.targets, MemberRow: self.members}
        self._table_by_name = {
            table.name: table for table in (self.targets, self.members)
        }

    def record(self, now, row):
        """Record a row; see :meth:`RowTable.record`."""
        return self._table_by_type[type(row)].record(now, row)

    def forget(self, now, departure):
        """Apply a :class:`Departure`; return whether it changed anything."""
        return self._table_by_name[departure.table].forget(now, departure)

    def rows(self):
        """Return all rows."""
        return (*self.targets.rows(), *self.members.rows())

    def final_departures(self):
        """Return the departures that are remembered."""
        return (*self.targets.final_departures(), *self.members.final_departures())

    def expire(self, now):
        """Drop expired rows and return their departures."""
        return [*self.targets.expire(now), *self.members.expire(now)]

    def mark_missing_except(self, now, rows):
        """Mark all rows as missing, except those in a complete list."""
        for kind, table in self._table_by_type.items():
            table.mark_missing_except(
                now, [row.key for row in rows if isinstance(row, kind)]
            )

    def drop_missing(self, now):
        """Drop rows that have been missing too long and return their departures."""
        return [*self.targets.drop_missing(now), *self.members.drop_missing(now)]

    def members_of(self, role):
        """Return the rows of the instances that have a role."""
        return [row for row in self.members.rows() if row.role == role]


class FeedClient(TableHandler):
    """Follow control from a gateway or a loader.

    :param settings: settings with ``seeds``, ``data_centre`` and ``peer_port``.
    :param member: row of this instance.
    :param state: the :class:`~banyanshore.state.StateHolder` to update.
    :param registry: the :class:`Registry` to update.
    :param link_options: limits of the connections to control.
    :ivar lease: the :class:`~banyanshore.membership.lease.StateLease`.
    """

    def __init__(self, settings, member, state, registry, link_options):
        self.lease = StateLease()
        self.seeds = tuple(settings.seeds)
        self.on_rows = []
        self.on_confirmed = []
        # Returns the number of gateways that this instance knows.
        self.count_gateways = lambda: 0
        # Called with ages in seconds by model and version.
        self.on_ages = []
        self._settings = settings
        self._member = member
        self._state = state
        self._registry = registry
        self._link_options = link_options
        self._links = None
        self._control_instance = ""
        self._choice = ControlChoice(member)
        self._sequence = 0

    @property
    def confirmed_seconds_ago(self):
        """Return the seconds since the state was last confirmed as current."""
        return self.lease.seconds_ago(boottime_now())

    @property
    def is_behind(self):
        """Return whether control has named a newer version than the one held."""
        return self._state.version < self.lease.latest_version

    async def run(self):
        """Follow control until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._links = LinkPool(
                tasks, self, self._member.instance, self._link_options
            )
            while True:
                instance = self._choose_control()
                if instance != self._control_instance:
                    self._follow(instance)
                if await self._is_confirmed_by(instance):
                    self.drop_missing()
                    await anyio.sleep(CONFIRM_INTERVAL)
                else:
                    await anyio.sleep(RETRY_SECONDS)

    async def _is_confirmed_by(self, instance):
        """Ask an instance to confirm the state; return whether a quorum has answered.

        The state that is held may be older than the one confirmed.
        """
        try:
            status = await self._confirm(instance)
        except BanyanshoreError as error:
            logger.warning("control not reached", extra={"why": str(error)})
            self._choice.record_failure(time.monotonic(), instance)
            return False
        if status is ConfirmationStatus.UNKNOWN:
            self._choice.record_unconfirmed(time.monotonic(), instance)
            return False
        self._choice.record_confirmed(instance)
        return True

    def candidates(self):
        """Return the control instances, the preferred one first."""
        return self._choice.rank(self._registry.members_of(CONTROL_ROLE), self.seeds)

    def _choose_control(self):
        return self._choice.choose(time.monotonic(), self.candidates())

    def _follow(self, instance):
        if self._control_instance:
            logger.info(
                "following another control instance",
                extra={"control": instance, "before": self._control_instance},
            )
        self._control_instance = instance
        self._links.keep_only({peer_address(instance, self._settings.peer_port)})

    async def _confirm(self, instance):
        """Ask control to confirm the state; return the :class:`ConfirmationStatus`."""
        address = peer_address(instance, self._settings.peer_port)
        link = self._links.get(address, instance)
        connection = await link.get_connection(CONNECT_TIMEOUT)
        self._sequence += 1
        member = replace(self._member, sequence=self._sequence)
        sent_at = boottime_now()
        gateways = self.count_gateways()
        request = ConfirmRequest(member, self._state.version, gateways, True)
        reply = await connection.call(request, CONFIRM_TIMEOUT)
        is_first = self.lease.confirmed_at == float("-inf")
        status = self.lease.record_answer(
            sent_at - reply.age, self._state.version, reply.version, reply.is_current
        )
        if status is ConfirmationStatus.UNKNOWN:
            logger.warning(
                "state not confirmed",
                extra={
                    "control": instance,
                    "held": self._state.version,
                    "told": reply.version,
                    "is_current": reply.is_current,
                },
            )
        elif status is ConfirmationStatus.CURRENT:
            if is_first:
                logger.info("control reached", extra={"control": instance})
            for callback in self.on_confirmed:
                callback()
        # If the state is behind, control sends it after this request or the next.
        return status

    async def _on_ages(self, connection, ages):
        age_by_key = {(model, version): age for model, version, age in ages.rows}
        for callback in self.on_ages:
            callback(age_by_key)

    async def _on_update(self, connection, update):
        self._state.apply(update.published)

    async def _on_change(self, connection, change):
        self._state.apply_delta(change.delta)

    async def _on_compressed(self, connection, notice):
        body = decompress_notice(notice)
        await self.notice_by_type[type(body)](self, connection, body)

    async def _on_rows(self, connection, update):
        now = time.monotonic()
        for departure in update.departures:
            self._registry.forget(now, departure)
        if update.is_complete:
            self._registry.mark_missing_except(now, update.rows)
        for row in update.rows:
            self._registry.record(now, row)
        for callback in self.on_rows:
            callback(update)

    def drop_missing(self):
        """Drop rows whose departure this instance missed while it was disconnected."""
        departures = self._registry.drop_missing(time.monotonic())
        for departure in departures:
            logger.info(
                "row dropped that control knows nothing of",
                extra={"table": departure.table, "key": departure.key},
            )
        if departures:
            for callback in self.on_rows:
                callback(RowUpdate((), tuple(departures)))

    notice_by_type = MappingProxyType(
        {
            StateUpdate: _on_update,
            StateChange: _on_change,
            CompressedNotice: _on_compressed,
            RolloutAges: _on_ages,
            RowUpdate: _on_rows,
        }
    )


def peer_address(address, port):
    """Return the peer address of the instance at an address.

    >>> peer_address("10.1.0.43:8000", 7700)
    '10.1.0.43:7700'
    """
    return f"{address.rpartition(':')[0]}:{port}"


__all__ = [
    "ConfirmRequest",
    "Confirmation",
    "Departure",
    "FeedClient",
    "MemberRow",
    "Registry",
    "RowUpdate",
    "TargetRow",
    "peer_address",
]
