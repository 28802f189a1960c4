"""The loader process, which runs beside one target and outside the request path."""

import logging
import time
from types import MappingProxyType

import anyio

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
from banyanshore.weights.chunks import MemoryChunkStore
from banyanshore.weights.desired_versions import find_desired_versions, find_origin
from banyanshore.weights.messages import (
    Availability,
    ChunkRequest,
    ChunkUnavailable,
    HaveUpdate,
    ManifestReply,
    ManifestRequest,
    PieceReceived,
)
from banyanshore.weights.relay_messages import ChunkPush, ChunkPushReply
from banyanshore.weights.relay_rosters import RelayRosters
from banyanshore.weights.uploads import Uploads

logger = logging.getLogger(__name__)


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
        self.rosters = RelayRosters(self.registry, settings.service)
        self.versions = VersionSwitch(settings.version_switch_seconds)
        self.uploads = Uploads(settings, self.metrics)
        self.store = MemoryChunkStore()
        self.transfer = None
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

    def desired_version(self):
        """Return the :class:`DesiredVersion` of the service, or ``None``."""
        desired_versions = find_desired_versions(self.state.desired, self.versions)
        return desired_versions.get(self.settings.service)

    def find_origin(self):
        """Return the origin in the desired state, or ``None`` if none is declared."""
        row = find_origin(self.state.desired)
        return self._make_origin(row["address"]) if row else None

    async def _transfer_forever(self):
        """Run the transfer of the desired version, and a new one when it changes."""
        while True:
            changed = self._desired_changed
            desired_version = self.desired_version()
            if desired_version is None:
                await changed.wait()
                continue
            if self.transfer is None:
                await self._wait_for_target()
            logger.info(
                "version wanted",
                extra={
                    "model": desired_version.model,
                    "model_version": desired_version.version,
                },
            )
            async with anyio.create_task_group() as tasks:
                self.transfer = self._make_transfer(desired_version)
                tasks.start_soon(self.transfer.run)
                while self._is_current(desired_version):
                    changed = self._desired_changed
                    await changed.wait()
                tasks.cancel_scope.cancel()

    async def _wait_for_target(self):
        """Wait a while for the target, at which the chunks may already be staged."""
        with anyio.move_on_after(self.settings.target_wait_seconds):
            while self.target.report is None:
                await anyio.sleep(self.settings.report_interval / 3)

    def _is_current(self, desired_version):
        current = self.desired_version()
        return current is not None and current.key == desired_version.key

    def _make_transfer(self, desired_version):
        spec = ModelSpec(
            desired_version.model, str(desired_version.version), "", "", ""
        )
        return StagedTransfer(
            self.target,
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
        )

    async def _on_chunk(self, body, responder):
        if self.transfer is None:
            await responder.finish(ChunkUnavailable(Availability.QUEUED))
            return
        await self.transfer.handle_chunk_request(body, responder)

    async def _on_push(self, body, responder):
        if self.transfer is None:
            await responder.finish(ChunkPushReply(False))
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
