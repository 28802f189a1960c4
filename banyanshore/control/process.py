"""The control process: a voter of the replicated state that serves no callers."""

import logging
import time
from dataclasses import replace
from types import MappingProxyType

import anyio

from banyanshore.conf.registered import BOUND_FRACTION
from banyanshore.consensus.log_runner import LogRunner
from banyanshore.consensus.messages import instance_of
from banyanshore.consensus.node import ConsensusNode
from banyanshore.consensus.rpc import (
    ProposeRequest,
    RaftMessage,
    ReadRequest,
    VersionRequest,
)
from banyanshore.control.feed import FeedServer
from banyanshore.control.leaving_copies import LeavingCopies
from banyanshore.control.leaving_store import LeavingStore
from banyanshore.control.log_readers import LogReaders
from banyanshore.control.orders import Orders
from banyanshore.control.state_checks import StateChecks
from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError, UnavailableError
from banyanshore.core.standstill import TICK_INTERVAL, StandstillMonitor
from banyanshore.core.stopping import NOT_STOPPING, StopPlan
from banyanshore.core.values import dataclass
from banyanshore.entry.state_client import StateClient
from banyanshore.http.caller_account import CallerAccount
from banyanshore.http.listener import Listener
from banyanshore.membership.feed import (
    CONTROL_ROLE,
    Confirmation,
    ConfirmRequest,
    MemberRow,
    Registry,
    RolloutAges,
    RowsRecorded,
    RowUpdate,
    peer_address,
)
from banyanshore.state import StateHolder, StateMachine
from banyanshore.telemetry.control import ControlMetrics
from banyanshore.telemetry.listener import start_metrics_server
from banyanshore.transport import LinkOptions, LinkPool, TableHandler, serve_peers

logger = logging.getLogger(__name__)

# Seconds between announcements of this instance to other control instances.
ANNOUNCE_INTERVAL = 1.0


@dataclass(frozen=True)
class LogPeer:
    """A voter of the log, named by its control address."""

    instance: str
    address: str
    voter: bool = True


class LogSettings:
    """Settings of a control instance for the log and its clients.

    :param settings: the :class:`~banyanshore.conf.registered.ControlSettings`.
    """

    def __init__(self, settings):
        self.instance = settings.control_bind
        self.consensus = settings.consensus
        self._peer_port = settings.peer_port
        # The initial voters, which form the log of a new deployment.
        self.entries = self._make_peers(settings.seeds)

    def update_instances(self, instances):
        """Set the known control instances."""
        peers = self._make_peers(instances)
        if peers != self.entries:
            self.entries = peers

    def _make_peers(self, instances):
        return tuple(
            LogPeer(name, peer_address(name, self._peer_port))
            for name in sorted(instances)
        )


