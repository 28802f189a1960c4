"""Transfer the chunks of one version and stage them at the target."""

import logging
import math
import time
from collections import deque

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.loader.decisions import StagedCheck
from banyanshore.weights.manifest import digest_of
from banyanshore.weights.ready_time import ChunkPace
from banyanshore.weights.relay import RelayedTransfer
from banyanshore.weights.staged import StagedEngineError

logger = logging.getLogger(__name__)


class StagedTransfer(RelayedTransfer):
    """Transfer one version and also stage its chunks at the target.

    :param target: the :class:`~banyanshore.loader.target.TargetMonitor`.
    :param loads_next: callable that returns whether the target is to load the version
        of a transfer next, so that its chunks are staged as they arrive.
    """

    def __init__(self, target, loads_next, *arguments, **options):
        super().__init__(*arguments, **options)
        self._target = target
        self._loads_next = loads_next
        self._engine = target.engine
        self._pace = ChunkPace()
        # Chunks that have arrived and whose staging hasn't begun, with their positions.
        self._unstaged = deque()
        self._is_staging = False

    def copy_seconds(self):
        """Return the seconds that a copy is expected to take."""
        count = self.manifest.chunk_count if self.manifest else 0
        return self._pace.copy_seconds(count, self._settings.version_switch_seconds)

    def has_first_layer(self, layers):
        """Return whether the chunks of the first layer have arrived.

        :param layers: number of layers of the model.
        """
        if self.planner is None or not layers:
            return False
        needed = (1 << self._first_layer_chunks(layers)) - 1
        return self.planner.have & needed == needed

    async def stage_all(self):
        """Stage the chunks of all layers; see :meth:`stage_first_layer`."""
        return await self._stage(self.manifest.chunk_count)

    async def stage_first_layer(self, layers):
        """Stage the chunks that are missing or corrupt at the target.

        Staged chunks are read back and verified, because they may become corrupt.

        :param layers: number of layers of the model.
        :return: the :class:`~banyanshore.loader.decisions.StagedCheck`.
        :raises StagedEngineError: the target returned no usable response.
        """
        return await self._stage(self._first_layer_chunks(layers))

    async def _stage(self, chunk_count):
        async with self._target.staging.lock:
            return await self._stage_missing(chunk_count)

    async def _stage_missing(self, chunk_count):
        staging = self._target.staging
        # Chunks that others have begun to stage before would not hold from here on.
        staging.version = self.version
        began_at = boottime_now()
        restaged = 0
        for index, digest in enumerate(self.manifest.chunk_digests[:chunk_count]):
            staged = await self._read_staged(index)
            if staged is None or not self.manifest.matches_digest(index, staged):
                restaged += 1
                data = self._store.get(digest)
                if data is None:
                    raise StagedEngineError(
                        f"chunk {index} is of a version that is no longer wanted",
                        step="stage",
                    )
                await staging.stage(self.spec.name, self.version, index, data)
        return StagedCheck(began_at, restaged)

    async def _read_staged(self, index):
        size = self.manifest.chunk_bytes
        return await self._engine.read_staged(self.spec.name, index, size)

    def _first_layer_chunks(self, layers):
        """Return the number of chunks that the first layer needs, whole or in part."""
        return math.ceil(self.manifest.chunk_count / layers)

    def _start_planner(self, have):
        # No instance needs chunks of a version that isn't carried any more.
        self._store.keep_only(self._carried.chunk_digests())
        super()._start_planner(have)

    async def _is_stored(self, index, digest):
        if self._store.contains(digest):
            return True
        if self._target.report is None:
            return False
        try:
            data = await self._read_staged(index)
        except StagedEngineError as error:
            logger.info("staged chunk not read", extra={"why": str(error)})
            return False
        if data is None or not self._check_arrival(index, digest_of(data)):
            return False
        self._store.put(self.manifest.chunk_digests[index], data)
        return True

    async def _store_chunk(self, index, data):
        await super()._store_chunk(index, data)
        self._pace.record(time.monotonic())
        self._unstaged.append((index, data))
        if not self._is_staging:
            self._is_staging = True
            # The link would be idle if the next chunk came only after the staging.
            self._tasks.start_soon(self._stage_arrived)

    async def _stage_arrived(self):
        """Stage the chunks that have arrived, in their order.

        Chunks that aren't staged here are staged before the load order.
        """
        while self._unstaged:
            try:
                # A chunk of a transfer that is given up meanwhile must not arrive at
                # the target once another one has the lock.
                with anyio.CancelScope(shield=True):
                    await self._stage_one(*self._unstaged.popleft())
            except StagedEngineError as error:
                logger.info("chunk not staged", extra={"why": str(error)})
            await anyio.lowlevel.checkpoint()
        self._is_staging = False

    async def _stage_one(self, index, data):
        staging = self._target.staging
        if self._target.report is None or staging.lock.locked():
            return
        async with staging.lock:
            if self._loads_next(self):
                await staging.stage(self.spec.name, self.version, index, data)
