"""The loader: one process beside one target, out of the way of requests."""

import logging
import time
from types import MappingProxyType

import anyio

from banyanshore.loader.decisions import (
    Action,
    Situation,
    find_turn,
    load_time,
    may_drain,
    next_action,
)
from banyanshore.loader.transfer import StagedTransfer
from banyanshore.membership.feed import FeedClient, MemberRow, Registry
from banyanshore.membership.load_reports import LoadReport
from banyanshore.routing.version_switch import VersionSwitch
from banyanshore.state import StateHolder
from banyanshore.state.views import ModelSpec
from banyanshore.telemetry.listener import serve_metrics
from banyanshore.telemetry.weights import LoaderMetrics
from banyanshore.transport import LinkOptions, LinkPool, TableHandler, serve_peers
from banyanshore.weights.chunks import MemoryChunkStore
from banyanshore.weights.messages import (
    Availability,
    ChunkRequest,
    ChunkUnavailable,
    HaveUpdate,
    ManifestReply,
    ManifestRequest,
    PieceReceived,
)
from banyanshore.weights.relay_messages import ChunkPush, ChunkTaken
from banyanshore.weights.relay_rosters import (
    GATEWAY_ROLE,
    LOADER_ROLE,
    RelayRosters,
)
from banyanshore.weights.staged import OrderOutcome, StagedEngineError
from banyanshore.weights.uploads import Uploads
from banyanshore.weights.wanted import find_origin, find_wanted

logger = logging.getLogger(__name__)

# Seconds between reports of a load that doesn't change.
IDLE_REPORT_SECONDS = 1.0
# Seconds between a report that the target is about to load and the order, in which the
# gateways hear of it.
NOTICE_SECONDS = 0.08
# Seconds before an order that had no effect is looked at again.
ORDER_RETRY_SECONDS = 0.5


