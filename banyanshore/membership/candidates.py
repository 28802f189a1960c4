"""Targets whose service the desired state doesn't name."""

from collections import OrderedDict
from dataclasses import replace

from banyanshore.membership.registry import KnownRow

# Seconds without a report after which a candidate is dropped.
CANDIDATE_SECONDS = 8.0
# Largest number of candidates; the one that was silent for longest goes first.
MAX_CANDIDATES = 1024


class CandidateTable:
    """Hold reports of targets apart from those in use, until their service is named.

    Load pattern: another program reports under the id or the address of a target, with
    a service that nobody declared, or under new ids all the time. A target of a service
    that the next declaration names reports as well, before it.
    """

    def __init__(self):
        self._known_by_key = OrderedDict()

    def __len__(self):
        return len(self._known_by_key)

    def record(self, now, row):
        """Record the report of a target."""
        key = row.id, row.service
        known = self._known_by_key.get(key)
        is_same_start = known is not None and known.row.incarnation == row.incarnation
        if known is not None and row.sort_key <= known.row.sort_key:
            return
        known_since = known.known_since if is_same_start else now
        self._known_by_key[key] = KnownRow(
            row, now, now + row.cold_seconds, known_since
        )
        self._known_by_key.move_to_end(key)
        if len(self._known_by_key) > MAX_CANDIDATES:
            self._known_by_key.popitem(last=False)

    def find(self, target_id):
        """Return the :class:`KnownRow` of the latest start of a target, or ``None``."""
        found = [
            known for known in self._known_by_key.values() if known.row.id == target_id
        ]
        return max(found, key=lambda known: known.row.sort_key, default=None)

    def forget(self, target_id, incarnation):
        """Drop a target, and its earlier starts."""
        for key, known in list(self._known_by_key.items()):
            if key[0] == target_id and known.row.incarnation <= incarnation:
                del self._known_by_key[key]

    def take(self, now, is_named):
        """Remove and return the rows of services that are named by now.

        :param is_named: callable that takes the name of a service.
        """
        taken = []
        for key, known in list(self._known_by_key.items()):
            if is_named(known.row.service):
                del self._known_by_key[key]
                cold_seconds = max(0.0, known.cold_until - now)
                taken.append(replace(known.row, cold_seconds=cold_seconds))
        return taken

    def expire(self, now):
        """Drop candidates that have been silent for too long."""
        for key, known in list(self._known_by_key.items()):
            if now - known.last_contact_at > CANDIDATE_SECONDS:
                del self._known_by_key[key]
