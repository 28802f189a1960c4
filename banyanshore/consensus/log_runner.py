"""Run the log of an instance, and reopen it from disk after the disk has failed."""

import logging

import anyio

from banyanshore.consensus.storage import Storage, StorageError

logger = logging.getLogger(__name__)

# Seconds between attempts to reopen the log after a disk failure.
DISK_RETRY_SECONDS = 0.5


class LogRunner:
    """The log of an instance across failures of its disk.

    Load pattern: the disks of several instances are full for some seconds, one after
    another. An instance whose log stays closed after its disk has room again is one
    vote less for good; one that reopens it too early fails again at its next write.

    :param data_dir: folder of the log.
    :param make_node: callable that is given the opened
        :class:`~banyanshore.consensus.storage.Storage` and returns the
        :class:`~banyanshore.consensus.node.ConsensusNode` on it.
    :param on_reopened: callable that is given each later node.
    :raises StorageError: the disk can't be read or written.
    """

    def __init__(self, data_dir, make_node, on_reopened):
        self._data_dir = data_dir
        self._make_node = make_node
        self._on_reopened = on_reopened
        self.node = make_node(Storage(data_dir))

    async def run(self):
        """Run the log until cancelled."""
        while True:
            await self.node.run()
            logger.error("disk lost", extra={"data_dir": self._data_dir})
            await self._reopen()
            logger.info("disk regained", extra={"data_dir": self._data_dir})

    async def _reopen(self):
        while True:
            await anyio.sleep(DISK_RETRY_SECONDS)
            try:
                await anyio.to_thread.run_sync(Storage.check_writable, self._data_dir)
                self.node = self._make_node(Storage(self._data_dir))
            except StorageError as error:
                logger.warning("disk still unavailable", extra={"why": str(error)})
                continue
            self._on_reopened(self.node)
            return
