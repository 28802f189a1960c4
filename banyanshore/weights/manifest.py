"""Describe the chunks of one version of a model in a manifest."""

import hashlib
import json
import math
from dataclasses import replace
from functools import cached_property

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.values import dataclass

# Desired number of chunks per manifest; more chunks shorten the tail of a rollout.
DESIRED_CHUNKS = 256
MIN_CHUNK_BYTES = 64 * 1024
MAX_CHUNK_BYTES = 16 * 1024 * 1024
# Largest manifest accepted, in bytes.
MAX_MANIFEST_BYTES = 16 * 1024 * 1024


class ManifestError(BanyanshoreError):
    """Signal a manifest that is malformed or has an unexpected digest."""


@dataclass(frozen=True)
class Manifest:
    """Identify the weights of one version by the digests of their chunks.

    :param length: total size in bytes.
    :param chunk_bytes: size of each chunk except the last, in bytes.
    :param chunk_digests: SHA-256 of each chunk in hexadecimal, in order.
    """

    model: str
    version: str
    length: int
    chunk_bytes: int
    chunk_digests: tuple

    @cached_property
    def content(self):
        """Return the canonical JSON form as bytes."""
        document = {
            "model": self.model,
            "version": self.version,
            "length": self.length,
            "chunk_bytes": self.chunk_bytes,
            "chunk_digests": list(self.chunk_digests),
        }
        return json.dumps(document, separators=(",", ":"), sort_keys=True).encode()

    @cached_property
    def digest(self):
        """Return the SHA-256 of the canonical form in hexadecimal."""
        return hashlib.sha256(self.content).hexdigest()

    @property
    def chunk_count(self):
        """Return the number of chunks."""
        return len(self.chunk_digests)

    def chunk_range(self, index):
        """Return the start and the (exclusive) end of a chunk in the weights."""
        start = index * self.chunk_bytes
        return start, min(start + self.chunk_bytes, self.length)

    def matches_digest(self, index, data):
        """Return whether data has the digest of the chunk at an index."""
        return digest_of(data) == self.chunk_digests[index]

    def with_digest(self, index, digest):
        """Return the manifest with another digest of the chunk at an index."""
        digests = list(self.chunk_digests)
        digests[index] = digest
        return replace(self, chunk_digests=tuple(digests))


def digest_of(data):
    """Return the digest of a chunk in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def make_manifest(model, version, data, chunk_bytes=0):
    """Return the manifest of weights.

    :param data: the weights as bytes, or an object whose slices are bytes.
    :param chunk_bytes: size of a chunk; 0 to derive it from the length.
    """
    size = chunk_bytes or choose_chunk_bytes(len(data))
    digests = tuple(
        hashlib.sha256(data[start : start + size]).hexdigest()
        for start in range(0, len(data), size)
    )
    return Manifest(model, version, len(data), size, digests)


def choose_chunk_bytes(length):
    """Return the chunk size in bytes for weights of a given length.

    >>> choose_chunk_bytes(1024)
    65536
    """
    size = math.ceil(length / DESIRED_CHUNKS)
    return max(MIN_CHUNK_BYTES, min(MAX_CHUNK_BYTES, size))


def parse_manifest(content, expected_digest=""):
    """Parse and check a manifest in JSON.

    :param content: the JSON document as bytes.
    :param expected_digest: SHA-256 that the canonical form must have, if not empty.
    :raises ManifestError: the manifest is malformed or has another digest.
    """
    try:
        document = json.loads(content)
        manifest = Manifest(
            str(document["model"]),
            str(document["version"]),
            int(document["length"]),
            int(document["chunk_bytes"]),
            tuple(str(digest) for digest in document["chunk_digests"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise ManifestError(f"not a manifest: {error!r}", step="manifest") from None
    if expected_digest and manifest.digest != expected_digest:
        raise ManifestError(
            f"manifest has digest {manifest.digest}, expected {expected_digest}",
            step="manifest",
        )
    is_sized = manifest.chunk_bytes > 0 and manifest.length > 0
    if not is_sized or manifest.chunk_count != math.ceil(
        manifest.length / manifest.chunk_bytes
    ):
        raise ManifestError("length does not match the chunks", step="manifest")
    return manifest