class Control(TableHandler):
    """Run the components of one control instance.

    :param settings: the :class:`~banyanshore.conf.registered.ControlSettings`.
    :param make_api: callable given the :class:`Orders` and the :class:`FeedServer`;
        returns the coroutine function that handles HTTP requests.
    """

    def __init__(self, settings, make_api):
        self.settings = settings
        self.state = StateHolder()
        self.registry = Registry(
            settings.target_expiry_seconds, settings.member_expiry_seconds
        )
        self.member = MemberRow(
            settings.control_bind,
            CONTROL_ROLE,
            settings.data_centre,
            settings.region,
            settings.peers_bind,
            time.time_ns(),
            0,
            decompresses=True,
        )
        self.metrics = ControlMetrics()
        self._callers = CallerAccount(
            settings.memory_bytes,
            settings.max_descriptors,
            self.metrics.stopped_callers,
        )
        self._make_api = make_api
        self._stop_plan = NOT_STOPPING
        self._log_settings = LogSettings(settings)
        self._seeds = tuple(settings.seeds)
        # Built when the process runs; settings may be reloaded before that.
        self.feed = None

    async def run(self, stop_requested, force_requested):
        """Run until a stop is requested.

        :param force_requested: event that ends a graceful stop early.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._build(tasks)
            await tasks.start(
                serve_peers,
                self.settings.peers_bind,
                self,
                self.settings.control_bind,
                self.link_options,
            )
            tasks.start_soon(self._log.run)
            tasks.start_soon(self.link_options.ticker.run)
            tasks.start_soon(self.feed.run)
            tasks.start_soon(self._leaving_store.run)
            tasks.start_soon(self._announce)
            tasks.start_soon(self._watch_for_standstill)
            tasks.start_soon(self._checks.run)
            await tasks.start(self.listener.serve, self.settings.control_bind)
            start_metrics_server(
                tasks,
                self.settings.metrics_bind,
                self.metrics.registry,
                self._callers,
            )
            logger.info("started", extra={"role": CONTROL_ROLE})
            await stop_requested.wait()
            logger.info("stopping")
            await self._leave(force_requested)
            tasks.cancel_scope.cancel()

    def _build(self, tasks):
        settings = self.settings
        self.link_options = LinkOptions.from_settings(settings.transport)
        self.links = LinkPool(tasks, self, settings.control_bind, self.link_options)
        self._log = LogRunner(settings.data_dir, self._make_node, self._use_node)
        self._on_applied()
        self._leaving_store = LeavingStore(settings.data_dir, self.registry)
        self._leaving_store.load(time.monotonic())
        self.client = StateClient(self._log_settings, self.links, self.node, lambda: "")
        readers = LogReaders(self.registry, self._find_voters)
        self.orders = Orders(
            self.state, self.client, self.metrics, readers.all_decompress
        )
        self.feed = FeedServer(
            settings,
            self.member,
            self.state,
            self.registry,
            self.links,
            self.metrics,
            LeavingCopies(
                settings.consensus.tolerated_losses, self.links, self._leaving_store
            ),
        )
        self.feed.seeds = self._seeds
        self._checks = StateChecks(
            self.orders.wait_for_latest_version, self.feed.record_current
        )
        self._answer = self._make_api(self.orders, self.feed)
        self._standstill = StandstillMonitor(boottime_now())
        self.listener = Listener(
            self._handle,
            earliest_arrival=lambda: self._standstill.earliest_arrival(boottime_now()),
            callers=self._callers,
        )

    def reload(self, settings):
        """Use the control instances named in changed settings."""
        self._seeds = tuple(settings.seeds)
        if self.feed is not None:
            self.feed.seeds = self._seeds

    @property
    def node(self):
        """Return the member of the log that runs in this instance."""
        return self._log.node

    def _make_node(self, storage):
        self.machine = StateMachine()
        return ConsensusNode(
            self._log_settings,
            storage,
            self.machine,
            self._send_raft,
            self._on_applied,
            self._find_control_peers,
        )

    def _use_node(self, node):
        self._on_applied()
        self.client.use_node(node)

    def _find_voters(self):
        """Return the names of the control instances that vote."""
        return {instance_of(voter) for voter in self.node.raft.members.everyone}

    def _find_control_peers(self):
        """Return the names of the other known control instances."""
        names = {row.instance for row in self.registry.members_of(CONTROL_ROLE)}
        names.update(self.feed.seeds)
        names.update(instance_of(voter) for voter in self.node.raft.members.voters)
        names.discard(self.settings.control_bind)
        return names

    async def _announce(self):
        sequence = 0
        while True:
            sequence += 1
            await self.feed.record(replace(self.member, sequence=sequence))
            self._log_settings.update_instances(
                {*self._find_control_peers(), self.settings.control_bind}
            )
            await self.feed.send_ages_to_control()
            await anyio.sleep(ANNOUNCE_INTERVAL)

    async def _watch_for_standstill(self):
        while True:
            await anyio.sleep(TICK_INTERVAL)
            self._standstill.tick(boottime_now())

    async def _send_raft(self, instance, message):
        address = peer_address(instance, self.settings.peer_port)
        # Heartbeats and later orders don't wait behind a large entry.
        await self.links.get(address, instance).notify_in_pieces_or_drop(message)

    def _on_applied(self):
        if self.machine.version > self.state.version:
            self.state.apply_desired(self.machine.desired_state())
            self.metrics.state_version.labels().set(self.machine.version)

    async def _handle(self, exchange):
        """Answer a request, or refuse it if the instance stops too soon."""
        seconds = self.settings.consensus.proposal_timeout
        if self._stop_plan.accepts(time.monotonic(), seconds):
            await self._answer(exchange)
        else:
            await exchange.respond(503)

    async def _leave(self, force_requested):
        self.listener.leaving = True
        now = time.monotonic()
        ends_at = now + self.settings.stop_timeout
        answers_due_at = now + BOUND_FRACTION * self.settings.stop_timeout
        self._stop_plan = StopPlan(ends_at, answers_due_at, ends_at)
        try:
            await self.node.transfer_leadership()
        except BanyanshoreError as error:
            logger.warning("leadership transfer failed", extra={"why": str(error)})
        with anyio.move_on_after(ends_at - time.monotonic()):
            while self.listener.active and not force_requested.is_set():
                await anyio.sleep(0.02)
        await self.listener.close(ends_at - time.monotonic(), force_requested)

    async def handle_call(self, connection, body, responder):
        """Answer a follower, identified by its connection, or dispatch another call."""
        if isinstance(body, ConfirmRequest):
            await self.feed.on_confirm_request(connection, body)
            await responder.finish(await self._confirm())
            return
        await super().handle_call(connection, body, responder)

    async def handle_close(self, connection):
        """Remove a follower whose connection was closed."""
        self._tasks.start_soon(self.feed.on_closed, connection)

    async def _confirm(self):
        try:
            version, age = await self._checks.wait_for_check()
        except BanyanshoreError as error:
            logger.warning("state not confirmed", extra={"why": str(error)})
            return Confirmation(self.state.version, False)
        return Confirmation(version, True, age)

    async def _on_propose(self, body, responder):
        timeout = self.settings.consensus.proposal_timeout
        await responder.finish(await self.client.propose_locally(body.command, timeout))

    async def _on_read(self, body, responder):
        timeout = self.settings.consensus.proposal_timeout
        await responder.finish(await self.client.read_locally(timeout))

    async def _on_version_read(self, body, responder):
        timeout = self.settings.consensus.proposal_timeout
        await responder.finish(await self.client.read_version_locally(timeout))

    async def _on_rows_call(self, update, responder):
        # The caller needs only some of the replies, and cancels the other calls.
        with anyio.CancelScope(shield=True):
            await self.feed.on_peer_update(update)
        if not all(map(self.feed.registrations.may_be_used, update.rows)):
            raise UnavailableError("the service isn't declared here", step="rows")
        await self._leaving_store.save((*update.rows, *update.departures))
        await responder.finish(RowsRecorded())

    async def _on_raft(self, connection, body):
        await self.node.receive(body)

    async def _on_rows(self, connection, update):
        await self.feed.on_peer_update(update)

    async def _on_ages(self, connection, ages):
        self.feed.on_peer_ages(ages)

    call_by_type = MappingProxyType(
        {
            ProposeRequest: _on_propose,
            ReadRequest: _on_read,
            VersionRequest: _on_version_read,
            RowUpdate: _on_rows_call,
        }
    )
    notice_by_type = MappingProxyType(
        {RaftMessage: _on_raft, RowUpdate: _on_rows, RolloutAges: _on_ages}
    )
