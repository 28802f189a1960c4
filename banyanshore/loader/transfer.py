"""Transfer the chunks of one version and stage them at the target."""

import logging

from banyanshore.weights.relay import RelayedTransfer
from banyanshore.weights.staged import StagedEngineError

logger = logging.getLogger(__name__)


class StagedTransfer(RelayedTransfer):
    """Transfer one version and also stage its chunks at the target.

    :param target: the :class:`~banyanshore.loader.target.TargetMonitor`.
    """

    def __init__(self, target, *arguments):
        super().__init__(*arguments)
        self._target = target
        self._engine = target.engine

    async def stage_all(self):
        """Stage all chunks that are missing or corrupt at the target; return how many.

        Staged chunks are read back and verified, because they may become corrupt.

        :raises StagedEngineError: the target returned no usable response.
        """
        restaged = 0
        for index, digest in enumerate(self.manifest.chunk_digests):
            staged = await self._engine.read_staged(self.spec.name, index)
            if staged is None or not self.manifest.matches_digest(index, staged):
                restaged += 1
                data = self._store.get(digest)
                await self._engine.stage(self.spec.name, index, data)
        return restaged

    def _start_planner(self, have):
        # No instance needs chunks of an older version any more.
        self._store.keep_only(self.manifest.chunk_digests)
        super()._start_planner(have)

    async def _is_stored(self, index, digest):
        if self._store.contains(digest):
            return True
        if self._target.report is None:
            return False
        try:
            data = await self._engine.read_staged(self.spec.name, index)
        except StagedEngineError as error:
            logger.info("staged chunk not read", extra={"why": str(error)})
            return False
        if data is None or not self.manifest.matches_digest(index, data):
            return False
        self._store.put(digest, data)
        return True

    async def _store_chunk(self, index, data):
        await super()._store_chunk(index, data)
        if self._target.report is None:
            return
        try:
            await self._engine.stage(self.spec.name, index, data)
        except StagedEngineError as error:
            # stage_all() stages it again before the load order.
            logger.info("chunk not staged", extra={"why": str(error)})
