"""What a member of a tree of relays fetches itself: decisions without input or output.

Load pattern: the origin goes away while a version is nearly whole, and comes back some
seconds later, when old weights may hardly be used any more and all targets wait for
the last chunks.
"""

# Chunks on their way to a child at once: in the same data centre one keeps the link
# busy and holds up requests the least; across regions the answer takes longer.
PUSHES_WITHIN_DATA_CENTRE = 1
PUSHES_ACROSS = 3
# The same to a child that is late, or serves nothing without them: its link is never
# idle between two, and there are few requests to hold up.
PUSHES_URGENT = 3
# Part of the time for which older weights may be used after which a transfer is late;
# an undisturbed one has ended by then.
URGENT_PART = 0.75
# Most times the retry delay between draws of a chunk in vain. One instance draws for
# all, so that an origin that is away is asked a few times a second at most.
MAX_BACKOFF = 2


def next_fetches(planner, now, is_root, is_stalled):
    """Return the :class:`~banyanshore.weights.planner_rows.Fetch` rows to start now.

    :param planner: the :class:`~banyanshore.weights.planner.TransferPlanner`.
    :param is_root: whether this instance draws from the origin for all others.
    :param is_stalled: whether nothing has come for long.
    """
    if is_root:
        # Others may have what a root that has just started lacks. Nobody but the root
        # gets the rest, so it never waits for others to bring it.
        fetches = planner.tick_neighbour_fetches(now) if is_stalled else []
        return fetches + planner.tick_origin_fetches(now)
    return planner.tick(now) if is_stalled else []


def pushes_at_once(is_near, is_urgent):
    """Return how many chunks are on their way to a child at once.

    Load pattern: all targets take a version over links that carry one copy in more
    than half of the time, beside their requests.

    :param is_near: whether it is in the same data centre.
    """
    if is_urgent:
        return PUSHES_URGENT
    return PUSHES_WITHIN_DATA_CENTRE if is_near else PUSHES_ACROSS
