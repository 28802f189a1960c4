"""What a member of a tree of relays fetches itself: decisions without input or output.

Load pattern: the origin goes away while a version is nearly whole, and comes back some
seconds later, when old weights may hardly be used any more and all targets wait for
the last chunks.
"""

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
        fetches = planner.tick_exchange(now) if is_stalled else []
        return fetches + planner.tick_draws(now)
    return planner.tick(now) if is_stalled else []
