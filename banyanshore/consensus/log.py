"""The in-memory log: the last snapshot and the entries after it."""

from banyanshore.consensus.messages import EntryKind, Members
from banyanshore.core.values import dataclass
from banyanshore.transport.codec import decode


@dataclass(frozen=True)
class Snapshot:
    """The state machine and the members after the entry at ``last_index``.

    :param data: the encoded state machine.
    """

    last_index: int
    last_term: int
    members: Members
    data: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, Members(()), b"")


class Log:
    """The last snapshot and the entries that follow it, addressed by index.

    :param snapshot: the :class:`Snapshot` that the log starts from.
    :param entries: the entries that follow it, without gaps.
    :ivar data_bytes: size of the data of these entries.
    """

    def __init__(self, snapshot=EMPTY_SNAPSHOT, entries=()):
        self.snapshot = snapshot
        self._entries = list(entries)
        self.data_bytes = _data_bytes(self._entries)

    @property
    def first_index(self):
        """Return the index of the first entry after the snapshot."""
        return self.snapshot.last_index + 1

    @property
    def last_index(self):
        """Return the index of the last entry, or of the snapshot if there is none."""
        return self.snapshot.last_index + len(self._entries)

    @property
    def last_term(self):
        """Return the term of the last entry, or of the snapshot if there is none."""
        return self._entries[-1].term if self._entries else self.snapshot.last_term

    def term_at(self, index):
        """Return the term of an entry, or ``None`` if the log doesn't hold it."""
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def get(self, index):
        """Return the entry at an index, which must be in the log."""
        return self._entries[index - self.first_index]

    def slice(self, first, last, max_bytes):
        """Return entries from ``first`` up to ``last`` of at most ``max_bytes``.

        At least one entry is returned, whatever its size.
        """
        chosen = []
        size = 0
        for index in range(first, last + 1):
            entry = self.get(index)
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entry):
        """Append an entry, whose index must follow the last one."""
        assert entry.index == self.last_index + 1
        self._entries.append(entry)
        self.data_bytes += len(entry.data)

    def truncate_from(self, index):
        """Drop the entry at an index and all that follow it."""
        position = index - self.first_index
        self.data_bytes -= _data_bytes(self._entries[position:])
        del self._entries[position:]

    def first_index_of_term(self, term, at_most):
        """Return the first index of the run of one term that ends at ``at_most``.

        :param term: term of the entry at ``at_most``.
        """
        index = at_most
        while index > self.first_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, snapshot):
        """Replace the entries up to a snapshot's last index by the snapshot."""
        if snapshot.last_index <= self.snapshot.last_index:
            return
        if self.term_at(snapshot.last_index) == snapshot.last_term:
            kept = self._entries[snapshot.last_index - self.first_index + 1 :]
        else:
            kept = []
        self.snapshot = snapshot
        self._entries = kept
        self.data_bytes = _data_bytes(kept)

    def members_at(self, index):
        """Return the members at an index, and the index of the entry that set them."""
        for position in range(min(index, self.last_index), self.first_index - 1, -1):
            entry = self.get(position)
            if entry.kind == EntryKind.MEMBERS:
                return decode(entry.data), position
        return self.snapshot.members, self.snapshot.last_index


def _data_bytes(entries):
    return sum(len(entry.data) for entry in entries)
