"""Relaying of weights to loaders by a gateway."""

import logging
from itertools import chain

import anyio

from banyanshore.state.views import ModelSpec
from banyanshore.weights.carried import CarriedVersions, RunningTransfer, find_receiver
from banyanshore.weights.chunks import MemoryChunkStore
from banyanshore.weights.desired_versions import (
    FIRST_VERSION,
    find_carried_versions,
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
        self._store.keep_only(self._carried.chunk_digests())
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
        self._service_by_name = {}

    async def run(self):
        """Relay weights until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_transfers(tasks)
                await anyio.sleep(UPDATE_INTERVAL)

    def _update_transfers(self, tasks):
        gateway = self._gateway
        wanted = find_carried_versions(
            gateway.state.desired,
            gateway.versions,
            gateway.settings.version_switch_seconds,
        )
        origin = find_origin(gateway.state.desired) or {}
        for name, rows in wanted.items():
            service = self._service_by_name.get(name)
            if service is None:
                service = RelayedService(gateway, name)
                self._service_by_name[name] = service
            service.rosters.refresh(origin.get("data_centre", ""))
            for row in service.update(rows):
                self._start(tasks, row, service)
        for name in self._service_by_name.keys() - wanted.keys():
            self._service_by_name.pop(name).update(())

    def _start(self, tasks, wanted, service):
        running = RunningTransfer(wanted.key, self._make_transfer(wanted, service))
        service.add(running)
        logger.info(
            "relaying weights",
            extra={
                "model": wanted.model,
                "model_version": wanted.version,
                "stored": len(service.store),
            },
        )
        tasks.start_soon(running.run)

    def _make_transfer(self, wanted, service):
        gateway = self._gateway
        return GatewayTransfer(
            self._find_origin,
            wanted.chunk_bytes,
            wanted.known_since,
            gateway.settings,
            ModelSpec(wanted.model, str(wanted.version), "", "", ""),
            service.store,
            None,
            gateway.links,
            service.rosters,
            gateway.metrics,
            self._uploads,
            lambda service: True,
            chunk_count=wanted.chunk_count,
        )

    def _find_origin(self):
        row = find_origin(self._gateway.state.desired)
        return self._make_origin(row["address"]) if row else None

    def _find_transfer(self, manifest_digest):
        """Return the transfer of a manifest, or ``None``."""
        found = (
            service.carried.find(manifest_digest)
            for service in self._service_by_name.values()
        )
        return next(filter(None, found), None)

    async def on_chunk_request(self, body, responder):
        """Answer a request for a chunk."""
        transfer = self._find_transfer(body.manifest_digest)
        if transfer is None:
            await responder.finish(ChunkUnavailable(Availability.MISSING))
            return
        await transfer.handle_chunk_request(body, responder)

    async def on_push(self, body, responder):
        """Store a pushed chunk."""
        services = self._service_by_name.values()
        transfers = chain.from_iterable(service.carried for service in services)
        transfer = find_receiver(transfers, body)
        reply = await transfer.handle_push(body) if transfer else ChunkPushReply(False)
        await responder.finish(reply)

    async def on_manifest(self, body, responder):
        """Answer a request for a manifest."""
        contents = (
            service.carried.manifest_content(body.manifest_digest)
            for service in self._service_by_name.values()
        )
        await responder.finish(ManifestReply(next(filter(None, contents), b"")))

    async def on_have(self, connection, update):
        """Record which chunks a neighbour or child has."""
        transfer = self._find_transfer(update.manifest_digest)
        if transfer is not None:
            transfer.handle_have(connection.peer, update)

    async def on_piece_received(self, connection, receipt):
        """Record how long the upload of a piece took."""
        self._uploads.record_received(connection.peer, receipt)


class RelayedService:
    """The transfers of one service, and what outlives them.

    :ivar store: chunks, which outlive a transfer that is started again after a change
        of the members.
    :ivar carried: the :class:`~banyanshore.weights.carried.CarriedVersions`.
    """

    def __init__(self, gateway, name):
        switch_seconds = gateway.settings.version_switch_seconds
        instance = gateway.settings.instance
        self.rosters = RelayRosters(gateway.registry, name, instance)
        self.store = MemoryChunkStore()
        self.carried = CarriedVersions(switch_seconds)
        self._instance = gateway.settings.instance
        self._running_by_key = {}

    def update(self, rows):
        """Stop the transfers that aren't needed, and return those to start.

        :param rows: the :class:`~banyanshore.weights.desired_versions.DesiredVersion`
            objects that may be carried, the older one first.
        """
        versions = ()
        if self.rosters.tree.is_relay(self._instance):
            versions = self.carried.decide(rows)
        needed = [row for row in rows if row.version in versions]
        for key in self._running_by_key.keys() - {row.key for row in needed}:
            running = self._running_by_key.pop(key)
            self.carried.remove(running.transfer)
            running.stop()
        return [row for row in needed if row.key not in self._running_by_key]

    def add(self, running):
        """Add a :class:`RunningTransfer`."""
        self._running_by_key[running.key] = running
        running.transfer.join(self.carried)
