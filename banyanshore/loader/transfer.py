"""Bring the chunks of one version here and lay them beside the target."""

import logging
import time
from collections import deque

import anyio

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.loader.engines import StagedEngineError
from banyanshore.weights.exceptions import OriginError
from banyanshore.weights.manifest import Manifest
from banyanshore.weights.messages import ManifestRequest
from banyanshore.weights.push import ChunkPush, ChunkTaken, find_children
from banyanshore.weights.transfer import Transfer, parse_manifest

logger = logging.getLogger(__name__)

# Seconds before the digests are asked for again.
DIGESTS_RETRY_SECONDS = 0.2
# Seconds for a peer to send the digests.
PEER_SECONDS = 0.5
# Chunks pushed at once: enough to keep the link busy while an answer is on its way, and
# few enough not to hold up the requests of the target, which share the link.
PUSHES_AT_ONCE = 2
# Seconds for a pushed chunk to be taken.
PUSH_SECONDS = 3.0
# Times that a chunk is pushed to an instance that isn't ready for it, and the seconds
# in between.
MAX_PUSHES = 8
PUSH_RETRY_SECONDS = 0.15
# Seconds without a chunk after which what is missing is asked for.
PUSH_STALL_SECONDS = 1.0


class StagedTransfer(Transfer):
    """A transfer whose chunks are also laid beside the target.

    The digests come from the origin, or from a peer while the origin doesn't answer.

    :param engine: the :class:`~banyanshore.loader.engines.StagedEngine`.
    :param find_origin: callable that returns the
        :class:`~banyanshore.loader.engines.StagedOrigin`, or ``None``.
    :param chunk_bytes: size of each chunk.
    :param expects_pushes: whether all loaders have been told of the version at the same
        time, so that those that have a chunk push it on.
    """

    def __init__(self, engine, find_origin, chunk_bytes, expects_pushes, *arguments):
        super().__init__(*arguments)
        self._engine = engine
        self._find_origin = find_origin
        self._chunk_bytes = chunk_bytes
        self._expects_pushes = expects_pushes
        self._progressed_at = time.monotonic()
        self._placement = None
        self._waiting_pushes = deque()
        self._push_added = anyio.Event()
        self.has_target = False

    @property
    def version(self):
        """Return the number of the version."""
        return int(self.spec.version)

    async def run(self):
        """Fetch all of the version and push it on, until cancelled."""
        async with anyio.create_task_group() as tasks:
            for _ in range(PUSHES_AT_ONCE):
                tasks.start_soon(self._push_forever)
            await super().run()

    async def handle_push(self, push):
        """Take a chunk that was pushed here; return the :class:`ChunkTaken`."""
        if self.planner is None:
            return ChunkTaken(False, may_repeat=True)
        if push.manifest_digest != self.manifest.digest:
            return ChunkTaken(False)
        if self.planner.have >> push.index & 1:
            return ChunkTaken(True)
        if not self.manifest.is_chunk(push.index, push.data):
            logger.warning("pushed chunk is wrong", extra={"chunk": push.index})
            return ChunkTaken(False)
        await self._keep(push.index, push.data)
        self.planner.record_received(push.index)
        return ChunkTaken(True)

    def _next_fetches(self, now):
        is_stalled = now - self._progressed_at > PUSH_STALL_SECONDS
        if self._expects_pushes and not is_stalled:
            return self.planner.tick_draws(now)
        return self.planner.tick(now)

    def _build_placement(self):
        self._placement = super()._build_placement()
        return self._placement

    def _queue_pushes(self, index):
        digest = self.manifest.chunk_digests[index]
        own = self._settings.instance, self._settings.data_centre
        for child in find_children(self._placement, *own, digest):
            # What goes far is passed on there, so it goes first.
            add = (
                self._waiting_pushes.appendleft
                if child.is_remote
                else self._waiting_pushes.append
            )
            add((child, index))
        added, self._push_added = self._push_added, anyio.Event()
        added.set()

    async def _push_forever(self):
        while True:
            if not self._waiting_pushes:
                await self._push_added.wait()
                continue
            child, index = self._waiting_pushes.popleft()
            for name in child.candidates:
                if await self._push(name, index):
                    break

    async def _push(self, name, index):
        """Push a chunk to an instance; tell whether it has it."""
        address = self._address_by_instance.get(name)
        if address is None:
            return False
        data = self._store.get(self.manifest.chunk_digests[index])
        push = ChunkPush(self.manifest.digest, index, data)
        for _ in range(MAX_PUSHES):
            try:
                link = self._links.get(address, name)
                connection = await link.get_connection(PEER_SECONDS)
                reply = await connection.call(push, PUSH_SECONDS)
            except BanyanshoreError as error:
                logger.info("chunk not pushed", extra={"why": str(error)})
                return False
            if reply.is_taken or not reply.may_repeat:
                return reply.is_taken
            await anyio.sleep(PUSH_RETRY_SECONDS)
        return False

    async def stage_all(self):
        """Lay all chunks beside the target; return how many were not right there.

        What lies there is read back, since it may turn bad.

        :raises StagedEngineError: the target doesn't answer.
        """
        mended = 0
        for index, digest in enumerate(self.manifest.chunk_digests):
            staged = await self._engine.read_staged(self.spec.name, index)
            if staged is None or not self.manifest.is_chunk(index, staged):
                mended += 1
                data = self._store.get(digest)
                await self._engine.stage(self.spec.name, index, data)
        return mended

    async def _wait_for_rosters(self):
        """Begin at once: the first row of this loader brings those of the others."""

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

    def manifest_content(self, digest):
        """Return the manifest as bytes, empty if it isn't the one asked for.

        :param digest: its digest, or ``MODEL/VERSION``.
        """
        wanted = f"{self.spec.name}/{self.spec.version}"
        if self.manifest is not None and digest in (wanted, self.manifest.digest):
            return self.manifest.content
        return b""

    async def _is_stored(self, index, digest):
        if self._store.has(digest):
            return True
        if not self.has_target:
            return False
        try:
            data = await self._engine.read_staged(self.spec.name, index)
        except StagedEngineError as error:
            logger.info("staged chunk not read", extra={"why": str(error)})
            return False
        if data is None or not self.manifest.is_chunk(index, data):
            return False
        self._store.put(digest, data)
        return True

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
        if self._expects_pushes:
            self._queue_pushes(index)
        if not self.has_target:
            return
        try:
            await self._engine.stage(self.spec.name, index, data)
        except StagedEngineError as error:
            # It is staged again before the order to load.
            logger.info("chunk not staged", extra={"why": str(error)})
