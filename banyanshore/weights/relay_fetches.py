"""Decide what a member of a relay tree fetches and pushes, without I/O.

Load pattern: the origin becomes unavailable when a version is nearly complete, and
returns some seconds later. By then, old weights may hardly be used any more, and all
targets wait for the last chunks.
"""

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


def next_fetches(planner, now, is_root, is_stalled):
    """Return the :class:`~banyanshore.weights.planner_rows.Fetch` objects to start now.

    :param planner: the :class:`~banyanshore.weights.planner.TransferPlanner`.
    :param is_root: whether this instance fetches from the origin for all others.
    :param is_stalled: whether no new chunk has arrived for a while.
    """
    if is_root:
        # Neighbours may have chunks that a restarted root lacks. It fetches all others
        # itself without waiting, since no other member fetches from the origin.
        fetches = planner.tick_neighbour_fetches(now) if is_stalled else []
        return fetches + planner.tick_origin_fetches(now)
    return planner.tick(now) if is_stalled else []


def max_concurrent_pushes(is_local, is_urgent):
    """Return the number of concurrent pushes to one child.

    Load pattern: all targets receive a version over links that need more than half of
    the available time for one copy, and carry requests at the same time.

    :param is_local: whether the child is in the same data centre.
    :param is_urgent: whether the transfer is late.
    """
    if is_urgent:
        return PUSHES_URGENT
    return PUSHES_WITHIN_DATA_CENTRE if is_local else PUSHES_ACROSS
