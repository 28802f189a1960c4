"""Durable record of the targets that have said that they leave.

A target that leaves says so once, and relies on the answer. If all control instances
are killed or lose power afterwards, a follower that was out of reach meanwhile depends
on what their disks hold.
"""

import logging
import struct
import zlib
from pathlib import Path

import anyio
from anyio import to_thread

from banyanshore.core.files import replace_file
from banyanshore.membership.registry import Departure, TargetState
from banyanshore.transport.codec import CodecError, decode, encode

logger = logging.getLogger(__name__)

FILE_NAME = "leaving"
# Seconds between attempts to write the file after the disk has failed.
RETRY_SECONDS = 0.5
_CHECKSUM = struct.Struct("<I")


class LeavingStore:
    """Keep the draining targets and the final departures of a registry on disk.

    Load pattern: hundreds of targets leave at once. All that are recorded while one
    write is in progress share the next one. The file is replaced as a whole, and holds
    what the registry remembers, so it never grows beyond that.

    :param data_dir: folder of the file, which exists by the time :meth:`run` starts.
    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    """

    def __init__(self, data_dir, registry):
        self._path = Path(data_dir) / FILE_NAME
        self._registry = registry
        self._saved_identities = frozenset()
        self._requested = anyio.Event()
        self._written = anyio.Event()
        self._started_writes = 0
        # Number of the latest write that the disk accepted.
        self._finished_write = 0

    def load(self, now):
        """Record in the registry what the file holds.

        A file that can't be read is left out: it holds nothing that the log needs.
        """
        try:
            items = _unpack(self._path.read_bytes())
        except FileNotFoundError:
            return
        except (OSError, struct.error, CodecError) as error:
            logger.error("leaving targets not read", extra={"why": str(error)})
            return
        for item in items:
            if isinstance(item, Departure):
                self._registry.forget(now, item)
            else:
                self._registry.record(now, item)
        self._saved_identities = frozenset(map(_identify, items))
        logger.info("leaving targets read", extra={"targets": len(items)})

    def request(self):
        """Have what the registry holds written, without waiting for it."""
        self._requested.set()

    async def save(self, items):
        """Return once items that the registry has recorded are on disk.

        :param items: rows of draining targets, and departures.
        """
        if frozenset(map(_identify, items)) <= self._saved_identities:
            return
        # A write that has started may not include them.
        number = self._started_writes + 1
        self.request()
        while self._finished_write < number:
            await self._written.wait()

    async def run(self):
        """Write the file whenever that is requested, until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            while not await self._write():
                await anyio.sleep(RETRY_SECONDS)

    async def _write(self):
        """Write what the registry holds now; return whether the disk accepted it."""
        items = self._collect()
        self._started_writes += 1
        try:
            await to_thread.run_sync(replace_file, self._path, _pack(items))
        except OSError as error:
            logger.warning("leaving targets not written", extra={"why": str(error)})
            return False
        self._saved_identities = frozenset(map(_identify, items))
        self._finished_write = self._started_writes
        written, self._written = self._written, anyio.Event()
        written.set()
        return True

    def _collect(self):
        rows = self._registry.targets.rows()
        draining = [row for row in rows if row.state == TargetState.DRAINING]
        return [*draining, *self._registry.targets.final_departures()]


def _identify(item):
    """Return what tells an item from others, whatever its sequence."""
    return isinstance(item, Departure), item.key, item.incarnation


def _pack(items):
    body = encode(items)
    return _CHECKSUM.pack(zlib.crc32(body)), body


def _unpack(content):
    (checksum,) = _CHECKSUM.unpack_from(content)
    body = content[_CHECKSUM.size :]
    if checksum != zlib.crc32(body):
        raise CodecError("wrong checksum", step="load")
    return decode(body)
