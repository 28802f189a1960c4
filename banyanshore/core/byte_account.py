"""Account of the bytes and connections that callers take in a process.

Load pattern: callers that nobody controls send many large bodies at once and stop short
of their end, send requests ahead without reading the answers, or connect and send
nothing. Each one keeps the limits of a request; together they would exhaust the memory
or the descriptors of the process. The account says who is asked to stop, so that others
are still served.
"""

import heapq
from enum import Enum

# Part of the memory of a process that callers may take; buffers, copies made while
# bytes pass, and fragmentation take about as much again.
MEMORY_FRACTION = 1 / 4
# Part of the descriptors of a process that callers' connections may take; the rest is
# for targets, peers and files.
DESCRIPTOR_FRACTION = 1 / 2
# Bytes of a share beyond which it counts as large, and the part of the budget that all
# large shares may take: requests of ordinary size find room beside them.
LARGE_BYTES = 64 * 1024
LARGE_FRACTION = 3 / 4
# Bytes that an open connection takes by itself.
CONNECTION_BYTES = 16 * 1024
# Seconds without progress after which a caller counts as stalled.
STALLED_SECONDS = 1.0
# Part of a budget to which stopping callers frees it, so that the choice, which looks
# at all shares, isn't made for each piece that arrives.
FREED_FRACTION = 0.9


class Stage(Enum):
    """What the process does with a connection."""

    # No part of a request has arrived.
    IDLE = "idle"
    # A request is being read.
    READING = "reading"
    # A whole request is being processed, and waits for no act of its caller.
    RUNNING = "running"
    # An answer waits for its caller to read.
    SENDING = "sending"
    # All answers were written, and the connection is about to be closed.
    LINGERING = "lingering"


class Share:
    """What one connection takes.

    :ivar holder: whoever stops the connection, ``None`` while it can't be stopped.
    :ivar held: bytes that the process holds for it.
    :ivar buffered: bytes in the buffers of its transport and of the system.
    :ivar moved_at: time at which its caller last made progress, in seconds.
    :ivar unseen: bytes that were written since the buffers were last looked at.
    :ivar is_unread: whether its caller leaves much of an answer unread.
    :ivar is_stopped: whether it was asked to stop, and counts no longer.
    """

    __slots__ = (
        "buffered",
        "held",
        "holder",
        "is_stopped",
        "is_unread",
        "moved_at",
        "stage",
        "unseen",
    )

    def __init__(self, now):
        self.holder = None
        self.stage = Stage.IDLE
        self.held = CONNECTION_BYTES
        self.buffered = 0
        self.unseen = 0
        self.is_unread = False
        self.moved_at = now
        self.is_stopped = False

    @property
    def size(self):
        """Return all its bytes."""
        return self.held + self.buffered


class ByteAccount:
    """Shares of all connections of callers, within a budget.

    :param budget: bytes that all shares may take.
    :param max_connections: connections that callers may have at a time.
    :ivar total: bytes of all shares that weren't asked to stop.

    >>> account = ByteAccount(1_000_000, max_connections=2)
    >>> stuck, moving = account.open(0.0), account.open(0.0)
    >>> stuck.holder = moving.holder = "its connection"
    >>> stuck.stage = moving.stage = Stage.READING
    >>> account.hold(stuck, 300_000, now=0.0)
    >>> account.hold(moving, 600_000, now=5.0)
    >>> account.is_over, account.choose(now=5.0) == [stuck], account.is_over
    (True, True, False)
    """

    def __init__(self, budget, max_connections):
        self.budget = budget
        self.max_connections = max_connections
        self.total = 0
        self._large_budget = LARGE_FRACTION * budget
        # Bytes of the shares that count as large.
        self._large = 0
        self._shares = set()
        self._stopped = 0

    @property
    def is_over(self):
        """Whether the shares exceed the budget."""
        return self.total > self.budget or self._large > self._large_budget

    @property
    def is_full(self):
        """Whether no further connection may be opened, those that end included."""
        return len(self._shares) >= self.max_connections

    @property
    def needs_descriptor(self):
        """Whether a connection has to be stopped before another one is opened."""
        return len(self._shares) - self._stopped >= self.max_connections

    def open(self, now):
        """Return the :class:`Share` of a connection that was accepted."""
        share = Share(now)
        self._shares.add(share)
        self._count(share, 1)
        return share

    def close(self, share):
        """Remove the share of a connection that has ended."""
        self._shares.discard(share)
        if share.is_stopped:
            self._stopped -= 1
        else:
            self._count(share, -1)

    def hold(self, share, size, now):
        """Set the bytes that are held for a caller, who has made progress."""
        share.moved_at = now
        self._resize(share, CONNECTION_BYTES + size, share.buffered)

    def record_buffered(self, share, size, now, unsent=0):
        """Set the bytes in buffers; a change means that the caller makes progress.

        :param unsent: those of answers among them, which its system has not
            acknowledged.
        """
        share.unseen = 0
        share.is_unread = unsent > LARGE_BYTES
        if size != share.buffered:
            share.moved_at = now
            self._resize(share, share.held, size)

    def needs_look(self, share):
        """Return whether there may be bytes of a connection in buffers."""
        is_idle = share.stage is Stage.IDLE
        return not is_idle or share.buffered > 0 or share.unseen > 0

    def choose(self, now):
        """Choose the shares to stop while the budget is exceeded.

        The largest of those whose callers make no progress come first, then the largest
        of the others. A request that is being processed is never stopped here, unless
        its caller leaves the answer unread.
        """
        chosen = []
        if not self.is_over:
            return chosen
        queue = [
            (now - share.moved_at < STALLED_SECONDS, -share.size, number, share)
            for number, share in enumerate(self._shares)
            if self._may_stop(share)
        ]
        heapq.heapify(queue)
        while queue and self._is_above(FREED_FRACTION):
            share = heapq.heappop(queue)[-1]
            if self.total <= FREED_FRACTION * self.budget and not _is_large(share):
                continue
            self._stop(share)
            chosen.append(share)
        return chosen

    def choose_connection(self):
        """Choose the share to stop for the descriptor of its connection, or ``None``.

        Connections without a request come first, then the one whose caller has made no
        progress for longest.
        """
        shares = [share for share in self._shares if self._may_stop(share)]
        if not shares:
            return None
        chosen = min(
            shares,
            key=lambda share: (
                share.stage is not Stage.IDLE or share.is_unread,
                share.moved_at,
            ),
        )
        self._stop(chosen)
        return chosen

    def resume(self, share, stage):
        """Count a share again that was stopped, as its connection goes on."""
        share.stage = stage
        if share.is_stopped:
            share.is_stopped = False
            self._stopped -= 1
            self._count(share, 1)

    def _is_above(self, fraction):
        return (
            self.total > fraction * self.budget
            or self._large > fraction * self._large_budget
        )

    def _may_stop(self, share):
        is_running = share.stage is Stage.RUNNING and not share.is_unread
        return share.holder is not None and not share.is_stopped and not is_running

    def _stop(self, share):
        self._count(share, -1)
        if share.is_unread:
            share.stage = Stage.SENDING
        share.is_stopped = True
        self._stopped += 1

    def _resize(self, share, held, buffered):
        if not share.is_stopped:
            self._count(share, -1)
        share.held, share.buffered = held, buffered
        if not share.is_stopped:
            self._count(share, 1)

    def _count(self, share, sign):
        size = share.size
        self.total += sign * size
        if size > LARGE_BYTES:
            self._large += sign * size


def _is_large(share):
    return share.size > LARGE_BYTES
