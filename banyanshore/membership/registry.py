"""Tables of the targets and instances that register with control.

Rows are ordered by incarnation, then sequence, so that a delayed update never replaces
a later one. For the same reason the departure of a row is remembered for a while. Times
are monotonic seconds passed in by the caller.
"""

from dataclasses import replace
from enum import StrEnum

from banyanshore.core.values import dataclass
from banyanshore.transport.codec import message

# Seconds for which a departure is remembered: longer than any update is delayed.
DEPARTED_SECONDS = 120.0
# Seconds for which a follower keeps a row that is missing from a complete list: a
# control instance that has just started learns of all live rows within their expiry.
MISSING_ROW_SECONDS = 8.0
# Increase of the remaining cold start, in seconds, that counts as a new cold start.
COLD_RISE_SECONDS = 0.5


class TargetState(StrEnum):
    """The state that a registered target reports."""

    READY = "ready"
    DRAINING = "draining"


@message(101)
class TargetRow:
    """A target that has registered itself.

    :param id: name of the target, usually new for each start.
    :param address: HTTP address that requests are sent to.
    :param software: version of the target's software.
    :param slots: requests that the target processes concurrently.
    :param cold_seconds: remaining seconds of its cold start when it sent this row.
    :param incarnation: start time of its process, in milliseconds since the epoch.
    :param model: name of the loaded model, empty for a plain service.
    :param model_version: version of the loaded layers, 0 if none are loaded.
    :param first_layer: first loaded layer.
    :param end_layer: the layer after the last loaded one.
    """

    id: str
    service: str
    address: str
    data_centre: str
    software: str
    slots: int
    state: str
    cold_seconds: float
    incarnation: int
    sequence: int
    model: str = ""
    model_version: int = 0
    first_layer: int = 0
    end_layer: int = 0

    @property
    def key(self):
        """Return the name that identifies this row."""
        return self.id

    @property
    def sort_key(self):
        """Return the key that orders the updates about one target."""
        return self.incarnation, self.sequence

    @property
    def content(self):
        """Return the row without the fields whose changes aren't sent to others."""
        return replace(self, cold_seconds=0.0, sequence=0)


@message(102)
class MemberRow:
    """An instance of the system.

    :param address: address of its peer port.
    :param incarnation: start time of its process, in nanoseconds since the epoch.
    :param service: service of the target beside a loader, empty for other roles.
    :param decompresses: whether its log may hold compressed commands.
    """

    instance: str
    role: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    sequence: int
    service: str = ""
    decompresses: bool = False

    @property
    def key(self):
        """Return the name that identifies this row."""
        return self.instance

    @property
    def sort_key(self):
        """Return the key that orders the updates about one instance."""
        return self.incarnation, self.sequence

    @property
    def content(self):
        """Return the row without the field whose changes aren't sent to others."""
        return replace(self, sequence=0)

    @property
    def cold_seconds(self):
        """Return 0: the cold start of an instance doesn't matter to others."""
        return 0.0


@message(103)
class Departure:
    """Tell others to drop a row.

    :param table: ``target`` or ``member``.
    :param incarnation: latest incarnation to drop.
    :param is_final: whether that incarnation has left for good; otherwise it has only
        expired and may register again.
    """

    table: str
    key: str
    incarnation: int
    is_final: bool = False


@dataclass(frozen=True)
class KnownRow:
    """A row and the time of its last update.

    :param cold_until: time at which its cold start ends.
    :param known_since: time at which this incarnation was first heard of.
    """

    row: object
    last_contact_at: float
    cold_until: float = 0.0
    known_since: float = 0.0


