"""The loader process, which runs beside one target and outside the request path."""

import logging
import math
import time
from types import MappingProxyType

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.loader.decisions import serves
from banyanshore.loader.driver import LoadDriver
from banyanshore.loader.target import TargetMonitor
from banyanshore.loader.transfer import StagedTransfer
from banyanshore.membership.feed import LOADER_ROLE, FeedClient, MemberRow, Registry
from banyanshore.membership.follower import Follower
from banyanshore.routing.version_switch import VersionSwitch
from banyanshore.state import StateHolder
from banyanshore.state.views import ModelSpec
from banyanshore.telemetry.weights import LoaderMetrics
from banyanshore.transport import LinkOptions
from banyanshore.weights.carried import (
    CarriedVersions,
    RunningTransfer,
    find_receiver,
)
from banyanshore.weights.chunks import MemoryChunkStore
from banyanshore.weights.desired_versions import find_carried_versions, find_origin
from banyanshore.weights.messages import (
    Availability,
    ChunkRequest,
    ChunkUnavailable,
    HaveUpdate,
    ManifestReply,
    ManifestRequest,
    PieceReceived,
)
from banyanshore.weights.ready_time import (
    CarryingState,
    drain_seconds,
    expected_ready_seconds,
)
from banyanshore.weights.relay_messages import ChunkPush, ChunkPushReply
from banyanshore.weights.relay_rosters import RelayRosters
from banyanshore.weights.uploads import Uploads
from banyanshore.weights.version_order import VersionState, version_to_load

logger = logging.getLogger(__name__)

# Seconds between checks of which of two versions are worth carrying.
PLAN_INTERVAL = 0.25


