"""Read-only views of the desired state, and their encoding in messages."""

import json
import zlib
from functools import cached_property

from banyanshore.core.values import dataclass
from banyanshore.state.document import (
    diff_documents,
    is_non_repeatable,
    merge_patch,
    to_json,
)
from banyanshore.state.summary import DocumentSummary
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
    :param document_digest: digest of the resulting document, see
        :class:`~banyanshore.state.summary.DocumentSummary`.
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


class DesiredState:
    """An accepted version: its document, and the message that carries it.

    Each of the two is derived from the other when it is first needed.

    :param published: the version as it was received.
    """

    def __init__(self, published):
        self.version = published.version
        # Fencing number of orders that are based on this version.
        self.fence = published.fence
        self.published = published

    @classmethod
    def from_document(cls, version, fence, document, summary=None):
        """Return a version whose document is known.

        :param summary: the :class:`~banyanshore.state.summary.DocumentSummary`, if it
            is known.
        """
        desired = cls.__new__(cls)
        desired.version = version
        desired.fence = fence
        desired.document = document
        if summary is not None:
            desired.summary = summary
        return desired

    @cached_property
    def published(self):
        """Return the :class:`PublishedState` of this version."""
        return PublishedState(self.version, self.fence, to_json(self.document))

    @cached_property
    def document(self):
        """Return the parsed document, which must not be modified."""
        return json.loads(self.published.document)

    @cached_property
    def summary(self):
        """Return the :class:`~banyanshore.state.summary.DocumentSummary`."""
        return DocumentSummary.of(self.document)

    @cached_property
    def whole_digest(self):
        """Return the digest of deltas from and to instances of earlier builds."""
        return zlib.crc32(self.published.document)

    def only(self, tables):
        """Return this version with some of the tables."""
        document = self.document
        kept = {name: document[name] for name in tables if name in document}
        summary = self.summary.without(document, document.keys() - kept.keys())
        return self.from_document(self.version, self.fence, kept, summary)

    def delta_from(self, base):
        """Return the :class:`StateDelta` from an earlier version to this one."""
        patch = diff_documents(base.document, self.document)
        if "summary" not in self.__dict__:
            self.summary = base.summary.updated(base.document, self.document, patch)
        return StateDelta(
            base.version,
            self.version,
            self.fence,
            to_json(patch),
            self.summary.digest,
        )

    def after(self, delta):
        """Return the version that a delta leads to.

        :return: ``None`` if the delta starts from another version, or from another
            document of this one.
        """
        if delta.base_version != self.version:
            return None
        patch = json.loads(delta.patch)
        document = merge_patch(self.document, patch)
        summary = self.summary.updated(self.document, document, patch)
        following = self.from_document(delta.version, delta.fence, document, summary)
        if delta.document_digest == summary.digest:
            return following
        return following if delta.document_digest == following.whole_digest else None

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
