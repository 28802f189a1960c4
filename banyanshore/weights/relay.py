"""A transfer down the tree of relays, which is repaired by asking neighbours.

A member takes what its parent pushes, tells it what it has, and pushes on what its
children lack. One that gets nothing for a while asks its neighbours and the origin, as
in any other transfer.
"""

import logging
import time
from dataclasses import replace

import anyio

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.weights.exceptions import OriginError
from banyanshore.weights.manifest import Manifest, parse_manifest
from banyanshore.weights.messages import HaveUpdate, ManifestRequest
from banyanshore.weights.relay_fetches import (
    MAX_BACKOFF,
    URGENT_PART,
    next_fetches,
    pushes_at_once,
)
from banyanshore.weights.relay_messages import ChunkPush, ChunkPushReply
from banyanshore.weights.transfer import Transfer

logger = logging.getLogger(__name__)

# Seconds before the digests are asked for again.
DIGESTS_RETRY_SECONDS = 0.2
# Seconds for a peer to send the digests, or to be connected to.
PEER_SECONDS = 0.5
# Seconds for a pushed chunk to be taken.
PUSH_SECONDS = 3.0
# Seconds before a child that did not take a chunk is pushed another one.
PUSH_RETRY_SECONDS = 0.15
# Seconds between looks whether more chunks may be on their way to a child.
URGENCY_INTERVAL = 0.2
# Seconds without a chunk after which what is missing is asked for.
STALL_SECONDS = 1.5


class Child:
    """What is known of an instance that chunks are pushed to.

    :ivar have: chunks that it has, as bits.
    :ivar in_flight: chunks on their way to it, as bits.
    """

    def __init__(self, scope):
        self.scope = scope
        self.have = 0
        self.in_flight = 0


