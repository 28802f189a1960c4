"""Measure the time to the last whole target against the bound of the links.

Real transfers of a fleet exchange the chunks of one version in virtual time, over links
with the rates of the two deployments with hard load. The bound on paper is the time in
which the origin sends one copy and then the slowest link of a target carries the rest
of it, after an origin that was away has returned.
"""

import asyncio
import hashlib
import time
from types import SimpleNamespace
from unittest import mock

import anyio

from banyanshore.conf.sections import WeightsSettings
from banyanshore.core.exceptions import UnavailableError
from banyanshore.membership.messages import Roster, RosterRow
from banyanshore.state.views import ModelSpec
from banyanshore.telemetry.weights import LoaderMetrics
from banyanshore.weights.chunks import MemoryChunkStore
from banyanshore.weights.exceptions import OriginError
from banyanshore.weights.messages import PieceReceived
from banyanshore.weights.relay import RelayedTransfer
from banyanshore.weights.relay_messages import ChunkPush
from banyanshore.weights.tree import RelayTree, TreeMember
from banyanshore.weights.uploads import Uploads
from benchmarks.report import Report

# Concurrent fetches from the origin, as in the templates of deploy/settings.
ORIGIN_FETCHES = 6
# Seconds in which a loader stages a chunk, as measured at loaders.
STAGE_SECONDS = 0.01
# One-way delay within a data centre, in seconds.
LOCAL_DELAY_SECONDS = 0.0003
# Part of a target's link that its requests take.
REQUEST_SHARE = 0.15
# The users' bound on the time to the first and the last whole target after an origin's
# return, as a multiple of the bound on paper.
MOST_TIMES_BOUND = 1.3
HEADS = (
    "fleet",
    "origin away, s",
    "bound on paper, s",
    "first target whole, s",
    "last target whole, s",
    "last over bound",
    "copies from the origin",
    "copies pushed to a machine",
)


class Fleet:
    """Machines and links of a deployment; rates in bits per second.

    :param targets: targets in each data centre.
    :param gateways: gateways in each data centre.
    :param narrow: rates of the links between data centres that are slower than the
        others, by pair.
    """

    def __init__(
        self, name, targets, gateways, chunks, chunk_bytes, narrow=None, **rates
    ):
        self.name = name
        self.narrow = narrow or {}
        self.targets = targets
        self.gateways = gateways
        self.chunks = chunks
        self.chunk_bytes = chunk_bytes
        self.origin_rate = rates["origin"]
        self.gateway_rate = rates["gateway"]
        self.target_rate = rates["target"] * (1 - REQUEST_SHARE)
        self.region_rate = rates["region"]
        self.remote_delay_seconds = rates["delay"]
        self.switch_seconds = rates["switch"]

    def bound_seconds(self, away):
        """Return the time in which all targets can be whole, on paper.

        :param away: seconds from the name of the version between which the origin is
            away.
        """
        bits = 8 * self.chunk_bytes * self.chunks
        origin = bits / self.origin_rate
        link = bits / self.target_rate
        before = min(1.0, away[0] / origin)
        whole = origin if before >= 1 else away[1] + (1 - before) * origin
        # The last chunk that the origin sends still has to cross the target's link, and
        # what came at its return crosses no faster than the link carries it.
        at_return = max(0.0, min(before, away[1] / link)) if before < 1 else 0.0
        last = link / self.chunks
        if before >= 1:
            return max(link + origin / self.chunks, origin + last)
        return max(whole + last, away[1] + (1 - at_return) * link)


