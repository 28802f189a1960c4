"""Distribute a version down a tree of relays, with fetches as the fallback.

A member stores the chunks that its parent pushes, reports to the parent which chunks it
has, and pushes to its children the chunks that they lack. A member that receives no
chunk for a while fetches from its neighbours and the origin, as in any other transfer.
"""

import logging
import math
import time
from dataclasses import replace
from itertools import count

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.weights.carried import CarriedVersions
from banyanshore.weights.exceptions import OriginAwayError, OriginError
from banyanshore.weights.exchange import SettledChunks
from banyanshore.weights.manifest import Manifest, digest_of, parse_manifest
from banyanshore.weights.messages import HaveUpdate, ManifestRequest
from banyanshore.weights.named_digests import NamedDigests, list_retry_seconds
from banyanshore.weights.relay_child import Child
from banyanshore.weights.relay_fetches import (
    MAX_BACKOFF,
    URGENT_SHARE,
    is_stalled,
    max_concurrent_pushes,
    next_fetches,
    origin_fetch_limit,
)
from banyanshore.weights.relay_messages import ChunkPush, ChunkPushReply
from banyanshore.weights.transfer import Transfer

logger = logging.getLogger(__name__)

# Seconds before the digests are requested again.
DIGESTS_RETRY_SECONDS = 0.2
# Seconds before a member other than the root requests them from the origin again. In
# between it asks peers, so that an origin that returns isn't busy with digests.
DIGESTS_FALLBACK_SECONDS = 2.0
# Timeout in seconds for connecting to a peer, and for its manifest.
PEER_TIMEOUT = 0.5
# Timeout in seconds for a child to accept a pushed chunk. The connection to a lost
# child ends much earlier; over an open one, a repeated chunk would queue behind the
# first.
PUSH_TIMEOUT = 60.0
# Seconds before another chunk is pushed to a child that did not accept one.
PUSH_RETRY_SECONDS = 0.15
# Seconds between checks whether more concurrent pushes to a child are allowed.
URGENCY_INTERVAL = 0.2


