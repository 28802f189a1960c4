"""Request rates that targets name in their answers, free of I/O.

Load pattern: a target in need names how many requests a second it takes from all
gateways together, while many gateways send to it and answers to earlier requests are
still on their way. Of two statements, the one whose request was offered after the head
of the other's answer had arrived is the newer one. If neither was, their order is
unknown, and the lower limit holds.
"""

import math

from banyanshore.core.values import dataclass
from banyanshore.routing.permits import PermitHolder

# Limit of a target that names none.
UNLIMITED = math.inf
# Longest time in seconds that a notice is under way, through two hubs.
MAX_NOTICE_SECONDS = 1.0
# Seconds for which a limit is kept after it has ended or the row of its target is gone:
# delayed notices and heartbeats may bring either back for as long.
RETENTION_SECONDS = 120.0


@dataclass(frozen=True)
class LimitStatement:
    """The limit that the answer of a target states.

    :param per_second: requests per second from all gateways, ``UNLIMITED`` for none.
    :param offered_at: time at which the answered request was offered.
    :param stated_at: time at which the head of the answer arrived.
    """

    per_second: float
    offered_at: float
    stated_at: float

    def replaces(self, known):
        """Return whether this statement holds instead of the one known so far."""
        if self.offered_at >= known.stated_at:
            return True
        if known.offered_at >= self.stated_at:
            return False
        if self.per_second == known.per_second:
            return self.stated_at > known.stated_at
        return self.per_second < known.per_second


class RequestLimits:
    """The limits of targets, and this gateway's permits to send to them."""

    def __init__(self):
        # Keyed by id and incarnation, since a restarted target starts without a limit.
        self._statement_by_key = {}
        self._holder_by_key = {}

    def record(self, key, statement):
        """Record a statement; return whether it changes the limit of its target.

        :param key: id and incarnation of the target.
        """
        known = self._statement_by_key.get(key)
        per_second = UNLIMITED if known is None else known.per_second
        if per_second == statement.per_second == UNLIMITED:
            return False
        if known is not None and not statement.replaces(known):
            return False
        self._statement_by_key[key] = statement
        has_changed = per_second != statement.per_second
        if has_changed:
            # What the owner has told was for another limit.
            self._holder_by_key.pop(key, None)
        return has_changed

    def is_echo(self, key, statement):
        """Return whether a notice may repeat the statement that is known already.

        The age in a notice doesn't include the time for which the notice was under way,
        so that each repetition makes a statement look a little newer.
        """
        known = self._statement_by_key.get(key)
        if known is None or known.per_second != statement.per_second:
            return False
        return statement.stated_at - known.stated_at < MAX_NOTICE_SECONDS

    def statement(self, key):
        """Return the :class:`LimitStatement` in force, or ``None``."""
        return self._statement_by_key.get(key)

    def is_limited(self, row):
        """Return whether a target has named a limit."""
        statement = self._statement_by_key.get(target_key(row))
        return statement is not None and statement.per_second != UNLIMITED

    def holder(self, key):
        """Return the :class:`~banyanshore.routing.permits.PermitHolder` of a target."""
        holder = self._holder_by_key.get(key)
        if holder is None:
            holder = self._holder_by_key[key] = PermitHolder()
        return holder

    def may_request(self, now, row):
        """Return whether a target may have room for a request within its limit."""
        return not self.is_limited(row) or self.holder(target_key(row)).may_request(now)

    def may_send(self, boottime, row, permit):
        """Return whether a request may be sent to a target now.

        :param permit: the :class:`~banyanshore.routing.permits.Permit` of the request,
            or ``None``.
        """
        if not self.is_limited(row):
            return True
        return permit is not None and boottime < permit.expires_at

    def first_room_at(self, rows):
        """Return the earliest time at which any of some limited targets has room."""
        return min(self.holder(target_key(row)).denied_until for row in rows)

    def in_force(self):
        """Return the statements by key of target."""
        return self._statement_by_key.items()

    def keep_only(self, now, rows):
        """Forget limits that ended, or whose targets were unregistered, a while ago."""
        known = {target_key(row) for row in rows}
        for key, statement in list(self._statement_by_key.items()):
            is_old = now - statement.stated_at > RETENTION_SECONDS
            is_over = statement.per_second == UNLIMITED or key not in known
            if is_old and is_over:
                del self._statement_by_key[key]
                self._holder_by_key.pop(key, None)


def target_key(row):
    """Return the id and incarnation of a target."""
    return row.id, row.incarnation
