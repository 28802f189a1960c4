"""Short, ordered wait of requests that have found no room, free of I/O.

Load pattern: for some seconds there are more requests than the targets can serve.
Places become free every few tens of milliseconds, but a request that is refused returns
after seconds, when its objective has passed, and takes the place of one that could
still be in time.

A request waits while it can be in time. A place that becomes free goes to the most
urgent request, among equals to one that can still be in time, then to the workspace
with the fewest requests in progress, then to the one that has to start first. A request
is turned away at once if more go before it than places are expected to become free, or
if most of its kind have lately waited in vain.
"""

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from banyanshore.routing.rank_shares import FadingCount

# Maximum number of requests that wait at a gateway.
MAX_WAITING = 256
# Maximum size of the bodies of requests that wait at a gateway, in bytes.
MAX_WAITING_BYTES = 8 * 1024 * 1024
# Seconds over which the places that became free are counted.
RATE_SECONDS = 2.0
# Fraction of the requests of a kind that have to find room while they wait, or others
# of that kind are turned away at once, until the number of those that have waited has
# faded to the minimum.
MIN_FOUND_PART = 0.5
MIN_COUNTED = 2.0


@dataclass(frozen=True, eq=False)
class Turn:
    """A request that waits for room at a target.

    :param rank: the :class:`~banyanshore.routing.ranks.Rank` of the request.
    :param is_late: whether it can't be in time any more.
    :param ends_at: time until which it waits.
    :param needs: what distinguishes the targets that may serve it, such as regions;
        requests with equal needs find room at the same targets.
    :param body_bytes: size of the body that is held.
    :param wake: callable that gets the needs for which no room was found since a place
        became free, or ``None`` if the request has to end its wait.
    """

    service: str
    rank: object
    workspace: str
    is_late: bool
    ends_at: float
    needs: object
    body_bytes: int
    wake: Callable


class TurnQueue:
    """Requests that wait at one gateway, and the order in which they get room."""

    def __init__(self):
        self._turns_by_service = {}
        self._count = 0
        self._is_closed = False
        # Requests of this gateway in progress at targets, by service and workspace.
        self._in_progress = Counter()
        self._freed_by_service = {}
        # Waits that have ended, by service, rank and whether the request was late.
        self._waits_by_kind = {}
        self.waiting_bytes = 0

    def __len__(self):
        return self._count

    def services(self):
        """Return the services for which requests wait."""
        return list(self._turns_by_service)

    def add(self, now, turn):
        """Let a request wait; return whether it may.

        It may not if it would not be served in time, or if too many wait already and
        none of them is less urgent.
        """
        if self._is_closed or turn.ends_at <= now:
            return False
        ahead = sum(
            self._order(other) <= self._order(turn)
            for other in self._turns_by_service.get(turn.service, ())
        )
        # Another gateway's request may free a place as well, which isn't counted.
        if ahead and ahead > self._expected_places(now, turn):
            return False
        if self._is_vain(now, turn):
            return False
        if not self._make_space(turn):
            return False
        self._turns_by_service.setdefault(turn.service, []).append(turn)
        self._count += 1
        self.waiting_bytes += turn.body_bytes
        return True

    def record_wait(self, now, turn, has_found):
        """Record the end of a wait, and whether the request has found room."""
        self._waits(turn).add(now, 1, int(has_found))

    def discard(self, turn):
        """Remove a request that no longer waits."""
        turns = self._turns_by_service.get(turn.service, [])
        if turn not in turns:
            return
        turns.remove(turn)
        if not turns:
            del self._turns_by_service[turn.service]
        self._count -= 1
        self.waiting_bytes -= turn.body_bytes

    def goes_before(self, turn):
        """Return whether a request that waits has to be served before another one."""
        order = self._order(turn)
        return any(
            self._order(other) < order and other.needs == turn.needs
            for other in self._turns_by_service.get(turn.service, ())
        )

    def record_begin(self, service, workspace):
        """Count a request that is sent to a target."""
        self._in_progress[service, workspace] += 1

    def record_end(self, now, service, workspace):
        """Count the end of a request at a target, which frees its place."""
        key = service, workspace
        self._in_progress[key] -= 1
        if not self._in_progress[key]:
            del self._in_progress[key]
        self._recent_places(now, service).append(now)

    def wake_next(self, service, full_needs=frozenset()):
        """Wake the request that is next; return whether there is one.

        :param full_needs: needs for which there is no room.
        """
        turns = [
            turn
            for turn in self._turns_by_service.get(service, ())
            if turn.needs not in full_needs
        ]
        if not turns:
            return False
        min(turns, key=self._order).wake(full_needs)
        return True

    def close(self):
        """End all waits, and admit no more."""
        self._is_closed = True
        for turns in self._turns_by_service.values():
            for turn in turns:
                turn.wake(None)

    def _order(self, turn):
        in_progress = self._in_progress[turn.service, turn.workspace]
        return turn.rank.position, turn.is_late, in_progress, turn.ends_at

    def _waits(self, turn):
        kind = turn.service, turn.rank.position, turn.is_late
        return self._waits_by_kind.setdefault(kind, FadingCount())

    def _is_vain(self, now, turn):
        """Return whether most requests of a kind have lately waited in vain."""
        waits = self._waits(turn)
        waits.add(now, 0, 0)
        return waits.asked >= MIN_COUNTED and waits.part < MIN_FOUND_PART

    def _make_space(self, turn):
        """Return whether a request fits, after ending the wait of less urgent ones."""
        fits = turn.body_bytes <= MAX_WAITING_BYTES
        while fits and not self._has_space(turn.body_bytes):
            last = max(
                (other for turns in self._turns_by_service.values() for other in turns),
                key=self._order,
            )
            fits = self._order(last) > self._order(turn)
            if fits:
                self.discard(last)
                last.wake(None)
        return fits

    def _has_space(self, body_bytes):
        total = self.waiting_bytes + body_bytes
        return self._count < MAX_WAITING and total <= MAX_WAITING_BYTES

    def _expected_places(self, now, turn):
        """Return how many places are expected to become free while a request waits."""
        rate = len(self._recent_places(now, turn.service)) / RATE_SECONDS
        return math.inf if turn.ends_at == math.inf else rate * (turn.ends_at - now)

    def _recent_places(self, now, service):
        places = self._freed_by_service.setdefault(service, deque())
        while places and places[0] <= now - RATE_SECONDS:
            places.popleft()
        return places