class RelayedTransfer(Transfer):
    """Transfer one version to this member of a relay tree, and on to its children.

    :param find_origin: callable that returns the
        :class:`~banyanshore.weights.staged.StagedOrigin`, or ``None``.
    :param chunk_bytes: size of each chunk.
    :param known_since: time since boot at which the version became known.
    :param chunk_count: number of chunks that is declared, 0 if unknown.
    :ivar urgent_from: time since boot from which the transfer counts as late.
    """

    def __init__(
        self, find_origin, chunk_bytes, known_since, *arguments, chunk_count=0
    ):
        super().__init__(*arguments)
        switch_seconds = self._settings.version_switch_seconds
        self.known_since = known_since
        self.urgent_from = known_since + URGENT_SHARE * switch_seconds
        self._find_origin = find_origin
        self._chunk_bytes = chunk_bytes
        self._chunk_count = chunk_count
        # The lists of digests that have been received, once there is one.
        self._named = None
        self._list_doubted = anyio.Event()
        # Monotonic times of the last new chunk, and of the last pushed one.
        self._progressed_at = self._pushed_at = time.monotonic()
        # Whether the origin could not be reached when it was last asked.
        self._is_origin_away = False
        # Time of the first chunk fetched from the origin since the last pushed one.
        self._fetched_since = None
        self._child_by_instance = {}
        self._settled = SettledChunks()
        # Set when the chunks of this member or of a child change.
        self._chunks_changed = anyio.Event()
        self._tasks = None
        # Chunks in the last update to each member that pushes to this one.
        self._reported_by_instance = {}
        self._carried = CarriedVersions(switch_seconds)
        self._carried.add(self)

    def join(self, carried):
        """Share the links with the transfers of other versions.

        :param carried: the :class:`~banyanshore.weights.carried.CarriedVersions`.
        """
        self._carried = carried
        carried.add(self)

    @property
    def version(self):
        """Return the number of the version."""
        return int(self.spec.version)

    @property
    def progress(self):
        """Return the fraction of the chunks that this member has."""
        if self.planner is None:
            return 0.0
        return self.planner.have.bit_count() / self.manifest.chunk_count

    @property
    def progressed_at(self):
        """Return the monotonic time of the last new chunk, or of the start."""
        return self._progressed_at

    @property
    def pushed_at(self):
        """Return the monotonic time of the last pushed chunk, or of the start."""
        return self._pushed_at

    @property
    def is_urgent(self):
        """Return whether the transfer counts as late."""
        return boottime_now() >= self.urgent_from

    async def run(self):
        """Fetch the version and push it to the children, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._resolve_doubts)
            await super().run()

    async def handle_push(self, push):
        """Store a pushed chunk and return the :class:`ChunkPushReply`.

        The sender's list may differ from the one here: the chunk's own digest counts.
        """
        if self.planner is None or not 0 <= push.index < self.manifest.chunk_count:
            return ChunkPushReply(False)
        if self.planner.have >> push.index & 1:
            return ChunkPushReply(True)
        if not self._check_arrival(push.index, digest_of(push.data)):
            logger.warning("pushed chunk is wrong", extra={"chunk": push.index})
            return ChunkPushReply(False)
        started_at = time.monotonic()
        await self._store_chunk(push.index, push.data)
        self.planner.record_received(push.index)
        self._pushed_at, self._fetched_since = time.monotonic(), None
        self._notify_chunks_changed()
        return ChunkPushReply(True, time.monotonic() - started_at)

    def handle_have(self, peer, update):
        """Record the chunks that a neighbour or a child reports."""
        super().handle_have(peer, update)
        child = self._child_by_instance.get(peer)
        if child is None or self.manifest is None:
            return
        if update.manifest_digest == self.manifest.digest:
            child.have = int.from_bytes(update.bitmap, "little")
            self._notify_chunks_changed()

    def pushes_to(self, child_name):
        """Return the number of chunks that are being pushed to a child."""
        child = self._child_by_instance.get(child_name)
        return child.in_flight.bit_count() if child else 0

    def has_chunk_for(self, child_name):
        """Return whether there is a chunk here to push to a child now."""
        child = self._child_by_instance.get(child_name)
        if child is None or self.planner is None:
            return False
        return self._next_chunk(child) > 0

    def missing_at(self, child_name):
        """Return the fraction of the chunks that a child lacks."""
        child = self._child_by_instance.get(child_name)
        if child is None or self.manifest is None:
            return 1.0
        return 1.0 - child.have.bit_count() / self.manifest.chunk_count

    def wants_origin_fetch(self):
        """Return whether there are chunks that the origin isn't asked for yet.

        They are still wanted while the origin is away: the version that it sends first
        when it returns must not be the one that happens to ask first.
        """
        if self._is_origin_away:
            return self.progress < 1
        return self.planner is not None and self.planner.wants_origin_fetch()

    def wake_pushes(self):
        """Have the pushes to children checked again."""
        changed, self._chunks_changed = self._chunks_changed, anyio.Event()
        changed.set()

    def manifest_content(self, digest):
        """Return the manifest as bytes, empty if it isn't the requested one.

        :param digest: digest of the manifest, or ``MODEL/VERSION``.
        """
        version_id = f"{self.spec.name}/{self.spec.version}"
        if self.manifest is None or self._named.are_in_doubt:
            return b""
        if digest in (version_id, self.manifest.digest):
            return self.manifest.content
        return b""

    def names_chunk(self, index, digest):
        """Return whether a list names a digest for a chunk."""
        return self._named is not None and self._named.names(index, digest)

    def lacks_chunk(self, index):
        """Return whether a chunk of this version has not arrived yet."""
        if self.planner is None or not 0 <= index < self.manifest.chunk_count:
            return False
        return not self.planner.have >> index & 1

    def _notify_chunks_changed(self):
        for transfer in self._carried:
            transfer.wake_pushes()

    async def _wait_for_rosters(self):
        """Return immediately: members become known together with the version."""

    def _next_fetches(self, now):
        self._refresh_children()
        is_root = self._rosters.tree.root == self._settings.instance
        if is_root and self._carried.must_leave_origin(self):
            return []
        return next_fetches(
            self.planner,
            now,
            is_root,
            self._is_stalled(now),
            0 if is_root else self._origin_limit(now),
        )

    def _origin_limit(self, now):
        rank = self._rosters.tree.origin_rank(self._settings.instance)
        since = self._fetched_since
        return origin_fetch_limit(
            now - self._carried.pushed_at(),
            rank,
            None if since is None else now - since,
        )

    def _is_stalled(self, now):
        parent = self._rosters.tree.parent(self._settings.instance)
        is_receiving = self._links.is_receiving_frame_from(parent)
        return is_stalled(now - self._carried.progressed_at(), is_receiving)

    def seconds_without_chunk(self, now):
        """Return the seconds since the last new chunk, or since the start if none."""
        return now - self._progressed_at

    def _planner_options(self):
        return replace(super()._planner_options(), max_backoff=MAX_BACKOFF)

    def _start_planner(self, have):
        self._settled = SettledChunks(have)
        super()._start_planner(have)

    async def _send_have_updates(self, now):
        await super()._send_have_updates(now)
        tree = self._rosters.tree
        own = self._settings.instance
        for name in (tree.parent(own), *tree.partners(own)):
            await self._report_to_sender(name)

    async def _report_to_sender(self, name):
        """Tell a member that pushes chunks here which ones have arrived."""
        address = self._address_by_instance.get(name)
        have = self.planner.have
        if address is None or self._reported_by_instance.get(name) == have:
            return
        link = self._links.get(address, name)
        if not link.is_open:
            return
        self._reported_by_instance[name] = have
        size = (self.manifest.chunk_count + 7) // 8
        await link.notify_or_drop(
            HaveUpdate(self.manifest.digest, have.to_bytes(size, "little"), 0)
        )

    def _refresh_children(self):
        tree = self._rosters.tree
        own = self._settings.instance
        names = (*tree.children(own), *tree.partners(own))
        for name in self._child_by_instance.keys() - set(names):
            self._child_by_instance.pop(name).scope.cancel()
        for name in names:
            if name not in self._child_by_instance:
                self._start_child(name)
            self._child_by_instance[name].share = tree.push_share(own, name)

    def _start_child(self, name):
        is_local = self._rosters.data_centre_of(name) == self._settings.data_centre
        child = Child(name, is_local)
        self._child_by_instance[name] = child
        self._tasks.start_soon(self._push_forever, child)

    async def _push_forever(self, child):
        with child.scope:
            async with anyio.create_task_group() as tasks:
                while True:
                    chunk = self._next_chunk(child)
                    if chunk and self._may_push(child):
                        child.in_flight |= chunk
                        tasks.start_soon(self._push_chunk, child, chunk)
                        continue
                    # More pushes are allowed once the transfer counts as late, or
                    # once another sender should have pushed a chunk.
                    missing = self.planner.have & ~child.have & ~child.in_flight
                    timeout = URGENCY_INTERVAL if missing else math.inf
                    with anyio.move_on_after(timeout):
                        await self._chunks_changed.wait()

    def _next_chunk(self, child):
        return child.next_chunk(
            self.planner.have,
            self.manifest.chunk_count,
            self._settled.at(time.monotonic()),
        )

    def _may_push(self, child):
        limit = max_concurrent_pushes(
            child.is_local,
            self.is_urgent,
            child.push_times.chunk_seconds,
        )
        return self._carried.may_push(
            self, child.name, limit, child.push_times.chunk_seconds
        )

    async def _push_chunk(self, child, chunk):
        try:
            if await self._push(child, chunk.bit_length() - 1):
                child.have |= chunk
            else:
                await anyio.sleep(PUSH_RETRY_SECONDS)
        finally:
            child.in_flight &= ~chunk
            self._notify_chunks_changed()

    async def _push(self, child, index):
        """Push a chunk to a child; return whether the child accepted it."""
        address = self._address_by_instance.get(child.name)
        if address is None:
            return False
        data = self._store.get(self.manifest.chunk_digests[index])
        push = ChunkPush(self.manifest.digest, index, data)
        try:
            link = self._links.get(address, child.name)
            connection = await link.get_connection(PEER_TIMEOUT)
            started_at = time.monotonic()
            reply = await connection.call(push, PUSH_TIMEOUT)
        except BanyanshoreError as error:
            logger.info("chunk not pushed", extra={"why": str(error)})
            return False
        arrived_at = time.monotonic() - reply.handling_seconds
        child.push_times.record(started_at, arrived_at)
        return reply.is_accepted

    def _check_arrival(self, index, digest):
        """Return whether a chunk that arrived is valid, and learn what it tells."""
        if not self._named.names(index, digest):
            self._named.record_unnamed(index, digest)
            if self._named.are_in_doubt:
                self._list_doubted.set()
            return False
        self._named.record_valid(index)
        if digest != self.manifest.chunk_digests[index]:
            logger.info("digest corrected", extra={"chunk": index})
            self.manifest = self.manifest.with_digest(index, digest)
            # Peers identify the chunks that are here by the digest of the manifest.
            self._reported_by_instance.clear()
            self._last_have = None
        return True

    async def _is_valid(self, index, data):
        digest = await anyio.to_thread.run_sync(digest_of, data)
        return self._check_arrival(index, digest)

    async def _resolve_doubts(self):
        """Request further lists of digests while the known ones are in doubt."""
        requests = 0
        while True:
            await self._list_doubted.wait()
            self._list_doubted = anyio.Event()
            for attempt in count():
                if not self._named.are_in_doubt:
                    break
                digests = await self._fetch_another_list(attempt)
                is_new = self._named.add_list(digests)
                logger.warning(
                    "digests in doubt",
                    extra={
                        "model_version": self.version,
                        "received": bool(digests),
                        "is_new": is_new,
                    },
                )
                await anyio.sleep(list_retry_seconds(requests))
                requests += 1

    async def _fetch_another_list(self, attempt):
        """Return a list of a peer, whose answers cost nothing, or of the origin."""
        manifest = await self._fetch_manifest_from_peers(attempt)
        if manifest is not None and not self._named.has(manifest.chunk_digests):
            return manifest.chunk_digests
        return await self._fetch_digests_from_origin()

    async def _fetch_manifest(self):
        manifest = await self._fetch_first_manifest()
        self._named = NamedDigests(manifest.chunk_digests)
        return manifest

    async def _fetch_first_manifest(self):
        retry_origin_at = -math.inf
        for attempt in count():
            if time.monotonic() >= retry_origin_at:
                digests = await self._fetch_digests_from_origin()
                if digests:
                    return self._make_manifest(digests)
                is_root = self._rosters.tree.root == self._settings.instance
                pause = 0.0 if is_root else DIGESTS_FALLBACK_SECONDS
                retry_origin_at = time.monotonic() + pause
            manifest = await self._fetch_manifest_from_peers(attempt)
            if manifest is not None:
                return manifest
            await anyio.sleep(DIGESTS_RETRY_SECONDS)
        return None

    async def _fetch_digests_from_origin(self):
        origin = self._find_origin()
        if origin is None:
            return ()
        try:
            digests = await origin.fetch_digests(self.spec.name, self.version)
            self._is_origin_away = False
            self._check_count(len(digests))
            return digests
        except OriginError as error:
            self._is_origin_away = isinstance(error, OriginAwayError)
            logger.warning("digests not fetched", extra={"why": str(error)})
            return ()

    def _check_count(self, chunk_count):
        """Check the length of a list, which may have been cut off on its way.

        :raises OriginError: the declaration names another number of chunks.
        """
        if self._chunk_count and chunk_count != self._chunk_count:
            raise OriginError(
                f"{chunk_count} digests, {self._chunk_count} chunks are declared",
                step="fetch-digests",
            )

    def _make_manifest(self, digests):
        length = self._chunk_bytes * len(digests)
        return Manifest(
            self.spec.name, self.spec.version, length, self._chunk_bytes, digests
        )

    async def _fetch_manifest_from_peers(self, attempt):
        """Ask the parent and one other peer, a different one at each attempt."""
        self._build_placement()
        parent = self._rosters.tree.parent(self._settings.instance)
        others = sorted(
            self._address_by_instance.keys() - {parent, self._settings.instance}
        )
        names = [parent] if parent in self._address_by_instance else []
        if others:
            names.append(others[attempt % len(others)])
        version_id = f"{self.spec.name}/{self.spec.version}"
        for name in names:
            try:
                link = self._links.get(self._address_by_instance[name], name)
                connection = await link.get_connection(PEER_TIMEOUT)
                reply = await connection.call(ManifestRequest(version_id), PEER_TIMEOUT)
                if reply.content:
                    manifest = parse_manifest(reply.content)
                    self._check_count(manifest.chunk_count)
                    return manifest
            except BanyanshoreError as error:
                logger.info("no manifest from peer", extra={"why": str(error)})
        return None

    async def _fetch_from_origin(self, index):
        origin = self._find_origin()
        if origin is None:
            raise OriginError("no weights origin is declared", step="fetch-chunk")
        try:
            data = await origin.fetch_chunk(
                self.spec.name, self.version, index, self._chunk_bytes
            )
            self._is_origin_away = False
        except OriginError as error:
            self._is_origin_away = isinstance(error, OriginAwayError)
            raise
        if self._fetched_since is None:
            self._fetched_since = time.monotonic()
        return data

    async def _store_chunk(self, index, data):
        self._store.put(self.manifest.chunk_digests[index], data)
        self._progressed_at = time.monotonic()
        self._settled.record(self._progressed_at, index)
        self._notify_chunks_changed()
