"""Relaying of weights to loaders by a gateway."""

import logging

import anyio

from banyanshore.state.views import ModelSpec
from banyanshore.weights.chunks import MemoryChunkStore
from banyanshore.weights.desired_versions import (
    FIRST_VERSION,
    find_desired_versions,
    find_origin,
)
from banyanshore.weights.messages import (
    Availability,
    ChunkUnavailable,
    ManifestReply,
)
from banyanshore.weights.relay import RelayedTransfer
from banyanshore.weights.relay_messages import ChunkPushReply
from banyanshore.weights.relay_rosters import RelayRosters
from banyanshore.weights.uploads import Uploads

logger = logging.getLogger(__name__)

FIRST_VERSION_TEXT = str(FIRST_VERSION)
# Seconds between updates of the transfers that this gateway relays.
UPDATE_INTERVAL = 0.1


class GatewayTransfer(RelayedTransfer):
    """A relayed transfer that fetches the first version from loaders.

    Loaders hold this version when the deployment starts, and are idle then.
    """

    def _next_fetches(self, now):
        if self.spec.version == FIRST_VERSION_TEXT:
            self._refresh_children()
            return self.planner.tick_neighbour_fetches(now)
        return super()._next_fetches(now)

    def _start_planner(self, have):
        self._store.keep_only(self.manifest.chunk_digests)
        super()._start_planner(have)


class WeightsRelay:
    """Relay the weights of all services in whose trees this gateway is a relay.

    :param gateway: the :class:`~banyanshore.gateway.process.Gateway`.
    :param make_origin: callable that gets the address of the origin.
    """

    def __init__(self, gateway, make_origin):
        self._gateway = gateway
        self._make_origin = make_origin
        self._uploads = Uploads(gateway.settings, gateway.metrics)
        self._rosters_by_service = {}
        self._running_by_service = {}
        # Chunks of the service's version, which outlive a transfer that is started
        # again after a change of the members.
        self._store_by_service = {}

    async def run(self):
        """Relay weights until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_transfers(tasks)
                await anyio.sleep(UPDATE_INTERVAL)

    def _update_transfers(self, tasks):
        gateway = self._gateway
        wanted = find_desired_versions(gateway.state.desired, gateway.versions)
        origin = find_origin(gateway.state.desired) or {}
        for service, row in wanted.items():
            rosters = self._rosters_by_service.get(service)
            if rosters is None:
                rosters = RelayRosters(gateway.registry, service)
                self._rosters_by_service[service] = rosters
            rosters.refresh(origin.get("data_centre", ""))
            is_relay = rosters.tree.is_relay(gateway.settings.instance)
            running = self._running_by_service.get(service)
            if running is not None and (running.key != row.key or not is_relay):
                self._running_by_service.pop(service).stop()
                running = None
            if running is None and is_relay:
                self._start(tasks, row, rosters)
        for service in self._running_by_service.keys() - wanted.keys():
            self._running_by_service.pop(service).stop()

    def _start(self, tasks, wanted, rosters):
        running = RunningTransfer(wanted.key, self._make_transfer(wanted, rosters))
        self._running_by_service[wanted.service] = running
        logger.info(
            "relaying weights",
            extra={"model": wanted.model, "model_version": wanted.version},
        )
        tasks.start_soon(running.run)

    def _make_transfer(self, wanted, rosters):
        gateway = self._gateway
        return GatewayTransfer(
            self._find_origin,
            wanted.chunk_bytes,
            wanted.known_since,
            gateway.settings,
            ModelSpec(wanted.model, str(wanted.version), "", "", ""),
            self._store_by_service.setdefault(wanted.service, MemoryChunkStore()),
            None,
            gateway.links,
            rosters,
            gateway.metrics,
            self._uploads,
            lambda service: True,
        )

    def _find_origin(self):
        row = find_origin(self._gateway.state.desired)
        return self._make_origin(row["address"]) if row else None

    def _find_transfer(self, manifest_digest):
        """Return the transfer of a manifest, or ``None``."""
        for running in self._running_by_service.values():
            manifest = running.transfer.manifest
            if manifest is not None and manifest.digest == manifest_digest:
                return running.transfer
        return None

    async def on_chunk_request(self, body, responder):
        """Answer a request for a chunk."""
        transfer = self._find_transfer(body.manifest_digest)
        if transfer is None:
            await responder.finish(ChunkUnavailable(Availability.MISSING))
            return
        await transfer.handle_chunk_request(body, responder)

    async def on_push(self, body, responder):
        """Store a pushed chunk."""
        transfer = self._find_transfer(body.manifest_digest)
        reply = await transfer.handle_push(body) if transfer else ChunkPushReply(False)
        await responder.finish(reply)

    async def on_manifest(self, body, responder):
        """Answer a request for a manifest."""
        contents = [
            running.transfer.manifest_content(body.manifest_digest)
            for running in self._running_by_service.values()
        ]
        await responder.finish(ManifestReply(next(filter(None, contents), b"")))

    async def on_have(self, connection, update):
        """Record which chunks a neighbour or child has."""
        transfer = self._find_transfer(update.manifest_digest)
        if transfer is not None:
            transfer.handle_have(connection.peer, update)

    async def on_piece_received(self, connection, receipt):
        """Record how long the upload of a piece took."""
        self._uploads.record_received(connection.peer, receipt)


class RunningTransfer:
    """A transfer and its cancel scope.

    :param key: model and version.
    """

    def __init__(self, key, transfer):
        self.key = key
        self.transfer = transfer
        self._scope = anyio.CancelScope()

    async def run(self):
        """Run until stopped."""
        with self._scope:
            await self.transfer.run()

    def stop(self):
        """Cancel the transfer."""
        self._scope.cancel()