FLEETS = (
    Fleet(
        "tlbw-ci",
        (6, 6, 6),
        (15, 15, 15),
        64,
        32_768,
        origin=5.94e6,
        gateway=20e6,
        target=3.8e6,
        region=12.5e6,
        delay=0.0042,
        switch=9.27,
    ),
    Fleet(
        "ptsa-banyan",
        (8, 8, 8),
        (11, 11, 11),
        48,
        49_152,
        origin=15e6,
        gateway=20e6,
        target=4.7e6,
        region=15e6,
        delay=0.008,
        switch=7.2,
    ),
    # The link to one region carries other traffic. It has room for less than half of a
    # copy in the time that a target's link needs for one.
    Fleet(
        "ptsa-banyan, one link of 2 Mbit/s",
        (8, 8, 8),
        (11, 11, 11),
        48,
        49_152,
        {("dc-0", "dc-2"): 2e6},
        origin=15e6,
        gateway=20e6,
        target=4.7e6,
        region=4.7e6,
        delay=0.008,
        switch=7.2,
    ),
)
# Seconds from the name of the version between which the origin is away.
AWAY = ((100.0, 100.0), (0.0, 6.0), (0.5, 6.5), (1.0, 4.0))


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self._now = 1000.0
        self._select_ready = self._selector.select
        self._selector.select = self._advance

    def time(self):
        """Return the time of the clock."""
        return self._now

    def _advance(self, timeout=None):
        self._now += timeout or 0.0
        return self._select_ready(0)


class Link:
    """Carry bytes at a rate, in the order of arrival."""

    def __init__(self, rate):
        self._rate = rate
        self._free_at = 0.0

    def reserve(self, size):
        """Return the time at which some bytes will have been carried."""
        start = max(time.monotonic(), self._free_at)
        self._free_at = start + 8 * size / self._rate
        return self._free_at


