"""The latest version and the changes that lead to it, encoded for all followers."""

from collections import deque
from dataclasses import dataclass

from banyanshore.membership.messages import StateChange, StateUpdate
from banyanshore.transport import encode_notice

# Bytes of encoded changes that are kept at most, for followers that lack several.
MAX_HISTORY_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True)
class EncodedChange:
    """The encoded change from one version to the next."""

    base_version: int
    version: int
    data: bytes


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
        self._encoded_update = None
        self.latest = None

    def record(self, desired):
        """Record a version that is newer than the latest."""
        latest, self.latest = self.latest, desired.only(self._tables)
        self._encoded_update = None
        if latest is None:
            return
        delta = self.latest.delta_from(latest)
        data = encode_notice(StateChange(delta))
        self._changes.append(EncodedChange(latest.version, desired.version, data))
        self._change_bytes += len(data)
        while self._change_bytes > MAX_HISTORY_BYTES:
            self._change_bytes -= len(self._changes.popleft().data)

    def notices_after(self, version):
        """Return the encoded notices that bring a follower to the latest version.

        :param version: version that the follower holds, 0 for none.
        """
        changes = self._changes_after(version)
        if changes is None:
            return [self._encode_update()]
        return [change.data for change in changes]

    def _changes_after(self, version):
        """Return the changes, or ``None`` if the whole is needed or is smaller."""
        if version == self.latest.version:
            return []
        changes = [change for change in self._changes if change.base_version >= version]
        if not changes or changes[0].base_version != version:
            return None
        if sum(len(change.data) for change in changes) > self.latest.summary.size:
            return None
        return changes

    def _encode_update(self):
        if self._encoded_update is None:
            self._encoded_update = encode_notice(StateUpdate(self.latest.published))
        return self._encoded_update
