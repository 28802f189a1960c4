"""One entry's view of the entries and data centres of the deployment."""

import zlib
from dataclasses import replace

from banyanshore.core.values import dataclass
from banyanshore.membership.messages import DataCentreDigest, EntryDigest
from banyanshore.membership.rendezvous import rank
from banyanshore.transport.codec import encode

# Maximum number of names in the ``agents_behind`` field of one digest.
MAX_AGENTS_BEHIND = 20


@dataclass(frozen=True)
class EntryRow:
    """The latest digest of an entry and the time of the last contact."""

    digest: EntryDigest
    last_contact_at: float


@dataclass(frozen=True)
class DataCentreRow:
    """The latest digest of another data centre and the time of the last contact."""

    digest: DataCentreDigest
    last_contact_at: float


class EntryTable:
    """Track entries and data centres by name.

    :param own: the :class:`~banyanshore.conf.EntryPeer` of this entry.
    :param peers: all entries in the settings.
    :param expiry: seconds without contact after which an entry is no longer live.
    """

    def __init__(self, own, peers, expiry):
        self.own = own
        self.peer_by_instance = {peer.instance: peer for peer in peers}
        self.by_instance = {}
        self.by_data_centre = {}
        self._expiry = expiry

    @property
    def data_centres(self):
        """Return the names of all data centres that have entries."""
        return sorted({peer.data_centre for peer in self.peer_by_instance.values()})

    def siblings(self):
        """Return the other entries of this data centre."""
        return [
            peer
            for peer in self.peer_by_instance.values()
            if peer.data_centre == self.own.data_centre
            and peer.instance != self.own.instance
        ]

    def expects_connection_from(self, instance):
        """Return whether an instance connects to this entry.

        Of two entries that need a connection to each other, the one whose name sorts
        first opens it.
        """
        peer = self.peer_by_instance.get(instance)
        if peer is None or instance >= self.own.instance:
            return False
        are_siblings = peer.data_centre == self.own.data_centre
        return are_siblings or (peer.voter and self.own.voter)

    def record(self, now, digest):
        """Record an entry's digest; return whether it is newer than the known one."""
        known = self.by_instance.get(digest.instance)
        sort_key = (digest.incarnation, digest.sequence)
        if known and sort_key <= (known.digest.incarnation, known.digest.sequence):
            return False
        self.by_instance[digest.instance] = EntryRow(digest, now)
        return True

    def record_data_centre(self, now, digest):
        """Record the digest of another data centre; return whether its rows are known.

        If a digest leaves its rows out, those of the last digest with the same
        ``entries_digest`` apply.
        """
        known = self.by_data_centre.get(digest.data_centre)
        if digest.entries:
            for row in digest.entries:
                self.record(now, row)
        elif known and known.digest.entries_digest == digest.entries_digest:
            digest = replace(digest, entries=known.digest.entries)
        self.by_data_centre[digest.data_centre] = DataCentreRow(digest, now)
        for row in digest.entries:
            self._touch(now, row)
        return bool(digest.entries)

    def _touch(self, now, digest):
        known = self.by_instance[digest.instance]
        if known.digest.incarnation == digest.incarnation:
            self.by_instance[digest.instance] = replace(known, last_contact_at=now)

    def is_live(self, now, instance):
        """Return whether an entry had contact within the expiry and is not leaving."""
        if instance == self.own.instance:
            return True
        row = self.by_instance.get(instance)
        if row is None or row.digest.leaving:
            return False
        return now - row.last_contact_at <= self._expiry

    def live_entries_in(self, now, data_centre):
        """Return the names of the live entries of a data centre."""
        return [
            instance
            for instance, peer in self.peer_by_instance.items()
            if peer.data_centre == data_centre and self.is_live(now, instance)
        ]

    def live_data_centres(self, now):
        """Return the rows of other data centres with contact within the expiry."""
        return {
            name: row
            for name, row in self.by_data_centre.items()
            if now - row.last_contact_at <= self._expiry
        }

    def sends_digests_to(self, now, data_centre):
        """Return whether this entry sends the digests for a data centre."""
        live = self.live_entries_in(now, self.own.data_centre)
        key = f"{self.own.data_centre}>{data_centre}"
        return rank(key, live)[0] == self.own.instance

    def contacts_in(self, now, data_centre):
        """Return the entries of a data centre to contact, live ones first.

        Each entry has an order of its own, which spreads the requests and messages
        from one data centre over the entries of the other.
        """
        names = [
            instance
            for instance, peer in self.peer_by_instance.items()
            if peer.data_centre == data_centre
        ]
        key = f"{self.own.instance}<{data_centre}"
        ranked = rank(key, names)
        return sorted(ranked, key=lambda name: not self.is_live(now, name))

    def leader_hint(self):
        """Return the instance named as leader in the highest known term."""
        best = max(
            (row.digest for row in self.by_instance.values() if row.digest.leader),
            key=lambda digest: (digest.term, digest.sequence),
            default=None,
        )
        return best.leader if best else ""

    def instances_behind(self, now, state_version):
        """Return the live entries whose desired state is older than a version."""
        return sorted(
            row.digest.instance
            for row in self.by_instance.values()
            if row.digest.state_version < state_version
            and now - row.last_contact_at <= self._expiry
            and not row.digest.leaving
        )


class Newcomers:
    """Find entries that may lack updates which were sent once.

    These are entries that started or came back into contact a short time ago.

    :param seconds: time for which an entry counts as a newcomer: updates are dropped
        while links to it open.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._incarnation_by_instance = {}
        self._ends_at_by_instance = {}

    def find(self, now, table):
        """Return the newcomers among the live entries of an :class:`EntryTable`."""
        live = {
            instance: row.digest.incarnation
            for instance, row in table.by_instance.items()
            if instance != table.own.instance and table.is_live(now, instance)
        }
        for instance, incarnation in live.items():
            if self._incarnation_by_instance.get(instance) != incarnation:
                self._ends_at_by_instance[instance] = now + self._seconds
        self._incarnation_by_instance = live
        self._ends_at_by_instance = {
            instance: ends_at
            for instance, ends_at in self._ends_at_by_instance.items()
            if now < ends_at
        }
        return sorted(live.keys() & self._ends_at_by_instance.keys())


def entries_digest(rows):
    """Return a digest over the rows of entries, ignoring their sequence."""
    ordered = sorted(rows, key=lambda row: row.instance)
    return zlib.crc32(encode([replace(row, sequence=0) for row in ordered]))
