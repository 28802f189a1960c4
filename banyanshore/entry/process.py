"""The entry process: serves callers and operators, and may replicate the state."""

import logging
import random
import time

import anyio

from banyanshore.consensus.log_runner import LogRunner
from banyanshore.consensus.node import ConsensusNode
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.entry.application import make_api_application
from banyanshore.entry.claimed import AnswerRecovery, ClaimedCalls
from banyanshore.entry.destinations import DestinationChooser
from banyanshore.entry.dissemination import Dissemination
from banyanshore.entry.handler import EntryHandler
from banyanshore.entry.load_permits import LoadPermitPlanner
from banyanshore.entry.local_orders import LocalOrders
from banyanshore.entry.neighbours import Neighbours
from banyanshore.entry.proxy import Proxy
from banyanshore.entry.reports import AgentConnections, ReportExchange
from banyanshore.entry.state_client import StateClient
from banyanshore.entry.status import StatusReporter
from banyanshore.entry.stopping import CHECK_SECONDS, RequestsStop
from banyanshore.entry.suspects import SuspectExchange
from banyanshore.entry.versions import VersionSender
from banyanshore.http.caller_account import CallerAccount
from banyanshore.http.callers import CallersApi
from banyanshore.http.operators import OperatorsApi
from banyanshore.http.server import WebServer
from banyanshore.membership.entries import EntryTable
from banyanshore.membership.targets import TargetTable
from banyanshore.routing.quarantine import Quarantine
from banyanshore.routing.selection import Selector
from banyanshore.state import StateHolder, StateMachine
from banyanshore.telemetry.metrics import EntryMetrics
from banyanshore.telemetry.tracing import Tracer
from banyanshore.transport import LinkOptions, LinkPool, serve_peers

logger = logging.getLogger(__name__)

# Seconds between attempts to merge a local order.
MERGE_INTERVAL = 1.0


