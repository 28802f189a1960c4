"""Execute the plan of a transfer: fetch, verify, store and upload chunks."""

import logging
import math
import random
import time

import anyio

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.weights.chunks import ChunkStoreError
from banyanshore.weights.exceptions import OriginError
from banyanshore.weights.manifest import ManifestError, parse_manifest
from banyanshore.weights.messages import (
    Availability,
    ChunkRequest,
    ChunkUnavailable,
    HaveUpdate,
    ManifestReply,
    ManifestRequest,
    PieceReceived,
)
from banyanshore.weights.placement import Member, Placement
from banyanshore.weights.planner import TransferPlanner
from banyanshore.weights.planner_rows import Fetch, PlannerOptions

logger = logging.getLogger(__name__)

# Seconds between ticks of the planner.
TICK_SECONDS = 0.05
# Seconds between updates to neighbours while a transfer runs.
HAVE_INTERVAL = 0.2
# Maximum number of neighbours that chose this agent, besides those that it chose.
MAX_EXTRA_NEIGHBOURS = 12


class UnavailableChunkError(BanyanshoreError):
    """Signal that a peer doesn't send a chunk.

    :param availability: reason that the peer gave, empty if it didn't reply in time.
    """

    def __init__(self, availability, peer):
        super().__init__(f"chunk is {availability}", step="fetch-chunk", peer=peer)
        self.availability = availability


