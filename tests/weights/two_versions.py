"""Play two versions that are named in a row to a fleet, in virtual time.

Real transfers of both versions share the links of each machine, as relays and loaders
carry them, while the origin goes away and returns.
"""

import hashlib
import time
from types import SimpleNamespace

import anyio

from banyanshore.conf.sections import WeightsSettings
from banyanshore.state.views import ModelSpec
from banyanshore.telemetry.weights import LoaderMetrics
from banyanshore.weights.carried import CarriedVersions, RunningTransfer
from banyanshore.weights.chunks import MemoryChunkStore
from banyanshore.weights.exceptions import OriginAwayError
from banyanshore.weights.messages import Availability, ChunkUnavailable
from banyanshore.weights.relay import RelayedTransfer
from banyanshore.weights.relay_messages import ChunkPushReply
from banyanshore.weights.uploads import Uploads
from benchmarks.weights_bound import (
    ORIGIN_FETCHES,
    Links,
    Network,
    StagingTransfer,
)
from tests.weights.virtual_time import run_in_virtual_time

OLDER, NEWER = 2, 3
# Seconds between decisions which versions are carried.
DECIDE_SECONDS = 0.1
# Seconds from the last chunk until a target serves the version.
LOAD_SECONDS = 0.6


class Machine:
    """The transfers of one relay or loader.

    :ivar whole: seconds since the older version's name at which each version was whole.
    """

    def __init__(self, network, name):
        self.whole = {}
        self.carried = CarriedVersions(network.fleet.switch_seconds)
        self._network = network
        self._name = name
        self._is_loader = name.startswith("loader")
        self._store = MemoryChunkStore()
        data_centre = network.data_centre_by_instance[name]
        self._settings = SimpleNamespace(
            instance=name,
            data_centre=data_centre,
            region=data_centre,
            version_switch_seconds=network.fleet.switch_seconds,
            weights=WeightsSettings(max_origin_fetches=ORIGIN_FETCHES),
        )
        self._metrics = LoaderMetrics()
        self._uploads = Uploads(self._settings, self._metrics)
        network.uploads_by_instance[name] = self._uploads

    async def run(self, tasks):
        """Carry the versions that are worth it, until cancelled."""
        running = {}
        started_at = self._network.started_at
        known = {OLDER: started_at, NEWER: started_at + self._network.named_after}
        while True:
            rows = [
                SimpleNamespace(version=version, known_since=since, model="m")
                for version, since in known.items()
                if time.monotonic() >= since
            ]
            needed = self.carried.decide(rows)
            for version in running.keys() - set(needed):
                self.carried.remove(running[version].transfer)
                running.pop(version).stop()
            for row in rows:
                if row.version in needed and row.version not in running:
                    running[row.version] = self._start(tasks, row)
            await anyio.sleep(DECIDE_SECONDS)

    def _start(self, tasks, row):
        transfer_class = StagingTransfer if self._is_loader else RelayedTransfer
        network = self._network
        transfer = transfer_class(
            lambda: Origin(network, self._name),
            network.fleet.chunk_bytes,
            row.known_since,
            self._settings,
            ModelSpec("m", str(row.version), "", "", ""),
            self._store,
            None,
            Links(network, self._name),
            network.rosters,
            self._metrics,
            self._uploads,
            lambda service: True,
        )
        transfer.join(self.carried)
        running = RunningTransfer(row.version, transfer)
        tasks.start_soon(running.run)
        if self._is_loader:
            tasks.start_soon(self._record_whole, transfer)
        return running

    async def _record_whole(self, transfer):
        await transfer.completed.wait()
        async with transfer.staging:
            seconds = time.monotonic() - self._network.started_at
            self.whole[transfer.version] = seconds

    async def handle_push(self, push):
        """Store a pushed chunk of either version."""
        transfer = self.carried.find(push.manifest_digest)
        return await transfer.handle_push(push) if transfer else ChunkPushReply(False)

    def handle_have(self, peer, update):
        """Record the chunks that another machine reports."""
        transfer = self.carried.find(update.manifest_digest)
        if transfer is not None:
            transfer.handle_have(peer, update)

    def manifest_content(self, digest):
        """Return a manifest as bytes, empty if it isn't known."""
        return self.carried.manifest_content(digest)

    async def handle_chunk_request(self, request, responder):
        """Send a chunk of either version to another machine."""
        transfer = self.carried.find(request.manifest_digest)
        if transfer is None:
            await responder.finish(ChunkUnavailable(Availability.QUEUED))
        else:
            await transfer.handle_chunk_request(request, responder)