class Entry(EntryHandler):
    """Build and run the components of an entry process.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.metrics = EntryMetrics()
        self._callers = CallerAccount(
            settings.memory_bytes,
            settings.max_descriptors,
            self.metrics.stopped_callers,
        )
        self.tracer = Tracer(
            settings.instance, settings.data_centre, settings.trace_file
        )
        self.state = StateHolder(keep_previous=True)
        self.leaving = False
        own_peer = next(
            peer for peer in settings.entries if peer.instance == settings.instance
        )
        self.own_peer = own_peer
        expiry = settings.routing.target_expiry
        self.entries = EntryTable(own_peer, settings.entries, expiry)
        self.targets = TargetTable(expiry)
        self.quarantine = Quarantine()
        self.random = random.Random()
        self.local_orders = LocalOrders(settings.data_centre, settings.data_dir)
        self.selector = Selector(self.targets, self.random)
        # The log of a voter, else ``None``.
        self.log = None
        self.versions = None
        # The :class:`RequestsStop` once this entry stops.
        self.stop = None
        self.servers = []
        # Number of running HTTP servers.
        self._running_servers = 0

    async def run(self, stop_requested, force_requested):
        """Run until a stop is requested and the requests in flight have ended.

        :param stop_requested: event that starts a planned stop.
        :param force_requested: event that cuts a planned stop short.
        """
        http_shutdown = anyio.Event()
        async with anyio.create_task_group() as tasks:
            self._build(tasks)
            await tasks.start(
                serve_peers,
                self.settings.peers_bind,
                self,
                self.settings.instance,
                self.link_options,
            )
            if self.log is not None:
                tasks.start_soon(self.log.run)
            tasks.start_soon(self.link_options.ticker.run)
            tasks.start_soon(self.versions.run)
            tasks.start_soon(self.dissemination.run)
            tasks.start_soon(self.dissemination.run_early_digests)
            tasks.start_soon(self.suspects.run)
            tasks.start_soon(self.proxy.run)
            tasks.start_soon(self._merge_local_orders)
            self._open_links()
            self._start_http(tasks, http_shutdown)
            logger.info(
                "entry started", extra={"callers_bind": self.settings.callers_bind}
            )
            await stop_requested.wait()
            await self._leave(force_requested, http_shutdown)
            tasks.cancel_scope.cancel()
        self.tracer.close()

    def _build(self, tasks):
        settings = self.settings
        self.link_options = LinkOptions.from_settings(settings.transport)
        self.links = LinkPool(
            tasks,
            self,
            settings.instance,
            self.link_options,
            self.entries.expects_connection_from,
        )
        if self.own_peer.voter or settings.data_dir:
            self._open_log()
        self.client = StateClient(
            settings, self.links, self.node, self.entries.leader_hint
        )
        self._build_dissemination()
        destinations = DestinationChooser(
            settings,
            self.state,
            self.entries,
            self.targets,
            self.selector,
            self.links,
            self.local_orders,
            self.random,
        )
        self.proxy = Proxy(
            settings,
            self.state,
            self.targets,
            self.selector,
            destinations,
            self.quarantine,
            self.links,
            self.metrics,
            self.tracer,
            self._send_suspect_updates,
        )
        self.recovery = AnswerRecovery(settings, self.targets, self.entries, self.links)
        self.claimed_calls = ClaimedCalls(self.proxy, self.client, tasks, self.recovery)
        self.load_permits = LoadPermitPlanner(
            settings, self.state, self.entries, self.targets
        )
        self._build_apis()

    def _build_dissemination(self):
        settings = self.settings
        neighbours = Neighbours(settings, self.links, self.entries)
        self.suspects = SuspectExchange(
            settings, self.entries, neighbours, self.quarantine
        )
        self.agents = AgentConnections()
        self.reports = ReportExchange(
            settings, self.targets, self.entries, neighbours, self.agents
        )
        self.versions = VersionSender(
            settings,
            self.state,
            self.entries,
            neighbours,
            self.agents,
            self._leadership,
        )
        self.dissemination = Dissemination(
            settings,
            self.state,
            self.entries,
            self.targets,
            neighbours,
            self.agents,
            self.reports,
            self.versions,
            self._leadership,
            self.local_orders,
        )

    @property
    def node(self):
        """Return the member of the log that runs in this instance, or ``None``."""
        return self.log.node if self.log is not None else None

    def _open_log(self):
        """Open the log from disk.

        :raises StorageError: the disk can't be read or written.
        """
        self.log = LogRunner(self.settings.data_dir, self._make_node, self._use_node)
        if self.machine.version:
            self._on_applied()

    def _make_node(self, storage):
        self.machine = StateMachine()
        return ConsensusNode(
            self.settings, storage, self.machine, self._send_raft, self._on_applied
        )

    def _use_node(self, node):
        if self.machine.version:
            self._on_applied()
        self.client.use_node(node)

    def _build_apis(self):
        reporter = StatusReporter(
            self.settings,
            self.state,
            self.entries,
            self.targets,
            self.proxy,
            lambda: self.node,
            self.client,
            self.local_orders,
        )
        self.operators_api = OperatorsApi(
            self.settings,
            self.state,
            self.client,
            reporter,
            self.local_orders,
            self.metrics,
        )
        self.callers_api = CallersApi(
            self.settings,
            self.state,
            self.proxy,
            self.claimed_calls,
            self.metrics,
            lambda: self.leaving,
            self._count_live_entries,
        )

    def _count_live_entries(self):
        now = time.monotonic()
        return sum(
            self.entries.is_live(now, peer.instance) for peer in self.settings.entries
        )

    def _start_http(self, tasks, shutdown):
        settings = self.settings
        apis = [self.callers_api]
        if settings.operators_bind:
            operators = make_api_application([self.operators_api])
            tasks.start_soon(self._serve, operators, settings.operators_bind, shutdown)
        else:
            apis.append(self.operators_api)
        callers = make_api_application(apis)
        tasks.start_soon(self._serve, callers, settings.callers_bind, shutdown)

    async def _serve(self, application, address, shutdown):
        server = WebServer(application, address, self._callers)
        self.servers.append(server)
        self._running_servers += 1
        await server.serve(shutdown, lambda: self.stop.get_close_seconds())
        self._running_servers -= 1

    def _open_links(self):
        """Open the links that digests, the log and spilled calls need."""
        now = time.monotonic()
        wanted = {peer.instance for peer in self.entries.siblings()}
        wanted.update(peer.instance for peer in self.settings.entries if peer.voter)
        for data_centre in self.entries.data_centres:
            wanted.update(self.entries.contacts_in(now, data_centre)[:1])
        wanted.discard(self.settings.instance)
        for instance in wanted:
            peer = self.entries.peer_by_instance[instance]
            self.links.get(peer.address, instance)

    def _leadership(self):
        if self.node is not None and self.node.leader_instance:
            return self.node.leader_instance, self.node.raft.term
        return "", 0

    async def _send_raft(self, instance, message):
        peer = self.entries.peer_by_instance.get(instance)
        if peer is not None:
            link = self.links.get(peer.address, instance)
            await link.notify_or_drop(message)

    def _on_applied(self):
        desired = self.machine.desired_state()
        if self.state.apply_desired(desired):
            self.metrics.state_version.set(desired.version)
            # A version restored at the start is sent once the sender runs.
            if self.versions is not None:
                self.versions.on_new_version(from_log=True)

    async def _merge_local_orders(self):
        while True:
            await self.local_orders.merge(self.client, self.state.version)
            await anyio.sleep(MERGE_INTERVAL)

    async def _send_suspect_updates(self, updates):
        now = time.monotonic()
        peers = list(self.entries.siblings())
        for data_centre in self.entries.live_data_centres(now):
            contact = self.entries.contacts_in(now, data_centre)[0]
            peers.append(self.entries.peer_by_instance[contact])
        for peer in peers:
            link = self.links.get(peer.address, peer.instance)
            for update in updates:
                await link.notify_or_drop(update)

    async def _leave(self, force_requested, http_shutdown):
        """Refuse new requests and wait until those in flight have ended."""
        self.leaving = True
        self.dissemination.leaving = True
        self.stop = RequestsStop(
            self.proxy, self.claimed_calls, self.servers, self.settings.stop_timeout
        )
        logger.info("leaving", extra={"in_flight": self.proxy.in_flight})
        await self.dissemination.send_digests()
        if self.node is not None:
            try:
                await self.node.transfer_leadership()
            except BanyanshoreError as error:
                logger.warning("leadership transfer failed: %s", error)
        await self.stop.wait(force_requested)
        http_shutdown.set()
        while self._running_servers:
            await anyio.sleep(CHECK_SECONDS)
        self.stop.log_unfinished()
        await self.links.finish(self.stop.get_close_seconds())
