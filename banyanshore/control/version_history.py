"""The latest version and the changes that lead to it, encoded for all followers."""

from collections import deque
from dataclasses import dataclass
from functools import cached_property

from banyanshore.membership.compression import compress_notice
from banyanshore.membership.messages import StateChange, StateUpdate
from banyanshore.transport import encode_notice

# Number and bytes of encoded changes that are kept at most. A follower that lacks more
# has been away for long.
MAX_CHANGES = 256
MAX_HISTORY_BYTES = 4 * 1024 * 1024
# Bytes of changes up to which the complete document isn't considered instead.
MIN_COMPARED_BYTES = 16 * 1024


class EncodedNotice:
    """A notice, encoded once in each form that followers accept."""

    def __init__(self, body):
        self._body = body
        self.compressed = encode_notice(compress_notice(body))

    @cached_property
    def plain(self):
        """Return the notice for followers of releases that don't decompress."""
        return encode_notice(self._body)

    def for_follower(self, decompresses):
        """Return the bytes to send to a follower."""
        return self.compressed if decompresses else self.plain


@dataclass(frozen=True)
class Change:
    """The change from one version to the next."""

    base_version: int
    notice: EncodedNotice

    @property
    def size(self):
        """Return the bytes of the change as it is sent."""
        return len(self.notice.compressed)


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
        self._update = None
        self.latest = None

    def record(self, desired):
        """Record a version that is newer than the latest."""
        latest, self.latest = self.latest, desired.only(self._tables)
        self._update = None
        if latest is None:
            return
        notice = EncodedNotice(StateChange(self.latest.delta_from(latest)))
        change = Change(latest.version, notice)
        self._changes.append(change)
        self._change_bytes += change.size
        while (
            len(self._changes) > MAX_CHANGES or self._change_bytes > MAX_HISTORY_BYTES
        ):
            self._change_bytes -= self._changes.popleft().size

    def notices_after(self, version):
        """Return the notices that bring a follower to the latest version.

        :param version: version that the follower holds, 0 for none.
        :return: list of :class:`EncodedNotice`.
        """
        if version == self.latest.version:
            return []
        changes = [change for change in self._changes if change.base_version >= version]
        if not changes or changes[0].base_version != version:
            return [self._complete_notice()]
        size = sum(change.size for change in changes)
        # The complete notice is compressed only when it may be the smaller one.
        if size > MIN_COMPARED_BYTES and size > len(self._complete_notice().compressed):
            return [self._complete_notice()]
        return [change.notice for change in changes]

    def _complete_notice(self):
        if self._update is None:
            self._update = EncodedNotice(StateUpdate(self.latest.published))
        return self._update