class Network:
    """The transfers of a fleet, and the links between its machines."""

    def __init__(self, fleet, away):
        self.fleet = fleet
        self.started_at = time.monotonic()
        self._away = tuple(self.started_at + seconds for seconds in away)
        self.transfer_by_instance = {}
        self.uploads_by_instance = {}
        self.data_centre_by_instance = {}
        self.receiving = {}
        self.origin_chunks = 0
        self.pushes = 0
        self._origin_link = Link(fleet.origin_rate)
        self._region_links = {}
        self._up, self._down = {}, {}
        members = []
        for number, count in enumerate(fleet.targets):
            data_centre = f"dc-{number}"
            for place in range(fleet.gateways[number]):
                self._add(members, f"gateway-{number}-{place}", data_centre, True)
            for place in range(count):
                self._add(members, f"loader-{number}-{place}", data_centre, False)
        self.rosters = Rosters(members, "dc-0")
        self.data = [
            index.to_bytes(4, "big") * (fleet.chunk_bytes // 4)
            for index in range(fleet.chunks)
        ]
        self.digests = tuple(hashlib.sha256(row).hexdigest() for row in self.data)

    def _add(self, members, name, data_centre, is_gateway):
        members.append(TreeMember(name, data_centre, data_centre, is_gateway))
        self.data_centre_by_instance[name] = data_centre
        rate = self.fleet.gateway_rate if is_gateway else self.fleet.target_rate
        self._up[name], self._down[name] = Link(rate), Link(rate)

    async def carry(self, source, target, size):
        """Wait until some bytes have crossed all links from one machine to another."""
        links = [self._down[target]]
        if source is None:
            links.append(self._origin_link)
        else:
            links.append(self._up[source])
            pair = tuple(
                self.data_centre_by_instance[name] for name in (source, target)
            )
            if pair[0] != pair[1]:
                rate = self.fleet.narrow.get(pair, self.fleet.region_rate)
                link = self._region_links.setdefault(pair, Link(rate))
                links.append(link)
        arrives_at = max(link.reserve(size) for link in links)
        arrives_at += self.delay_seconds(source, target)
        await anyio.sleep(max(0.0, arrives_at - time.monotonic()))

    def delay_seconds(self, source, target):
        """Return the one-way delay between two machines."""
        by_instance = self.data_centre_by_instance
        is_local = by_instance.get(source) == by_instance[target]
        return LOCAL_DELAY_SECONDS if is_local else self.fleet.remote_delay_seconds

    def is_origin_away(self):
        """Return whether the origin answers nothing now."""
        return self._away[0] <= time.monotonic() < self._away[1]

    async def run(self):
        """Transfer the version to all targets; return when each was whole."""
        whole = {}

        async def wait_until_whole(name, transfer):
            await transfer.completed.wait()
            async with transfer.staging:
                whole[name] = time.monotonic() - self.started_at

        async with anyio.create_task_group() as tasks:
            for name in self.data_centre_by_instance:
                is_loader = name.startswith("loader")
                if is_loader or self.rosters.tree.is_relay(name):
                    tasks.start_soon(self._start(name, is_loader).run)
            async with anyio.create_task_group() as waits:
                for name, transfer in self.transfer_by_instance.items():
                    if name.startswith("loader"):
                        waits.start_soon(wait_until_whole, name, transfer)
            tasks.cancel_scope.cancel()
        return whole

    def _start(self, name, is_loader):
        settings = SimpleNamespace(
            instance=name,
            data_centre=self.data_centre_by_instance[name],
            region=self.data_centre_by_instance[name],
            version_switch_seconds=self.fleet.switch_seconds,
            weights=WeightsSettings(max_origin_fetches=ORIGIN_FETCHES),
        )
        metrics = LoaderMetrics()
        transfer_class = StagingTransfer if is_loader else RelayedTransfer
        uploads = self.uploads_by_instance[name] = Uploads(settings, metrics)
        transfer = transfer_class(
            lambda: Origin(self, name),
            self.fleet.chunk_bytes,
            self.started_at,
            settings,
            ModelSpec("m", "2", "", "", ""),
            MemoryChunkStore(),
            None,
            Links(self, name),
            self.rosters,
            metrics,
            uploads,
            lambda service: True,
        )
        self.transfer_by_instance[name] = transfer
        return transfer


class StagingTransfer(RelayedTransfer):
    """Transfer that also stages each chunk at a target, while the next one arrives.

    :ivar staging: lock that is held while chunks are staged, in the order of arrival.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.staging = anyio.Lock()

    async def _store_chunk(self, index, data):
        await super()._store_chunk(index, data)
        self._tasks.start_soon(self._stage)

    async def _stage(self):
        async with self.staging:
            await anyio.sleep(STAGE_SECONDS)


class Rosters:
    """The members of the tree."""

    digest = 1

    def __init__(self, members, origin_data_centre):
        self.tree = RelayTree(members, origin_data_centre)
        rows_by_data_centre = {}
        for member in members:
            if not member.is_gateway or self.tree.is_relay(member.instance):
                rows_by_data_centre.setdefault(member.data_centre, []).append(
                    RosterRow(member.instance, member.region, "s", member.instance)
                )
        self.by_data_centre = {
            name: Roster(name, tuple(rows), 0)
            for name, rows in rows_by_data_centre.items()
        }
        self._data_centre_by_instance = {
            member.instance: member.data_centre for member in members
        }

    def data_centre_of(self, instance):
        """Return the data centre of a member, empty if unknown."""
        return self._data_centre_by_instance.get(instance, "")


class Origin:
    """The origin, as one machine fetches from it."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def _require(self):
        if self._network.is_origin_away():
            raise OriginError("away", step="fetch-chunk")

    async def fetch_digests(self, model, version):
        """Return the digests of all chunks."""
        self._require()
        await self._network.carry(None, self._name, 70 * self._network.fleet.chunks)
        return self._network.digests

    async def fetch_chunk(self, model, version, index, chunk_bytes):
        """Return a chunk; what is on its way when the origin goes away is lost."""
        self._require()
        await self._network.carry(None, self._name, chunk_bytes)
        self._require()
        self._network.origin_chunks += 1
        return self._network.data[index]


class Links:
    """The links of one machine to others."""

    def __init__(self, network, source):
        self._network = network
        self._source = source

    def get(self, address, peer):
        """Return the link to another machine."""
        return PeerLink(self._network, self._source, peer)

    def is_receiving_frame_from(self, peer):
        """Return whether a pushed chunk is arriving."""
        return self._network.receiving.get((peer, self._source), 0) > 0


class PeerLink:
    """The link from one machine to another."""

    is_open = True

    def __init__(self, network, source, target):
        self._network = network
        self._source = source
        self._target = target
        self._delay_seconds = network.delay_seconds(source, target)

    async def get_connection(self, timeout):
        """Return the connection, if the other machine takes part."""
        if self._target not in self._network.transfer_by_instance:
            raise UnavailableError("no connection", step="connect", peer=self._target)
        return self

    async def notify(self, body):
        """Tell the other machine which chunks this one has, or has received."""
        network = self._network
        await anyio.sleep(self._delay_seconds)
        if isinstance(body, PieceReceived):
            network.uploads_by_instance[self._target].record_received(
                self._source, body
            )
            return
        transfer = network.transfer_by_instance.get(self._target)
        if transfer is not None:
            transfer.handle_have(self._source, body)

    notify_or_drop = notify

    async def call(self, body, timeout):
        """Push a chunk, or ask for the manifest."""
        network = self._network
        transfer = network.transfer_by_instance[self._target]
        if not isinstance(body, ChunkPush):
            await anyio.sleep(2 * self._delay_seconds)
            return SimpleNamespace(
                content=transfer.manifest_content(body.manifest_digest)
            )
        network.pushes += 1
        pair = self._source, self._target
        network.receiving[pair] = network.receiving.get(pair, 0) + 1
        try:
            await network.carry(self._source, self._target, len(body.data))
        finally:
            network.receiving[pair] -= 1
        reply = await transfer.handle_push(body)
        await anyio.sleep(self._delay_seconds)
        return reply

    async def open_call(self, body):
        """Ask for a chunk."""
        return Replies(self._network, self._source, self._target, body)


class Replies:
    """Replies to a request for a chunk."""

    def __init__(self, network, source, target, request):
        self._network = network
        self._pair = target, source
        self._sent, self._received = anyio.create_memory_object_stream(100)
        self._request = request
        self._is_asked = False

    async def __anext__(self):
        if not self._is_asked:
            self._is_asked = True
            transfer = self._network.transfer_by_instance[self._pair[0]]
            await transfer.handle_chunk_request(self._request, self)
        return await self._received.receive()

    async def send(self, reply):
        """Carry a reply, whose data cross the links."""
        size = len(getattr(reply, "data", b""))
        await self._network.carry(*self._pair, size)
        await self._sent.send(reply)

    finish = send

    async def aclose(self):
        """Read no more replies."""
        self._received.close()


def play(fleet, away):
    """Play a transfer.

    :return: when each target was whole, the copies that the origin sent, and those that
        were pushed to each machine on average.
    """

    async def run_inline(function, *arguments):
        return function(*arguments)

    async def run():
        loop = asyncio.get_running_loop()
        with (
            mock.patch.object(time, "monotonic", loop.time),
            mock.patch.object(time, "clock_gettime", lambda clock: loop.time()),
            mock.patch.object(anyio.to_thread, "run_sync", run_inline),
        ):
            network = Network(fleet, away)
            with anyio.fail_after(600):
                whole = await network.run()
            pushes = network.pushes / fleet.chunks / (len(network.transfer_by_instance))
            return whole, network.origin_chunks / fleet.chunks, pushes

    return anyio.run(run, backend_options={"loop_factory": VirtualTimeLoop})


def run():
    """Return the report."""
    report = Report("weights_bound")
    for fleet in FLEETS:
        for away in AWAY:
            add_case(report, fleet, away)
    return report


def add_case(report, fleet, away):
    """Add the figures of one fleet and one absence of the origin."""
    whole, copies, pushed = play(fleet, away)
    bound = fleet.bound_seconds(away)
    times = sorted(whole.values())
    is_away = away[0] < away[1]
    label = f"{away[0]:g} to {away[1]:g}" if is_away else "never"
    report.add_row(
        "One version to all targets",
        HEADS,
        fleet.name,
        label,
        bound,
        times[0],
        times[-1],
        times[-1] / bound,
        copies,
        pushed,
    )
    name = f"{fleet.name}, origin away: {label}"
    since = away[1] if is_away else 0.0
    report.add_bound(
        f"{name}: last target whole, over the bound, from the origin's return",
        (times[-1] - since) / (bound - since),
        MOST_TIMES_BOUND,
        "the users' 1.3",
    )
