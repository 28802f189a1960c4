"""Read-only views of the desired state, and their encoding in messages."""

import json
import zlib
from dataclasses import dataclass
from functools import cached_property

from banyanshore.state.document import (
    diff_documents,
    is_non_repeatable,
    merge_patch,
    to_json,
)
from banyanshore.transport.codec import message


@message(49)
class Fence:
    """Fencing number of an accepted version, ordered by term, then index."""

    term: int = 0
    index: int = 0

    def __lt__(self, other):
        return (self.term, self.index) < (other.term, other.index)


@message(50)
class PublishedState:
    """An accepted version, as sent between processes.

    :param document: the complete document as JSON.
    """

    version: int
    fence: Fence
    document: bytes


@message(57)
class StateDelta:
    """The changes of a version relative to an earlier one.

    :param base_version: version that the patch applies to.
    :param patch: merge patch as JSON.
    :param document_digest: CRC-32 of the resulting document as JSON.
    """

    base_version: int
    version: int
    fence: Fence
    patch: bytes
    document_digest: int


@dataclass(frozen=True)
class ModelSpec:
    """The intended version of a model, its weights, and limits of the rollout."""

    name: str
    version: str
    manifest_digest: str
    manifest_url: str
    weights_url: str
    max_unavailable_ratio: float = 0.25
    max_failures: int = 3
    paused: bool = False

    @property
    def weights(self):
        """Return the identity of the weights, without the rollout settings."""
        return (
            self.name,
            self.version,
            self.manifest_digest,
            self.manifest_url,
            self.weights_url,
        )


@dataclass(frozen=True)
class DesiredState:
    """An accepted version, parsed.

    :param published: the version as it was received.
    """

    published: PublishedState

    @property
    def version(self):
        """Return the version number."""
        return self.published.version

    @property
    def fence(self):
        """Return the fencing number of orders that are based on this version."""
        return self.published.fence

    @cached_property
    def document(self):
        """Return the parsed document, which must not be modified."""
        return json.loads(self.published.document)

    def delta_from(self, base):
        """Return the :class:`StateDelta` from an earlier version to this one."""
        published = self.published
        return StateDelta(
            base.version,
            published.version,
            published.fence,
            to_json(diff_documents(base.document, self.document)),
            zlib.crc32(published.document),
        )

    def published_after(self, delta):
        """Return the :class:`PublishedState` after a delta, or ``None``.

        Return ``None`` if the delta is based on another version or another document.
        """
        if delta.base_version != self.version:
            return None
        document = to_json(merge_patch(self.document, json.loads(delta.patch)))
        if zlib.crc32(document) != delta.document_digest:
            return None
        return PublishedState(delta.version, delta.fence, document)

    def service(self, name):
        """Return the row of a service, or ``None``."""
        return self.document["services"].get(name)

    def model_of_service(self, name):
        """Return the :class:`ModelSpec` of a service, ``None`` if it has no model."""
        row = self.service(name) or {}
        model = self.document["models"].get(row.get("model"))
        return ModelSpec(name=row["model"], **model) if model else None

    def in_service(self, data_centre, target=""):
        """Return whether a data centre, and a target in it, may get new work."""
        centre = self.document["data_centres"].get(data_centre, {})
        row = self.document["targets"].get(target, {})
        return centre.get("in_service", True) and row.get("in_service", True)

    def must_not_repeat(self, service, method, path):
        """Return whether a call to a service may run at most once."""
        return is_non_repeatable(self.service(service) or {}, method, path)

    def workspace(self, name):
        """Return the row of a workspace, or an empty one."""
        return self.document["workspaces"].get(name, {})