class Loader(Follower):
    """Transfer weights to one target and have it load them.

    :param settings: the :class:`~banyanshore.conf.registered.LoaderSettings`.
    :param engine: the :class:`~banyanshore.weights.staged.StagedEngine`.
    :param make_origin: callable that returns the
        :class:`~banyanshore.weights.staged.StagedOrigin` at an address.
    """

    def __init__(self, settings, engine, make_origin):
        self.settings = settings
        self.engine = engine
        self.metrics = LoaderMetrics()
        self.state = StateHolder()
        self.registry = Registry()
        self.rosters = RelayRosters(self.registry, settings.service, settings.instance)
        self.versions = VersionSwitch(settings.version_switch_seconds)
        self.uploads = Uploads(settings, self.metrics)
        self.store = MemoryChunkStore()
        self.carried = CarriedVersions(settings.version_switch_seconds)
        self._make_origin = make_origin
        # Set when the desired state changes.
        self._desired_changed = anyio.Event()
        self.link_options = LinkOptions.from_settings(settings.transport)
        member = MemberRow(
            settings.instance,
            LOADER_ROLE,
            settings.data_centre,
            settings.region,
            settings.peers_bind,
            time.time_ns(),
            0,
            settings.service,
        )
        self.target = TargetMonitor(settings, engine, self.registry, member.incarnation)
        self.target.expect_ready = self.expect_ready
        self.driver = LoadDriver(self)
        self.feed = FeedClient(
            settings, member, self.state, self.registry, self.link_options
        )
        self.feed.on_rows.append(lambda update: self._refresh_rosters())
        self.feed.on_ages.append(self._record_ages)
        self.state.on_change.append(self._on_state)

    async def run(self, stop_requested, force_requested):
        """Run until a stop is requested.

        :param force_requested: ignored, because a loader stops immediately.
        """
        async with anyio.create_task_group() as tasks:
            self._open_links(tasks)
            self.target.links = self.links
            await self._serve_peers(tasks)
            tasks.start_soon(self.target.run)
            tasks.start_soon(self._transfer_forever)
            tasks.start_soon(self.driver.run)
            self._follow(tasks, LOADER_ROLE)
            await stop_requested.wait()
            logger.info("stopping")
            tasks.cancel_scope.cancel()

    def _on_state(self, desired):
        self._record_rollouts(desired)
        self._refresh_rosters()
        changed, self._desired_changed = self._desired_changed, anyio.Event()
        changed.set()

    def _refresh_rosters(self):
        origin = find_origin(self.state.desired) or {}
        self.rosters.refresh(origin.get("data_centre", ""))

    def carried_versions(self):
        """Return the versions that may be carried, the older one first.

        :return: tuple of :class:`~banyanshore.weights.desired_versions.DesiredVersion`
            objects, empty if the service has no model.
        """
        carried = find_carried_versions(
            self.state.desired, self.versions, self.settings.version_switch_seconds
        )
        return carried.get(self.settings.service, ())

    def desired_version(self):
        """Return the version that the target should load next, or ``None``.

        Of two versions that were named in a row, this is the older one if it bridges
        the time until the newer one is whole.
        """
        rows = self.carried_versions()
        if len(rows) < 2 or self.carried.get(rows[0].version) is None:
            return rows[-1] if rows else None
        older, newer = (
            VersionState(
                row.version, row.known_since, self.carried.missing_here(row.version)
            )
            for row in rows
        )
        version = version_to_load(
            boottime_now(),
            older,
            newer,
            self.settings.version_switch_seconds,
            self._served_version(rows[0]),
            self.carried.preferred,
            drain_seconds(self.target.report.active) if self.target.report else 0.0,
        )
        return rows[0] if version == older.version else rows[1]

    @property
    def transfer(self):
        """Return the transfer of the desired version, or ``None``."""
        desired_version = self.desired_version()
        return desired_version and self.carried.get(desired_version.version)

    def expect_ready(self):
        """Return the seconds until the target is expected to serve as it should.

        :return: ``inf`` if unknown.
        """
        desired_version, transfer = self.desired_version(), self.transfer
        report = self.target.report
        if desired_version is None or transfer is None or report is None:
            return math.inf
        is_serving = serves(report, desired_version.version, desired_version.layers)
        return expected_ready_seconds(
            CarryingState(
                1.0 - transfer.progress,
                transfer.copy_seconds(),
                report.active,
                is_serving and not (report.is_busy or self.target.is_loading),
            )
        )

    def _served_version(self, older):
        """Return the version that the target serves, 0 for none.

        A target with a part of a version newer than the older one counts as serving it,
        since it can't go back.
        """
        report = self.target.report
        if report is None:
            return 0
        version = report.model_version
        is_usable = serves(report, version, older.layers) or version > older.version
        return version if is_usable else 0

    def find_origin(self):
        """Return the origin in the desired state, or ``None`` if none is declared."""
        row = find_origin(self.state.desired)
        return self._make_origin(row["address"]) if row else None

    async def _transfer_forever(self):
        """Run the transfers of the versions that are worth carrying."""
        running_by_version = {}
        async with anyio.create_task_group() as tasks:
            while True:
                changed = self._desired_changed
                rows = self.carried_versions()
                if rows and not len(self.carried):
                    await self._wait_for_target()
                needed = set(self.carried.decide(rows))
                for version in running_by_version.keys() - needed:
                    running = running_by_version.pop(version)
                    self.carried.remove(running.transfer)
                    running.stop()
                for row in rows:
                    if row.version in needed and row.version not in running_by_version:
                        running = self._start_transfer(row)
                        running_by_version[row.version] = running
                        tasks.start_soon(running.run)
                # Whether two versions are worth carrying depends on the time.
                timeout = PLAN_INTERVAL if len(rows) > 1 else math.inf
                with anyio.move_on_after(timeout):
                    await changed.wait()

    def _start_transfer(self, row):
        logger.info(
            "version wanted",
            extra={"model": row.model, "model_version": row.version},
        )
        running = RunningTransfer(row.key, self._make_transfer(row))
        running.transfer.join(self.carried)
        return running

    async def _wait_for_target(self):
        """Wait a while for the target, at which the chunks may already be staged."""
        with anyio.move_on_after(self.settings.target_wait_seconds):
            while self.target.report is None:
                await anyio.sleep(self.settings.report_interval / 3)

    def _make_transfer(self, desired_version):
        spec = ModelSpec(
            desired_version.model, str(desired_version.version), "", "", ""
        )
        return StagedTransfer(
            self.target,
            lambda transfer: transfer is self.transfer,
            self.find_origin,
            desired_version.chunk_bytes,
            desired_version.known_since,
            self.settings,
            spec,
            self.store,
            None,
            self.links,
            self.rosters,
            self.metrics,
            self.uploads,
            lambda service: True,
            chunk_count=desired_version.chunk_count,
        )

    async def _on_chunk(self, body, responder):
        transfer = self.carried.find(body.manifest_digest)
        if transfer is None:
            await responder.finish(ChunkUnavailable(Availability.QUEUED))
            return
        await transfer.handle_chunk_request(body, responder)

    async def _on_push(self, body, responder):
        transfer = find_receiver(self.carried, body)
        reply = await transfer.handle_push(body) if transfer else ChunkPushReply(False)
        await responder.finish(reply)

    async def _on_manifest(self, body, responder):
        content = self.carried.manifest_content(body.manifest_digest)
        await responder.finish(ManifestReply(content))

    async def _on_have(self, connection, body):
        transfer = self.carried.find(body.manifest_digest)
        if transfer is not None:
            transfer.handle_have(connection.peer, body)

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
