"""The chunks staged at a target, of one version at a time."""

import anyio


class StagingArea:
    """Stage chunks of one version at a time at the target.

    The target stores one copy per model, whatever the version, and loads what is there
    when it accepts an order. So chunks are staged and orders given under a lock, and
    the area knows of which version the last chunk was.

    :param engine: the :class:`~banyanshore.weights.staged.StagedEngine`.
    :ivar lock: :class:`anyio.Lock`, held while chunks are staged or a load is ordered.
    :ivar version: version of the last staged chunk, 0 if none was staged.
    """

    def __init__(self, engine):
        self.lock = anyio.Lock()
        self.version = 0
        self._engine = engine

    async def stage(self, model, version, index, data):
        """Stage a chunk; the caller holds the lock.

        :raises StagedEngineError: the chunk may or may not have been staged.
        """
        self.version = version
        await self._engine.stage(model, index, data)