class RelayedTransfer(Transfer):
    """The transfer of one version to this member of a tree, and on to its children.

    :param find_origin: callable that returns the
        :class:`~banyanshore.weights.staged.StagedOrigin`, or ``None``.
    :param chunk_bytes: size of each chunk.
    :param heard_at: monotonic time at which the version was heard of.
    :ivar urgent_from: time from which the version is late.
    """

    def __init__(self, find_origin, chunk_bytes, heard_at, *arguments):
        super().__init__(*arguments)
        switch_seconds = self._settings.version_switch_seconds
        self.urgent_from = heard_at + URGENT_PART * switch_seconds
        self._find_origin = find_origin
        self._chunk_bytes = chunk_bytes
        self._progressed_at = time.monotonic()
        self._child_by_instance = {}
        self._changed = anyio.Event()
        self._tasks = None
        # The parent that was told last, and what it was told.
        self._told_parent = None

    @property
    def version(self):
        """Return the number of the version."""
        return int(self.spec.version)

    @property
    def progress(self):
        """Return the part of the chunks that is here."""
        if self.planner is None:
            return 0.0
        return self.planner.have.bit_count() / self.manifest.chunk_count

    async def run(self):
        """Fetch all of the version and push it on, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await super().run()

    async def handle_push(self, push):
        """Take a chunk that was pushed here; return the :class:`ChunkPushReply`."""
        if self.planner is None or push.manifest_digest != self.manifest.digest:
            return ChunkPushReply(False)
        if self.planner.have >> push.index & 1:
            return ChunkPushReply(True)
        if not self.manifest.matches_digest(push.index, push.data):
            logger.warning("pushed chunk is wrong", extra={"chunk": push.index})
            return ChunkPushReply(False)
        await self._keep(push.index, push.data)
        self.planner.record_received(push.index)
        self._note_change()
        return ChunkPushReply(True)

    def handle_have(self, peer, update):
        """Take what a neighbour or a child tells."""
        super().handle_have(peer, update)
        child = self._child_by_instance.get(peer)
        if child is None or self.manifest is None:
            return
        if update.manifest_digest == self.manifest.digest:
            child.have = int.from_bytes(update.bitmap, "little")
            self._note_change()

    def manifest_content(self, digest):
        """Return the manifest as bytes, empty if it isn't the one asked for.

        :param digest: its digest, or ``MODEL/VERSION``.
        """
        wanted = f"{self.spec.name}/{self.spec.version}"
        if self.manifest is not None and digest in (wanted, self.manifest.digest):
            return self.manifest.content
        return b""

    def _note_change(self):
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def _wait_for_rosters(self):
        """Begin at once: whoever tells of the version tells of the members too."""

    def _next_fetches(self, now):
        self._refresh_children()
        is_root = self._rosters.tree.root == self._settings.instance
        is_stalled = self.seconds_without_chunk(now) > STALL_SECONDS
        return next_fetches(self.planner, now, is_root, is_stalled)

    def seconds_without_chunk(self, now):
        """Return how long ago the last chunk came, or the transfer began."""
        return now - self._progressed_at

    def _planner_options(self):
        return replace(super()._planner_options(), max_backoff=MAX_BACKOFF)

    async def _tell_neighbours(self, now):
        await super()._tell_neighbours(now)
        parent = self._rosters.tree.parent(self._settings.instance)
        address = self._address_by_instance.get(parent)
        have = self.planner.have
        if address is None or (parent, have) == self._told_parent:
            return
        link = self._links.get(address, parent)
        if not link.is_open:
            return
        self._told_parent = (parent, have)
        size = (self.manifest.chunk_count + 7) // 8
        await link.notify_or_drop(
            HaveUpdate(self.manifest.digest, have.to_bytes(size, "little"), 0)
        )

    def _refresh_children(self):
        names = self._rosters.tree.children(self._settings.instance)
        for name in self._child_by_instance.keys() - set(names):
            self._child_by_instance.pop(name).scope.cancel()
        for name in names:
            if name not in self._child_by_instance:
                self._start_child(name)

    def _start_child(self, name):
        child = Child(anyio.CancelScope())
        self._child_by_instance[name] = child
        is_near = self._rosters.data_centre_of(name) == self._settings.data_centre
        self._tasks.start_soon(self._feed_child, name, child, is_near)

    async def _feed_child(self, name, child, is_near):
        with child.scope:
            async with anyio.create_task_group() as tasks:
                for rank in range(pushes_at_once(is_near, True)):
                    tasks.start_soon(self._push_forever, name, child, is_near, rank)

    async def _push_forever(self, name, child, is_near, rank):
        while True:
            missing = self.planner.have & ~child.have & ~child.in_flight
            if not missing:
                await self._changed.wait()
                continue
            is_urgent = time.monotonic() >= self.urgent_from
            if rank >= pushes_at_once(is_near, is_urgent):
                await anyio.sleep(URGENCY_INTERVAL)
                continue
            chunk = missing & -missing
            child.in_flight |= chunk
            try:
                is_accepted = await self._push(name, chunk.bit_length() - 1)
            finally:
                child.in_flight &= ~chunk
            if is_accepted:
                child.have |= chunk
            else:
                await anyio.sleep(PUSH_RETRY_SECONDS)

    async def _push(self, name, index):
        """Push a chunk to a child; tell whether it has it."""
        address = self._address_by_instance.get(name)
        if address is None:
            return False
        data = self._store.get(self.manifest.chunk_digests[index])
        push = ChunkPush(self.manifest.digest, index, data)
        try:
            link = self._links.get(address, name)
            connection = await link.get_connection(PEER_SECONDS)
            reply = await connection.call(push, PUSH_SECONDS)
        except BanyanshoreError as error:
            logger.info("chunk not pushed", extra={"why": str(error)})
            return False
        return reply.is_accepted

    async def _fetch_manifest(self):
        while True:
            digests = await self._digests_from_origin()
            if digests:
                return self._make_manifest(digests)
            manifest = await self._manifest_from_any_peer()
            if manifest is not None:
                return manifest
            await anyio.sleep(DIGESTS_RETRY_SECONDS)

    async def _digests_from_origin(self):
        origin = self._find_origin()
        if origin is None:
            return ()
        try:
            return await origin.fetch_digests(self.spec.name, self.version)
        except OriginError as error:
            logger.warning("digests not fetched", extra={"why": str(error)})
            return ()

    def _make_manifest(self, digests):
        length = self._chunk_bytes * len(digests)
        return Manifest(
            self.spec.name, self.spec.version, length, self._chunk_bytes, digests
        )

    async def _manifest_from_any_peer(self):
        self._build_placement()
        wanted = f"{self.spec.name}/{self.spec.version}"
        for name, address in self._address_by_instance.items():
            if name == self._settings.instance:
                continue
            try:
                link = self._links.get(address, name)
                connection = await link.get_connection(PEER_SECONDS)
                reply = await connection.call(ManifestRequest(wanted), PEER_SECONDS)
                if reply.content:
                    return parse_manifest(reply.content)
            except BanyanshoreError as error:
                logger.info("peer has no digests", extra={"why": str(error)})
        return None

    async def _draw(self, index):
        origin = self._find_origin()
        if origin is None:
            raise OriginError("no origin is declared", step="fetch-chunk")
        return await origin.fetch_chunk(
            self.spec.name, self.version, index, self._chunk_bytes
        )

    async def _keep(self, index, data):
        self._store.put(self.manifest.chunk_digests[index], data)
        self._progressed_at = time.monotonic()
        self._note_change()