class Origin:
    """The origin, as one machine asks it for chunks of either version."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def _require(self):
        if self._network.is_origin_away():
            raise OriginAwayError("away", step="fetch-chunk")

    async def fetch_digests(self, model, version):
        """Return the digests of all chunks."""
        self._require()
        await self._network.carry(None, self._name, 70 * self._network.fleet.chunks)
        return self._network.digests_by_version[version]

    async def fetch_chunk(self, model, version, index, size):
        """Return a chunk."""
        self._require()
        self._network.record_asked(self._name, version)
        await self._network.carry(None, self._name, size)
        self._require()
        return self._network.data_by_version[version][index]


class TwoVersions(Network):
    """The machines of a fleet that get two versions.

    :param named_after: seconds after the older version at which the newer is named.
    :ivar asked: for each chunk that the root asks the origin for, the seconds since the
        older version's name, the version, and the preferred one.
    """

    def __init__(self, fleet, away, named_after):
        super().__init__(fleet, away)
        self.named_after = named_after
        self.asked = []
        self.data_by_version = {
            version: [
                bytes([version, 0, 0, index]) * (fleet.chunk_bytes // 4)
                for index in range(fleet.chunks)
            ]
            for version in (OLDER, NEWER)
        }
        self.digests_by_version = {
            version: tuple(hashlib.sha256(data).hexdigest() for data in rows)
            for version, rows in self.data_by_version.items()
        }

    def record_asked(self, name, version):
        """Record that a machine asks the origin for a chunk."""
        if name == self.rosters.tree.root:
            preferred = self.transfer_by_instance[name].carried.preferred
            seconds = time.monotonic() - self.started_at
            self.asked.append((seconds, version, preferred))

    async def run(self):
        """Play until all loaders have the newer version whole."""
        async with anyio.create_task_group() as tasks:
            for name in self.data_centre_by_instance:
                if name.startswith("loader") or self.rosters.tree.is_relay(name):
                    machine = self.transfer_by_instance[name] = Machine(self, name)
                    tasks.start_soon(machine.run, tasks)
            while not all(NEWER in row.whole for row in self.loaders()):
                await anyio.sleep(DECIDE_SECONDS)
            tasks.cancel_scope.cancel()

    def loaders(self):
        """Return the machines beside targets."""
        return [
            machine
            for name, machine in self.transfer_by_instance.items()
            if name.startswith("loader")
        ]

    def seconds_without_service(self):
        """Return for how long a target has no version that may be used, on average."""
        switch = self.fleet.switch_seconds
        total = 0.0
        for machine in self.loaders():
            ready = machine.whole[NEWER] + LOAD_SECONDS
            total += max(0.0, ready - switch)
            if OLDER in machine.whole:
                begins = max(machine.whole[OLDER] + LOAD_SECONDS, switch)
                ends = min(self.named_after + switch, ready)
                total -= max(0.0, ends - begins)
        return total / len(self.loaders())


def play(fleet, away, named_after, seed):
    """Play two versions; return the :class:`TwoVersions`."""

    async def run():
        network = TwoVersions(fleet, away, named_after)
        with anyio.fail_after(200):
            await network.run()
        return network

    return run_in_virtual_time(run, seed)
