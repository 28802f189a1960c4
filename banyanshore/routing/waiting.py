"""Queue of requests that wait for a target: priorities, fairness and load shedding."""

import itertools
from collections import Counter, deque

from banyanshore.core.values import dataclass
from banyanshore.routing.messages import RefusalReason


@dataclass(frozen=True)
class WaitingRow:
    """A queued request.

    :param priority: lower values go first.
    :param expires_at: time at which it is shed.
    :param wake: callable that gets ``None`` to try again, or a refusal reason.
    """

    request_id: str
    workspace: str
    service: str
    priority: int
    expires_at: float
    wake: object


class WaitingQueue:
    """Fair queue of requests by service, priority and workspace.

    Within a priority the workspace with the fewest running requests goes first, so that
    a large workspace can't starve small ones.

    :param max_length: maximum number of queued requests in total.
    """

    def __init__(self, max_length):
        self._max_length = max_length
        self._queue_by_key = {}
        self._order = itertools.count()
        self._last_served = {}
        self.length = 0
        # Number of running requests by workspace.
        self.running = Counter()

    def add(self, row, to_front=False):
        """Queue a request; return ``False`` if the queue is full.

        :param to_front: whether it was woken without success and goes back to the
            front.
        """
        if self.length >= self._max_length:
            return False
        key = (row.service, row.priority, row.workspace)
        queue = self._queue_by_key.setdefault(key, deque())
        if to_front:
            queue.appendleft(row)
        else:
            queue.append(row)
        self.length += 1
        return True

    def discard(self, row):
        """Remove a request that no longer waits."""
        key = (row.service, row.priority, row.workspace)
        queue = self._queue_by_key.get(key, ())
        if row in queue:
            queue.remove(row)
            self._shrink(key)

    def wake_next(self, service):
        """Wake the first request of a service; return whether there was one."""
        keys = [key for key in self._queue_by_key if key[0] == service]
        if not keys:
            return False
        key = min(keys, key=self._rank)
        row = self._queue_by_key[key].popleft()
        self._last_served[key[2]] = next(self._order)
        self._shrink(key)
        row.wake(None)
        return True

    def shed_expired(self, now):
        """Wake each expired request with the refusal reason ``FULL``."""
        for key, queue in list(self._queue_by_key.items()):
            for row in [row for row in queue if row.expires_at <= now]:
                queue.remove(row)
                self._shrink(key)
                row.wake(RefusalReason.FULL)

    def has_waiting(self, service, priority):
        """Return whether a request of the same or a higher priority is queued."""
        return any(
            key[0] == service and key[1] <= priority for key in self._queue_by_key
        )

    def services(self):
        """Return the services that have queued requests."""
        return {key[0] for key in self._queue_by_key}

    def _rank(self, key):
        _, priority, workspace = key
        return (
            priority,
            self.running[workspace],
            self._last_served.get(workspace, -1),
        )

    def _shrink(self, key):
        self.length -= 1
        if not self._queue_by_key[key]:
            del self._queue_by_key[key]