class RowTable:
    """Hold the rows of one kind by key.

    :param name: ``target`` or ``member``.
    :param expiry: seconds without an update after which a row is dropped; 0 for never.
    :ivar revision: increases whenever a row is added, dropped or changes its content.
    """

    def __init__(self, name, expiry):
        self.name = name
        self.by_key = {}
        self.revision = 0
        self._expiry = expiry
        self._departed_by_key = {}
        self._missing_since_by_key = {}

    def record(self, now, row):
        """Record a row; return whether the change has to be sent to others.

        :return: ``None`` if the row is outdated, else whether its content changed or a
            new cold start began.
        """
        self._missing_since_by_key.pop(row.key, None)
        departed = self._departed_by_key.get(row.key)
        if departed is not None and row.incarnation <= departed[0]:
            return None
        known = self.by_key.get(row.key)
        if known is not None and row.sort_key <= known.row.sort_key:
            return None
        if not self._drop_older_at_address(row):
            return None
        cold_until = now + row.cold_seconds
        is_same_start = known is not None and known.row.incarnation == row.incarnation
        known_since = known.known_since if is_same_start else now
        self.by_key[row.key] = KnownRow(row, now, cold_until, known_since)
        if known is None or known.row.content != row.content:
            self.revision += 1
            return True
        is_cold = row.cold_seconds > 0
        return is_cold and cold_until > known.cold_until + COLD_RISE_SECONDS

    def forget(self, now, departure):
        """Apply a :class:`Departure`; return whether it changed anything."""
        if departure.is_final:
            return self._record_departure(now, departure.key, departure.incarnation)
        known = self.by_key.get(departure.key)
        if known is None or known.row.incarnation > departure.incarnation:
            return False
        self._drop(departure.key)
        return True

    def _record_departure(self, now, key, incarnation):
        departed = self._departed_by_key.get(key)
        if departed is not None and departed[0] >= incarnation:
            return False
        self._departed_by_key[key] = (incarnation, now)
        known = self.by_key.get(key)
        if known is not None and known.row.incarnation <= incarnation:
            self._drop(key)
        return True

    def find_departure(self, key):
        """Return the final departure of a row that is remembered, or ``None``."""
        departed = self._departed_by_key.get(key)
        return Departure(self.name, key, departed[0], True) if departed else None

    def final_departures(self):
        """Return the departures that are remembered."""
        return [
            Departure(self.name, key, incarnation, True)
            for key, (incarnation, _) in self._departed_by_key.items()
        ]

    def mark_missing_except(self, now, keys):
        """Mark all rows as missing, except those with the given keys.

        Rows that were missing before stay so since then: a follower may move from one
        instance to the next before their time is over.
        """
        self._missing_since_by_key = {
            key: self._missing_since_by_key.get(key, now)
            for key in self.by_key.keys() - set(keys)
        }

    def drop_missing(self, now):
        """Drop rows that have been missing too long and return their departures."""
        dropped = []
        for key, missing_since in list(self._missing_since_by_key.items()):
            if now - missing_since > MISSING_ROW_SECONDS:
                del self._missing_since_by_key[key]
                known = self.by_key.get(key)
                if known is not None:
                    self._drop(key)
                    dropped.append(Departure(self.name, key, known.row.incarnation))
        return dropped

    def expire(self, now):
        """Drop expired rows and return their departures."""
        for key, (_, departed_at) in list(self._departed_by_key.items()):
            if now - departed_at > DEPARTED_SECONDS:
                del self._departed_by_key[key]
        if not self._expiry:
            return []
        silent = [
            known.row
            for known in self.by_key.values()
            if now - known.last_contact_at > self._expiry
        ]
        for row in silent:
            # Its departure isn't remembered: the row may be updated again.
            self._drop(row.key)
        return [Departure(self.name, row.key, row.incarnation) for row in silent]

    def rows(self):
        """Return all rows."""
        return [known.row for known in self.by_key.values()]

    def _drop_older_at_address(self, row):
        """Drop older rows at a row's address; return whether the row is the latest."""
        others = [
            known.row
            for known in self.by_key.values()
            if known.row.address == row.address and known.row.key != row.key
        ]
        if any(other.incarnation > row.incarnation for other in others):
            return False
        for other in others:
            self._drop(other.key)
        return True

    def _drop(self, key):
        del self.by_key[key]
        self.revision += 1