class Loader(TableHandler):
    """Everything that runs in one target's slot.

    :param settings: the :class:`~banyanshore.conf.settings.LoaderSettings`.
    :param engine: the :class:`~banyanshore.weights.staged.StagedEngine`.
    :param make_origin: callable given the address of the origin.
    """

    def __init__(self, settings, engine, make_origin):
        self.settings = settings
        self.engine = engine
        self.metrics = LoaderMetrics()
        self.state = StateHolder()
        self.registry = Registry()
        self.rosters = RelayRosters(self.registry, settings.service)
        self.versions = VersionSwitch(settings.version_switch_seconds)
        self.uploads = Uploads(settings, self.metrics)
        self.store = MemoryChunkStore()
        self.transfer = None
        self.report = None
        self._make_origin = make_origin
        self._is_loading = False
        self._sequence = 0
        self._last_sent = (None, 0.0)
        self._incarnation = time.time_ns()
        self._wanted_changed = anyio.Event()
        self.link_options = LinkOptions.from_settings(settings.transport)
        member = MemberRow(
            settings.instance,
            LOADER_ROLE,
            settings.data_centre,
            settings.region,
            settings.peers_bind,
            self._incarnation,
            0,
            settings.service,
        )
        self.feed = FeedClient(
            settings, member, self.state, self.registry, self.link_options
        )
        self.feed.on_rows.append(lambda news: self._refresh_rosters())
        self.state.on_change.append(self._on_state)

    async def run(self, stop_requested, force_requested):
        """Run until a stop is requested.

        :param force_requested: not needed: nothing here is waited for.
        """
        async with anyio.create_task_group() as tasks:
            self.links = LinkPool(
                tasks, self, self.settings.instance, self.link_options
            )
            await tasks.start(self._serve_peers)
            tasks.start_soon(self.link_options.ticker.run)
            tasks.start_soon(self.feed.run)
            tasks.start_soon(self._watch_target)
            tasks.start_soon(self._transfer_forever)
            tasks.start_soon(self._drive_target)
            if self.settings.metrics_bind:
                tasks.start_soon(
                    serve_metrics, self.settings.metrics_bind, self.metrics.registry
                )
            logger.info("started", extra={"role": LOADER_ROLE})
            await stop_requested.wait()
            logger.info("stopping")
            tasks.cancel_scope.cancel()

    def reload(self, settings):
        """Take the control instances that changed settings name."""
        self.feed.seeds = tuple(settings.seeds)

    async def _serve_peers(self, task_status):
        await serve_peers(
            self.settings.peers_bind,
            self,
            self.settings.instance,
            self.link_options,
            task_status,
        )

    def _on_state(self, desired):
        self.versions.record(time.monotonic(), desired.document["rollouts"])
        self._refresh_rosters()
        changed, self._wanted_changed = self._wanted_changed, anyio.Event()
        changed.set()

    def _refresh_rosters(self):
        origin = find_origin(self.state.desired) or {}
        self.rosters.refresh(origin.get("data_centre", ""))

    def wanted(self):
        """Return the :class:`Wanted` version, or ``None`` if there is none."""
        wanted = find_wanted(self.state.desired, self.versions)
        return wanted.get(self.settings.service)

    def find_origin(self):
        """Return the origin that the state names, or ``None``."""
        row = find_origin(self.state.desired)
        return self._make_origin(row["address"]) if row else None

    async def _transfer_forever(self):
        """Run the transfer of the version that is wanted."""
        while True:
            changed = self._wanted_changed
            wanted = self.wanted()
            if wanted is None:
                await changed.wait()
                continue
            if self.transfer is None:
                await self._wait_for_target()
            logger.info(
                "version wanted",
                extra={"model": wanted.model, "model_version": wanted.version},
            )
            async with anyio.create_task_group() as tasks:
                self.transfer = self._make_transfer(wanted)
                tasks.start_soon(self.transfer.run)
                while self._is_wanted(wanted):
                    changed = self._wanted_changed
                    await changed.wait()
                tasks.cancel_scope.cancel()

    async def _wait_for_target(self):
        """Wait a while for the target, which may hold the chunks already."""
        with anyio.move_on_after(self.settings.target_wait_seconds):
            while self.report is None:
                await anyio.sleep(self.settings.report_interval / 3)

    def _is_wanted(self, wanted):
        now = self.wanted()
        return now is not None and now.key == wanted.key

    def _make_transfer(self, wanted):
        spec = ModelSpec(wanted.model, str(wanted.version), "", "", "")
        transfer = StagedTransfer(
            self.engine,
            self.find_origin,
            wanted.chunk_bytes,
            self.settings,
            spec,
            self.store,
            None,
            self.links,
            self.rosters,
            self.metrics,
            self.uploads,
            lambda service: True,
        )
        transfer.has_target = self.report is not None
        return transfer

    async def _watch_target(self):
        """Read the target's load and tell it to the gateways."""
        while True:
            await self._read_report()
            await self._send_report()
            await anyio.sleep(self.settings.report_interval)

    async def _read_report(self):
        had_target = self.report is not None
        try:
            self.report = await self.engine.read_report()
        except StagedEngineError as error:
            self.report = None
            if had_target:
                logger.warning("target lost", extra={"why": str(error)})
        else:
            if not had_target:
                logger.info(
                    "target reached", extra={"model_version": self.report.model_version}
                )
        if self.transfer is not None:
            self.transfer.has_target = self.report is not None

    async def _send_report(self):
        report = self.report
        if report is None:
            return
        content = (report, self._is_loading)
        last, sent_at = self._last_sent
        now = time.monotonic()
        if content == last and now - sent_at < IDLE_REPORT_SECONDS:
            return
        self._last_sent = (content, now)
        self._sequence += 1
        message = LoadReport(
            self.settings.target_address,
            self._incarnation,
            self._sequence,
            report.model,
            report.model_version,
            report.end_layer,
            report.active,
            report.queued,
            report.pace,
            self._is_loading,
        )
        for row in self.registry.members_of(GATEWAY_ROLE):
            link = self.links.get(row.address, row.instance)
            await link.notify_or_drop(message)

    async def _drive_target(self):
        """Have the target load what is wanted."""
        while True:
            await anyio.sleep(self.settings.report_interval / 3)
            wanted, transfer = self.wanted(), self.transfer
            if wanted is None or transfer is None or transfer.version != wanted.version:
                continue
            turn = find_turn(
                self.settings.instance, self.rosters.loaders(), wanted.version
            )
            self._is_loading = self._must_drain(wanted, transfer, turn)
            situation = Situation(
                self.report,
                wanted.layers,
                wanted.version,
                transfer.completed.is_set(),
                load_time(turn, transfer.completed_at, self._switch_at(wanted)),
            )
            if next_action(time.monotonic(), situation) is Action.LOAD:
                await self._load(wanted, transfer)

    def _switch_at(self, wanted):
        return wanted.heard_at + self.settings.version_switch_seconds

    def _must_drain(self, wanted, transfer, turn):
        report = self.report
        if report is None or not 0 < report.model_version < wanted.version:
            return False
        seconds = time.monotonic() - wanted.heard_at
        return may_drain(turn, transfer.progress, seconds)

    async def _load(self, wanted, transfer):
        try:
            mended = await transfer.stage_all()
            self._is_loading = True
            await self._send_report()
            await anyio.sleep(NOTICE_SECONDS)
            outcome = await self.engine.load(wanted.model, wanted.version)
            self.metrics.loads.labels(outcome).inc()
            logger.info(
                "load ordered",
                extra={
                    "model_version": wanted.version,
                    "outcome": outcome,
                    "mended": mended,
                    "since_heard": round(time.monotonic() - wanted.heard_at, 2),
                },
            )
            if outcome in (OrderOutcome.BEGUN, OrderOutcome.IN_EFFECT):
                await self._wait_until_loaded(wanted)
            else:
                await anyio.sleep(ORDER_RETRY_SECONDS)
        except StagedEngineError as error:
            logger.warning("load not ordered", extra={"why": str(error)})
            await anyio.sleep(ORDER_RETRY_SECONDS)
        finally:
            self._is_loading = False

    async def _wait_until_loaded(self, wanted):
        while True:
            report = await self.engine.read_report()
            if not report.is_busy:
                break
            await anyio.sleep(self.settings.report_interval / 3)
        self.report = report
        logger.info(
            "load ended",
            extra={
                "model_version": report.model_version,
                "since_heard": round(time.monotonic() - wanted.heard_at, 2),
            },
        )
        self._is_loading = False
        await self._send_report()

    async def _on_chunk(self, body, responder):
        if self.transfer is None:
            await responder.finish(ChunkUnavailable(Availability.QUEUED))
            return
        await self.transfer.handle_chunk_request(body, responder)

    async def _on_push(self, body, responder):
        if self.transfer is None:
            await responder.finish(ChunkTaken(False))
            return
        await responder.finish(await self.transfer.handle_push(body))

    async def _on_manifest(self, body, responder):
        transfer = self.transfer
        content = transfer.manifest_content(body.manifest_digest) if transfer else b""
        await responder.finish(ManifestReply(content))

    async def _on_have(self, connection, body):
        if self.transfer is not None:
            self.transfer.handle_have(connection.peer, body)

    async def _on_piece_received(self, connection, body):
        self.uploads.record_received(connection.peer, body)

    call_by_type = MappingProxyType(
        {
            ChunkRequest: _on_chunk,
            ChunkPush: _on_push,
            ManifestRequest: _on_manifest,
        }
    )
    notice_by_type = MappingProxyType(
        {HaveUpdate: _on_have, PieceReceived: _on_piece_received}
    )
