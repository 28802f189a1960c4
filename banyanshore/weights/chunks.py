"""Store verified chunks of weights, keyed by digest."""

import abc
import os
from pathlib import Path

from banyanshore.core.exceptions import BanyanshoreError


class ChunkStoreError(BanyanshoreError):
    """Signal that a chunk store can't be opened or written."""


class ChunkStore(abc.ABC):
    """Store verified chunks by digest, so that versions can share them."""

    @abc.abstractmethod
    def put(self, digest, data):
        """Store a chunk.

        :param digest: SHA-256 in hexadecimal.
        :raises ChunkStoreError: the chunk can't be written.
        """

    @abc.abstractmethod
    def get(self, digest):
        """Return a chunk, or ``None``."""

    @abc.abstractmethod
    def contains(self, digest):
        """Return whether a chunk is stored."""

    @abc.abstractmethod
    def keep_only(self, digests):
        """Delete all chunks except the given ones."""


class MemoryChunkStore(ChunkStore):
    """Store chunks in memory, for instances without a disk."""

    def __init__(self):
        self._data_by_digest = {}

    def __len__(self):
        return len(self._data_by_digest)

    def put(self, digest, data):
        """Store a chunk."""
        self._data_by_digest[digest] = data

    def get(self, digest):
        """Return a chunk, or ``None``."""
        return self._data_by_digest.get(digest)

    def contains(self, digest):
        """Return whether a chunk is stored."""
        return digest in self._data_by_digest

    def keep_only(self, digests):
        """Delete all chunks except the given ones."""
        for digest in self._data_by_digest.keys() - set(digests):
            del self._data_by_digest[digest]


class FolderChunkStore(ChunkStore):
    """Store chunks as files, which survive a restart.

    A file gets its final name only after it is completely written, and its digest is
    verified again when a transfer resumes, so a torn write is never served.

    :param folder: path of the folder, created if missing.
    """

    def __init__(self, folder):
        self._folder = Path(folder)
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._stored = {
                path.name for path in self._folder.iterdir() if path.suffix != ".part"
            }
        except OSError as error:
            raise ChunkStoreError(
                f"{folder}: {error.strerror}", step="open-chunks"
            ) from error

    def put(self, digest, data):
        """Store a chunk."""
        part = self._folder / f"{digest}.part"
        try:
            with open(part, "wb") as stream:
                stream.write(data)
                stream.flush()
                os.fsync(stream.fileno())
            os.replace(part, self._folder / digest)
        except OSError as error:
            raise ChunkStoreError(
                f"{part}: {error.strerror}", step="put-chunk"
            ) from error
        self._stored.add(digest)

    def get(self, digest):
        """Return a chunk, or ``None``."""
        if digest not in self._stored:
            return None
        try:
            return (self._folder / digest).read_bytes()
        except OSError:
            self._stored.discard(digest)
            return None

    def contains(self, digest):
        """Return whether a chunk is stored."""
        return digest in self._stored

    def keep_only(self, digests):
        """Delete all chunks except the given ones."""
        for digest in self._stored - set(digests):
            (self._folder / digest).unlink(missing_ok=True)
            self._stored.discard(digest)


def make_chunk_store(data_dir):
    """Return a store in the data folder, or in memory if no folder is given."""
    if data_dir:
        return FolderChunkStore(Path(data_dir) / "chunks")
    return MemoryChunkStore()
