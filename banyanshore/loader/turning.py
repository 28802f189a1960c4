"""Decide when a target turns to a version, as one of a fleet, without I/O.

Load pattern: all targets of a service change their weights within seconds at full load.
Each of them ends its requests first, which takes as long as an answer, so that waves
that follow each other faster are all out at the same time. Older weights may be used
until the end of a grace period, so the targets turn in as many groups as there is time
for one after the other, and no sooner than needed: callers have the most targets left
then, whatever the demand is.

All loaders know the names of the loaders of their service, and so the order, without a
message. Each counts from what its own target lacks and runs; targets that get their
weights at other times turn at other times.
"""

import hashlib
import math
from functools import lru_cache

from banyanshore.core.values import dataclass
from banyanshore.weights.ready_time import drain_seconds
from banyanshore.weights.version_order import LOAD_SECONDS, MIN_SERVING_SECONDS

# Seconds without a new chunk after which a transfer isn't expected to go on as before.
MAX_CHUNK_GAP_SECONDS = 0.5
# Seconds between two checks of a loader whether its target turns, at most.
CHECK_SECONDS = 0.2


def turn_share(instance, names_by_data_centre, version):
    """Return the place of a target in the order of turning, 0 to below 1.

    The targets of a data centre are spread evenly over the order, and so are the data
    centres among each other. The order differs between versions, so that it isn't
    always the same callers who wait.

    :param instance: name of the loader.
    :param names_by_data_centre: names of all loaders of the service.

    >>> names = {"a": {"a-1", "a-2"}, "b": {"b-1", "b-2"}}
    >>> sorted(turn_share(name, names, 2) for row in names.values() for name in row)
    [0.0, 0.25, 0.5, 0.75]
    """
    data_centres = sorted(
        (name for name, names in names_by_data_centre.items() if names),
        key=lambda name: _score(name, version),
    )
    for position, data_centre in enumerate(data_centres):
        names = names_by_data_centre[data_centre]
        if instance in names:
            ranked = sorted(names, key=lambda name: _score(name, version))
            place = ranked.index(instance) + position / len(data_centres)
            return place / len(ranked)
    return 0.0


# A loader asks for its place at each check, and the loaders rarely change.
@lru_cache(maxsize=10_000)
def _score(name, version):
    data = f"{name}\0{version}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()


@dataclass(frozen=True)
class TurnState:
    """What a loader knows of the turn of its target; times are monotonic.

    :param share: place in the order of turning, see :func:`turn_share`.
    :param targets: number of targets of the service.
    :param whole_at: time at which the chunks are, or are expected to be, complete.
    :param load_by: time from which the target's version may not be used.
    :param active: requests that the target runs.
    :param ends_at: time from which the version that it turns to may not be used,
        ``inf`` if no newer one is known.
    """

    share: float
    targets: int
    whole_at: float
    load_by: float
    active: int
    ends_at: float = math.inf

    @property
    def latest_begin(self):
        """Return the latest time at which a turn is worth its load.

        Load pattern: two versions are named in a row. A target that turns to the older
        one at the end of the grace period before it, and has many requests to end, is
        ready when that version may hardly be used any more, and passes it over.
        """
        seconds = drain_seconds(self.active) + LOAD_SECONDS + MIN_SERVING_SECONDS
        return min(self.load_by, self.ends_at - seconds - CHECK_SECONDS)


@dataclass(frozen=True)
class Turn:
    """When a target turns.

    :param begins_at: time from which it gets no more requests.
    :param groups: number of groups that turn one after the other.
    :param group: position of its own one.
    """

    begins_at: float
    groups: int
    group: int


def plan_turn(state):
    """Return the :class:`Turn` of a target.

    The first group ends its requests while the last chunks arrive. Each further one
    turns as soon as the one before it is back, or earlier, so that the last one has
    turned once its older weights may not be used any more.

    >>> [plan_turn(TurnState(n / 4, 4, 5.0, 9.0, 0)).begins_at for n in range(4)]
    [5.0, 5.6, 6.2, 6.8]
    """
    drain = drain_seconds(state.active)
    turn = drain + LOAD_SECONDS
    first_at = state.whole_at - drain
    seconds = max(0.0, state.latest_begin - first_at)
    groups = max(1, min(state.targets, 1 + round(seconds / turn)))
    group = min(groups - 1, int(state.share * groups))
    between = min(turn, seconds / max(1, groups - 1))
    return Turn(first_at + group * between, groups, group)


def should_drain(now, turn, state, seconds_without_chunk):
    """Return whether a target should get no more requests, since it loads soon.

    Load pattern: the origin becomes unavailable when a version is nearly complete.
    Targets have to keep serving while no chunks arrive. One whose weights won't be
    complete before its older ones are out of date serves until then.

    :param turn: result of :func:`plan_turn`.
    :param seconds_without_chunk: seconds since the last new chunk.
    """
    is_whole = state.whole_at <= now
    if not is_whole and seconds_without_chunk > MAX_CHUNK_GAP_SECONDS:
        return False
    is_in_time = is_whole or state.whole_at <= state.load_by
    return is_in_time and turn.begins_at <= now
