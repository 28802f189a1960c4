"""What is known of the targets and instances that register with control.

Rows are ordered by incarnation, then sequence, so that news which was held up on its
way never replaces newer news. A row that has left is remembered for a while for the
same reason. Times are monotonic seconds passed in by the caller.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from banyanshore.transport.codec import message

# Seconds for which a row that has left is remembered: longer than news is held up.
DEPARTED_SECONDS = 120.0
# Seconds for which a follower keeps a row that a list of all lacked: a control instance
# that has just started hears of all that live within the expiry of rows.
MISSING_ROW_SECONDS = 8.0
# Rise of the rest of a cold start, in seconds, that counts as a new cold start.
COLD_RISE_SECONDS = 0.5


class TargetState(StrEnum):
    """What a registered target says of itself."""

    READY = "ready"
    DRAINING = "draining"


@message(101)
class TargetRow:
    """A target that has registered itself.

    :param id: name of the target, new for most starts.
    :param address: HTTP address that requests are sent to.
    :param software: version of the target's software.
    :param slots: requests that it works on at once.
    :param cold_seconds: rest of its cold start when this was said.
    :param incarnation: its start, in milliseconds since the epoch.
    :param model: name of the model it holds, empty for a plain service.
    :param model_version: version of the layers it holds, 0 if it holds none.
    :param first_layer: first layer held.
    :param end_layer: the layer after the last one held.
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
        """Return what tells this row from others."""
        return self.id

    @property
    def sort_key(self):
        """Return what orders the news about one target."""
        return self.incarnation, self.sequence

    @property
    def content(self):
        """Return what others have to hear of when it changes."""
        return replace(self, cold_seconds=0.0, sequence=0)


@message(102)
class MemberRow:
    """An instance of the system.

    :param address: address of its peer port.
    :param incarnation: its start, in nanoseconds since the epoch.
    :param service: service of the target beside a loader, else empty.
    """

    instance: str
    role: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    sequence: int
    service: str = ""

    @property
    def key(self):
        """Return what tells this row from others."""
        return self.instance

    @property
    def sort_key(self):
        """Return what orders the news about one instance."""
        return self.incarnation, self.sequence

    @property
    def content(self):
        """Return what others have to hear of when it changes."""
        return replace(self, sequence=0)

    @property
    def cold_seconds(self):
        """Return 0: instances have no cold start that others need to know."""
        return 0.0


@message(103)
class Departure:
    """Tell that a row is to be forgotten.

    :param table: ``target`` or ``member``.
    :param incarnation: incarnation up to which it is forgotten.
    :param is_final: whether that incarnation has left; otherwise it is only silent.
    """

    table: str
    key: str
    incarnation: int
    is_final: bool = False


@dataclass(frozen=True)
class KnownRow:
    """A row with the time at which it was last heard of.

    :param cold_until: end of its cold start.
    """

    row: object
    heard_at: float
    cold_until: float = 0.0


class RowTable:
    """Rows of one kind by key.

    :param name: ``target`` or ``member``.
    :param expiry: seconds of silence after which a row is dropped; 0 for never.
    :ivar revision: rises whenever a row comes, goes or has another content.
    """

    def __init__(self, name, expiry):
        self.name = name
        self.by_key = {}
        self.revision = 0
        self._expiry = expiry
        self._departed_by_key = {}
        self._missing_since_by_key = {}

    def record(self, now, row):
        """Take a row; tell whether others have to hear of it.

        :return: ``None`` if the row is older than what is known, else whether it
            brings anything new.
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
        self.by_key[row.key] = KnownRow(row, now, cold_until)
        if known is None or known.row.content != row.content:
            self.revision += 1
            return True
        is_cold = row.cold_seconds > 0
        return is_cold and cold_until > known.cold_until + COLD_RISE_SECONDS

    def forget(self, now, departure):
        """Take a :class:`Departure`; tell whether that was news."""
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

    def mark_missing_except(self, now, keys):
        """Doubt the rows that a list of all lacks; stop doubting the others."""
        self._missing_since_by_key = dict.fromkeys(self.by_key.keys() - set(keys), now)

    def drop_missing(self, now):
        """Drop the rows that nobody has told of since; return their departures."""
        dropped = []
        for key, at in list(self._missing_since_by_key.items()):
            if now - at > MISSING_ROW_SECONDS:
                del self._missing_since_by_key[key]
                known = self.by_key.get(key)
                if known is not None:
                    self._drop(key)
                    dropped.append(Departure(self.name, key, known.row.incarnation))
        return dropped

    def expire(self, now):
        """Drop the rows that have been silent and return their departures."""
        for key, (_, at) in list(self._departed_by_key.items()):
            if now - at > DEPARTED_SECONDS:
                del self._departed_by_key[key]
        if not self._expiry:
            return []
        silent = [
            known.row
            for known in self.by_key.values()
            if now - known.heard_at > self._expiry
        ]
        for row in silent:
            # No departure is remembered: a silent row may speak again.
            self._drop(row.key)
        return [Departure(self.name, row.key, row.incarnation) for row in silent]

    def rows(self):
        """Return all rows."""
        return [known.row for known in self.by_key.values()]

    def _drop_older_at_address(self, row):
        """Drop older rows at the address of a row; tell whether it is the newest."""
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
