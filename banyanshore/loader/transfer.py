"""Bring the chunks of one version here and lay them beside the target."""

import logging

from banyanshore.weights.relay import RelayedTransfer
from banyanshore.weights.staged import StagedEngineError

logger = logging.getLogger(__name__)


class StagedTransfer(RelayedTransfer):
    """A transfer whose chunks are also laid beside the target.

    :param target: the :class:`~banyanshore.loader.target.TargetWatch`.
    """

    def __init__(self, target, *arguments):
        super().__init__(*arguments)
        self._target = target
        self._engine = target.engine

    async def stage_all(self):
        """Lay all chunks beside the target; return how many were not right there.

        What lies there is read back, since it may turn bad.

        :raises StagedEngineError: the target doesn't answer.
        """
        mended = 0
        for index, digest in enumerate(self.manifest.chunk_digests):
            staged = await self._engine.read_staged(self.spec.name, index)
            if staged is None or not self.manifest.matches_digest(index, staged):
                mended += 1
                data = self._store.get(digest)
                await self._engine.stage(self.spec.name, index, data)
        return mended

    def _start_planner(self, have):
        # Chunks of an older version are of no use to anyone any more.
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
            # It is staged again before the order to load.
            logger.info("chunk not staged", extra={"why": str(error)})