class Transfer:
    """Transfer one version to this agent, and upload it to peers.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    :param spec: the :class:`~banyanshore.state.views.ModelSpec`.
    :param rosters: the :class:`~banyanshore.agent.announcer.RosterHolder`.
    :param uploads: the :class:`~banyanshore.weights.uploads.Uploads`.
    :param serves_model: callable that returns whether a service serves the model.
    :ivar asks_other_data_centres: whether other data centres may have started the
        transfer before this agent did.
    """

    asks_other_data_centres = False

    def __init__(
        self,
        settings,
        spec,
        store,
        origin,
        links,
        rosters,
        metrics,
        uploads,
        serves_model,
    ):
        self.spec = spec
        self.manifest = None
        self.planner = None
        self.completed = anyio.Event()
        self.completed_at = math.inf
        self._settings = settings
        self._options = settings.weights
        self._store = store
        self._origin = origin
        self._links = links
        self._rosters = rosters
        self._metrics = metrics
        self._serves_model = serves_model
        self._uploads = uploads
        self._random = random.Random()
        self._extra_neighbours = {}
        self._address_by_instance = {}
        self._last_have = None
        self._next_have_at = 0.0
        self._roster_digest = None
        # Set when a fetch ends, so that the next one starts without a pause.
        self._fetch_ended = anyio.Event()

    async def run(self):
        """Fetch the complete version and serve peers, until cancelled."""
        await self._wait_for_rosters()
        self.manifest = await self._fetch_manifest()
        have = 0
        for index, digest in enumerate(self.manifest.chunk_digests):
            if await self._is_stored(index, digest):
                have |= 1 << index
        self._start_planner(have)
        async with anyio.create_task_group() as tasks:
            while True:
                now = time.monotonic()
                self._refresh_members(now)
                for fetch in self._next_fetches(now):
                    tasks.start_soon(self._fetch, fetch)
                await self._send_have_updates(now)
                if self.planner.is_complete and not self.completed.is_set():
                    logger.info("version %s is complete", self.spec.version)
                    self.completed_at = now
                    self.completed.set()
                delay = HAVE_INTERVAL if self.planner.is_complete else TICK_SECONDS
                with anyio.move_on_after(delay):
                    await self._fetch_ended.wait()
                self._fetch_ended = anyio.Event()

    def _next_fetches(self, now):
        """Return the fetches to start now."""
        return self.planner.tick(now)

    async def handle_chunk_request(self, request, responder):
        """Send a chunk to a peer, or the reason why it is unavailable."""
        refusal = self._refuse_upload(request)
        if refusal is not None:
            await responder.finish(ChunkUnavailable(refusal))
            return
        digest = self.manifest.chunk_digests[request.index]
        with self._uploads.track(request.data_centre):
            data = await anyio.to_thread.run_sync(self._store.get, digest)
            if data is None:
                await responder.finish(ChunkUnavailable(Availability.MISSING))
                return
            await self._uploads.send(request.data_centre, data, responder)
            self.planner.uploads += 1

    def _refuse_upload(self, request):
        if self.planner is None or request.manifest_digest != self.manifest.digest:
            # This agent may not have received the version yet.
            return Availability.QUEUED
        if not 0 <= request.index < self.manifest.chunk_count:
            return Availability.MISSING
        if not self.planner.have >> request.index & 1:
            return self.planner.availability(request.index, request.data_centre)
        is_busy = not self.planner.may_upload(self._uploads.active)
        if is_busy or not self._uploads.has_room(request.data_centre):
            return Availability.BUSY
        return None

    def handle_have(self, peer, update):
        """Record the chunks of a peer, and make it a neighbour if it isn't one yet."""
        if self.planner is None or update.manifest_digest != self.manifest.digest:
            return
        if peer not in self.planner.neighbour_by_instance:
            if len(self._extra_neighbours) >= MAX_EXTRA_NEIGHBOURS:
                return
            self._extra_neighbours[peer] = None
            self._choose_neighbours()
        have = int.from_bytes(update.bitmap, "little")
        self.planner.record_have(peer, have, update.uploads)

    def manifest_content(self, digest):
        """Return the manifest as bytes, empty if it isn't the requested one."""
        if self.manifest is not None and self.manifest.digest == digest:
            return self.manifest.content
        return b""

    async def _wait_for_rosters(self):
        # An agent that knows no peers would fetch all chunks from the origin.
        expected = {peer.data_centre for peer in self._settings.entries}
        expected.add(self._settings.data_centre)
        with anyio.move_on_after(self._options.roster_wait):
            while not self._has_rosters(expected):
                await anyio.sleep(TICK_SECONDS)

    def _has_rosters(self, expected):
        rosters = self._rosters.by_data_centre
        own = rosters.get(self._settings.data_centre)
        if own is None or expected - rosters.keys():
            return False
        return any(row.instance == self._settings.instance for row in own.rows)

    async def _is_stored(self, index, digest):
        if not self._store.contains(digest):
            return False
        data = await anyio.to_thread.run_sync(self._store.get, digest)
        return data is not None and self.manifest.matches_digest(index, data)

    def _planner_options(self):
        options = self._options
        return PlannerOptions(
            max_origin_fetches=options.max_origin_fetches,
            max_peer_fetches=options.max_peer_fetches,
            max_uploads=options.max_uploads,
            takeover_timeout=options.grant_seconds,
            asks_other_data_centres=self.asks_other_data_centres,
        )

    def _start_planner(self, have):
        self.planner = TransferPlanner(
            self._settings.instance,
            self._settings.data_centre,
            self.manifest.chunk_digests,
            self._build_placement(),
            self._planner_options(),
            self._random,
            time.monotonic(),
            have,
        )
        self._roster_digest = self._rosters.digest
        self._choose_neighbours()

    def _refresh_members(self, now):
        if self._roster_digest == self._rosters.digest:
            return
        self._roster_digest = self._rosters.digest
        self.planner.set_placement(now, self._build_placement())
        self._choose_neighbours()

    def _build_placement(self):
        members = [
            Member(
                self._settings.instance,
                self._settings.data_centre,
                self._settings.region,
            )
        ]
        self._address_by_instance = {}
        for roster in self._rosters.by_data_centre.values():
            for row in roster.rows:
                if not self._serves_model(row.service):
                    continue
                self._address_by_instance[row.instance] = row.address
                if row.instance != self._settings.instance:
                    members.append(Member(row.instance, roster.data_centre, row.region))
        return Placement(members)

    def _choose_neighbours(self):
        roster = self._rosters.by_data_centre.get(self._settings.data_centre)
        candidates = sorted(
            row.instance
            for row in (roster.rows if roster else ())
            if row.instance in self._address_by_instance
            and row.instance != self._settings.instance
        )
        # Seeded by its name, this agent chooses the same neighbours while they live.
        seeded_random = random.Random(self._settings.instance)
        seeded_random.shuffle(candidates)
        chosen = candidates[: self._options.neighbours]
        extra = [name for name in self._extra_neighbours if name in candidates]
        self._extra_neighbours = dict.fromkeys(extra)
        self.planner.set_neighbours(dict.fromkeys(chosen + extra))
        self._last_have = None

    async def _send_have_updates(self, now):
        have = (self.planner.have, self.planner.uploads)
        if have == self._last_have or now < self._next_have_at:
            return
        self._last_have = have
        self._next_have_at = now + HAVE_INTERVAL
        size = (self.manifest.chunk_count + 7) // 8
        update = HaveUpdate(
            self.manifest.digest, have[0].to_bytes(size, "little"), have[1]
        )
        for name in self.planner.neighbour_by_instance:
            link = self._links.get(self._address_by_instance[name], name)
            if not link.is_open:
                # The link is still opening: send the update again soon.
                self._last_have = None
            await link.notify_or_drop(update)

    async def _fetch_manifest(self):
        started_at = time.monotonic()
        while True:
            content = await self._fetch_manifest_from_peers()
            try:
                if content:
                    return parse_manifest(content, self.spec.manifest_digest)
                if self._may_fetch_from_origin(time.monotonic() - started_at):
                    return await self._origin.fetch_manifest(
                        self.spec.manifest_url, self.spec.manifest_digest
                    )
            except (ManifestError, OriginError) as error:
                logger.warning("manifest not fetched: %s", error)
                await anyio.sleep(1.0)
            await anyio.sleep(0.2)

    def _may_fetch_from_origin(self, waited):
        placement = self._build_placement()
        role = placement.role(
            self._settings.instance,
            self._settings.data_centre,
            self.spec.manifest_digest,
        )
        position = role.rank + (1 if role.upstream else 0)
        return waited >= position * self._options.grant_seconds

    async def _fetch_manifest_from_peers(self):
        placement = self._build_placement()
        digest = self.spec.manifest_digest
        own = self._settings.data_centre
        names = placement.holders(own, digest)[:3]
        upstream = placement.upstream(own, digest)
        if upstream:
            names += placement.holders(upstream, digest)[:2]
        for name in names:
            address = self._address_by_instance.get(name)
            if address is None or name == self._settings.instance:
                continue
            try:
                connection = await self._links.get(address, name).get_connection(0.5)
                reply = await connection.call(ManifestRequest(digest), 2.0)
            except BanyanshoreError:
                continue
            if isinstance(reply, ManifestReply) and reply.content:
                return reply.content
        return b""

    async def _fetch(self, fetch: Fetch):
        try:
            if fetch.from_origin:
                data = await self._fetch_from_origin(fetch.index)
            else:
                data = await self._fetch_from_peer(fetch)
            await self._verify_and_store(fetch, data)
        except UnavailableChunkError as error:
            now = time.monotonic()
            self.planner.record_failure(now, fetch, error.availability)
        except ChunkStoreError as error:
            logger.error("chunk %d not stored: %s", fetch.index, error)
            self.planner.record_failure(time.monotonic(), fetch)
        except BanyanshoreError as error:
            logger.warning("chunk %d not fetched: %s", fetch.index, error)
            self.planner.record_failure(time.monotonic(), fetch)
        finally:
            self._fetch_ended.set()

    async def _fetch_from_origin(self, index):
        """Return the bytes of a chunk from the origin, without verifying its digest."""
        return await self._origin.fetch_chunk(
            self.spec.weights_url, self.manifest, index
        )

    async def _store_chunk(self, index, data):
        """Store a verified chunk."""
        digest = self.manifest.chunk_digests[index]
        await anyio.to_thread.run_sync(self._store.put, digest, data)

    async def _verify_and_store(self, fetch, data):
        is_valid = await self._is_valid(fetch.index, data)
        source = "origin" if fetch.from_origin else "peer"
        self._metrics.weight_bytes.labels(source).inc(len(data))
        if not is_valid:
            self._metrics.rejected_chunks.inc()
            logger.warning(
                "chunk %d from %s has a wrong digest", fetch.index, fetch.source or "-"
            )
            self.planner.record_corrupt(time.monotonic(), fetch)
            return
        await self._store_chunk(fetch.index, data)
        self.planner.record_received(fetch.index)

    async def _is_valid(self, index, data):
        """Return whether the bytes that arrived are those of a chunk."""
        return await anyio.to_thread.run_sync(self.manifest.matches_digest, index, data)

    async def _fetch_from_peer(self, fetch):
        address = self._address_by_instance.get(fetch.source)
        if address is None:
            raise UnavailableChunkError("", fetch.source)
        link = self._links.get(address, fetch.source)
        connection = await link.get_connection(1.0)
        digest = bytes.fromhex(self.manifest.chunk_digests[fetch.index])
        own = self._settings.data_centre
        request = ChunkRequest(self.manifest.digest, fetch.index, digest, own)
        replies = await connection.open_call(request)
        start, end = self.manifest.chunk_range(fetch.index)
        body = bytearray()
        try:
            while len(body) < end - start:
                with anyio.fail_after(self._options.stall_timeout):
                    reply = await anext(replies)
                if isinstance(reply, ChunkUnavailable):
                    raise UnavailableChunkError(reply.availability, fetch.source)
                body += reply.data
                if reply.sent_at:
                    delay = time.monotonic() - reply.sent_at
                    await connection.notify(PieceReceived(own, len(reply.data), delay))
        except (TimeoutError, StopAsyncIteration):
            raise UnavailableChunkError("", fetch.source) from None
        finally:
            with anyio.CancelScope(shield=True):
                await replies.aclose()
        return bytes(body)
