"""The latest version and the changes that lead to it, encoded for all followers."""

from collections import deque
from dataclasses import replace
from functools import cached_property

from banyanshore.core.values import dataclass
from banyanshore.membership.compression import compress_notice
from banyanshore.membership.messages import StateChange, StateUpdate
from banyanshore.transport import encode_notice

# Number and bytes of encoded changes that are kept at most. A follower that lacks more
# has been away for long.
MAX_CHANGES = 256
MAX_HISTORY_BYTES = 4 * 1024 * 1024
# Bytes of changes up to which the complete document isn't considered instead.
MIN_COMPARED_BYTES = 16 * 1024


@dataclass(frozen=True)
class EncodedChange:
    """The encoded change from one version to the next."""

    base_version: int
    data: bytes


class LatestVersion:
    """The latest version, encoded when the first follower needs it.

    :param desired: the :class:`~banyanshore.state.DesiredState`.
    :param delta: the change that led to it, ``None`` for the first.
    """

    def __init__(self, desired, delta):
        self.desired = desired
        self._delta = delta

    @cached_property
    def complete(self):
        """Return the notice of the whole version, compressed."""
        return encode_notice(compress_notice(StateUpdate(self.desired.published)))

    @cached_property
    def plain_complete(self):
        """Return the notice of the whole version for followers of earlier builds."""
        return encode_notice(StateUpdate(self.desired.published))

    @cached_property
    def plain_change(self):
        """Return the notice of the change for followers of earlier builds."""
        delta = replace(self._delta, document_digest=self.desired.whole_digest)
        return encode_notice(StateChange(delta))


class VersionHistory:
    """Encode each version once, as a change and as a whole.

    Load pattern: followers whose control instance is slow for a second move to others,
    all at once, while changes follow at short intervals. Each of them lacks a few
    versions, and the whole document for each would fill the links that the log needs.

    :param tables: tables of the document to send.
    """

    def __init__(self, tables):
        self._tables = tables
        self._changes = deque()
        self._change_bytes = 0
        self._latest = None

    @property
    def latest(self):
        """Return the latest version with the tables that are sent."""
        return self._latest.desired

    def record(self, desired):
        """Record a version that is newer than the latest."""
        desired = desired.only(self._tables)
        previous = self._latest
        delta = desired.delta_from(previous.desired) if previous else None
        self._latest = LatestVersion(desired, delta)
        if delta is None:
            return
        data = encode_notice(compress_notice(StateChange(delta)))
        self._changes.append(EncodedChange(delta.base_version, data))
        self._change_bytes += len(data)
        while (
            len(self._changes) > MAX_CHANGES or self._change_bytes > MAX_HISTORY_BYTES
        ):
            self._change_bytes -= len(self._changes.popleft().data)

    def notices_after(self, version):
        """Return the encoded notices that bring a follower to the latest version.

        :param version: version that the follower holds, 0 for none.
        """
        if version == self.latest.version:
            return []
        changes = [change for change in self._changes if change.base_version >= version]
        if not changes or changes[0].base_version != version:
            return [self._latest.complete]
        size = sum(len(change.data) for change in changes)
        # The whole is encoded only when it may be the smaller one.
        if size > MIN_COMPARED_BYTES and size > len(self._latest.complete):
            return [self._latest.complete]
        return [change.data for change in changes]

    def plain_notices_after(self, version):
        """Return the same for a follower of a build that doesn't decompress notices."""
        if version == self.latest.version:
            return []
        if self._changes and self._changes[-1].base_version == version:
            return [self._latest.plain_change]
        return [self._latest.plain_complete]
