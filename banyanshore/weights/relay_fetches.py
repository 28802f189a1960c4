"""Decide what a member of a relay tree fetches and pushes, without I/O.

Load pattern: the origin becomes unavailable when a version is nearly complete, and
returns some seconds later. By then, old weights may hardly be used any more, and all
targets wait for the last chunks.
"""

import math

from banyanshore.routing.timeouts import MAX_HEAD_SECONDS

# Longest queue of chunks on the link of a child, in seconds. A request that waits
# behind it still has most of the time that a gateway waits for an answer.
MAX_QUEUE_SECONDS = 0.25 * MAX_HEAD_SECONDS
# Concurrent pushes to one child. Within a data centre, one push keeps the link busy and
# delays requests the least; across regions, replies take longer.
PUSHES_WITHIN_DATA_CENTRE = 1
PUSHES_ACROSS = 3
# Concurrent pushes to a child that is late, or serves nothing without the chunks: its
# link is never idle between two pushes, and there are few requests to delay.
PUSHES_URGENT = 3
# Fraction of the time for which older weights may be used after which a transfer is
# late. An undisturbed transfer is complete by then.
URGENT_SHARE = 0.75
# Largest factor on the retry delay after failed fetches of a chunk from the origin. One
# instance fetches for all, so an unavailable origin gets a few requests per second.
MAX_BACKOFF = 2
# Seconds without a new chunk after which missing chunks are fetched, and the same while
# a pushed chunk is arriving slowly.
STALL_SECONDS = 1.5
SLOW_STALL_SECONDS = 4.0
# Seconds after which the next member of a data centre asks the origin in place of those
# before it. The origin has a link for one copy: each one that asks beside the root
# takes some of it from all.
ORIGIN_TURN_SECONDS = 4.0
# Seconds after a member's first own chunk from the origin in which its parent, which
# may have got the origin back at the same time, can push the next one.
HANDOVER_SECONDS = 0.5


def is_stalled(seconds_without_chunk, is_receiving):
    """Return whether a member has to fetch chunks, because none are pushed to it.

    Load pattern: the link of a member becomes so slow that one chunk takes seconds.
    Each chunk fetched over the same link would only delay the pushed one and requests.

    :param is_receiving: whether parts of a pushed chunk are arriving.
    """
    limit = SLOW_STALL_SECONDS if is_receiving else STALL_SECONDS
    return seconds_without_chunk > limit


def origin_fetch_limit(waited, rank, fetching_for):
    """Return how many chunks a member other than the root may fetch from the origin.

    Load pattern: the origin is away for some seconds, while all members wait for the
    same chunks. When it returns, it has to send each chunk once, to the root. The
    members ask in turn, one chunk each, in case the root or a parent can't.

    :param waited: seconds since a chunk was last pushed to this member.
    :param rank: its position in its data centre, see
        :meth:`~banyanshore.weights.tree.RelayTree.origin_rank`.
    :param fetching_for: seconds since the first chunk that it has fetched from the
        origin after that, ``None`` if there is none.

    >>> origin_fetch_limit(6.0, 2, None), origin_fetch_limit(6.0, 1, None)
    (0, 1)
    >>> origin_fetch_limit(6.0, 1, 0.2), origin_fetch_limit(7.0, 1, 1.2)
    (0, inf)
    """
    if waited <= STALL_SECONDS + rank * ORIGIN_TURN_SECONDS:
        return 0
    if fetching_for is None:
        return 1
    return 0 if fetching_for < HANDOVER_SECONDS else math.inf


def next_fetches(planner, now, is_root, is_stalled, origin_limit=0):
    """Return the :class:`~banyanshore.weights.planner_rows.Fetch` objects to start now.

    :param planner: the :class:`~banyanshore.weights.planner.TransferPlanner`.
    :param is_root: whether this instance fetches from the origin for all others.
    :param is_stalled: whether no new chunk has arrived for a while.
    :param origin_limit: most concurrent fetches of another member from the origin.
    """
    if is_root:
        # Neighbours may have chunks that a restarted root lacks. It fetches all others
        # itself without waiting, since no other member fetches from the origin.
        fetches = planner.tick_neighbour_fetches(now) if is_stalled else []
        return fetches + planner.tick_origin_fetches(now)
    fetches = planner.tick(now, origin_limit=0) if is_stalled else []
    if origin_limit:
        fetches += planner.tick_origin_fetches(now, origin_limit)
    return fetches


class PushTimes:
    """Measure how long one chunk occupies the link to a child.

    :param is_local: whether the child is in the same data centre, so that a reply takes
        no time worth measuring.
    """

    def __init__(self, is_local):
        self._is_local = is_local
        self._last_arrived_at = -math.inf
        # Seconds of the last two chunks, the last one first.
        self._recent_seconds = ()
        # Shortest times of a push with its reply, and of two chunks in a row.
        self._shortest_push = math.inf
        self._shortest_chunk = math.inf

    @property
    def chunk_seconds(self):
        """Return the seconds for which a chunk occupies the link, 0 if unknown.

        One chunk that took longer than the chunk before it, such as the first one after
        a pause of a process, doesn't count.
        """
        return min(self._recent_seconds, default=0.0)

    def record(self, started_at, arrived_at):
        """Record a push.

        :param arrived_at: time of the reply, minus the time that the child spent on it.
        """
        # A chunk that is queued behind another one starts to arrive after it.
        reaches_link_at = max(started_at + self._round_trip(), self._last_arrived_at)
        seconds = max(0.0, arrived_at - reaches_link_at)
        self._last_arrived_at = max(arrived_at, self._last_arrived_at)
        self._recent_seconds = (seconds, *self._recent_seconds[:1])
        self._shortest_push = min(self._shortest_push, arrived_at - started_at)
        if len(self._recent_seconds) > 1:
            # Two replies that are read at the same time make one of them look short.
            slower = max(self._recent_seconds)
            self._shortest_chunk = min(self._shortest_chunk, slower)

    def _round_trip(self):
        if self._is_local or self._shortest_chunk == math.inf:
            return 0.0
        return max(0.0, self._shortest_push - self._shortest_chunk)


def max_concurrent_pushes(is_local, is_urgent, chunk_seconds):
    """Return the number of concurrent pushes to one child.

    Load pattern: all targets receive a version over links that need more than half of
    the available time for one copy, and carry requests at the same time. A link may
    become several times slower meanwhile: one push keeps it busy then, and requests
    wait behind each further one.

    :param is_local: whether the child is in the same data centre.
    :param is_urgent: whether the transfer is late.
    :param chunk_seconds: seconds for which a chunk occupies the link to the child, 0 if
        unknown.
    """
    most = PUSHES_WITHIN_DATA_CENTRE if is_local else PUSHES_ACROSS
    if is_urgent:
        most = PUSHES_URGENT
    if chunk_seconds:
        return max(1, min(most, int(MAX_QUEUE_SECONDS / chunk_seconds)))
    # The first push within a data centre shows how fast the link is.
    return 1 if is_local else most
