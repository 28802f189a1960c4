"""Expect when a target serves a version that is on its way to it, without I/O.

Load pattern: the grace period of older weights ends while the new ones are on their
way, and nothing is served. Gateways tell callers when to return by what loaders expect.
The origin may be away: then the time is the earliest one, if chunks came again now.
"""

import math
from collections import deque

from banyanshore.core.values import dataclass
from banyanshore.weights.version_order import COPY_SHARE, LOAD_SECONDS

# Seconds for a target to finish its requests before it can load: nearly the longest
# generation.
DRAIN_SECONDS = 2.0
# Number of chunks from which the time for one chunk is measured, and the fewest.
MEASURED_CHUNKS = 8
MIN_MEASURED_CHUNKS = 3
# Seconds between two chunks from which on the links aren't what delays the second one.
MAX_CHUNK_SECONDS = 0.5


@dataclass(frozen=True)
class CarryingState:
    """What a loader knows of a version that its target should serve.

    :param missing: fraction of its chunks that haven't arrived, 0 to 1.
    :param copy_seconds: seconds that a copy takes.
    :param active: requests that the target runs and has to finish before it loads.
    :param is_serving: whether the target serves the version.
    """

    missing: float
    copy_seconds: float
    active: int = 0
    is_serving: bool = False


def drain_seconds(active):
    """Return the seconds after which a target is expected to have ended its requests.

    The rest of each is expected anywhere within :data:`DRAIN_SECONDS`.

    >>> drain_seconds(0), drain_seconds(1), drain_seconds(9)
    (0.0, 1.0, 1.8)
    """
    return DRAIN_SECONDS * active / (active + 1)


def expected_ready_seconds(state):
    """Return the seconds until a target is expected to serve a version.

    Requests end while chunks arrive, since gateways send no more of them.

    >>> expected_ready_seconds(CarryingState(0.5, 4.0))
    2.6
    >>> expected_ready_seconds(CarryingState(0.0, 4.0, is_serving=True))
    0.0
    """
    if state.is_serving:
        return 0.0
    carry = state.missing * state.copy_seconds
    return max(carry, drain_seconds(state.active)) + LOAD_SECONDS


class ChunkPace:
    """Measure the time between chunks that arrive one after the other.

    Load pattern: the origin goes away for seconds and returns. The pause isn't a
    property of the links.
    """

    def __init__(self):
        self._last_at = -math.inf
        self._seconds = deque(maxlen=MEASURED_CHUNKS)

    def record(self, now):
        """Record a new chunk."""
        seconds = now - self._last_at
        self._last_at = now
        if seconds <= MAX_CHUNK_SECONDS:
            self._seconds.append(seconds)

    def copy_seconds(self, chunk_count, switch_seconds):
        """Return the seconds that a copy takes.

        :param switch_seconds: grace period of older weights, of which a copy is
            expected to take a part if too few chunks have arrived yet.
        """
        if len(self._seconds) < MIN_MEASURED_CHUNKS:
            return COPY_SHARE * switch_seconds
        return chunk_count * sum(self._seconds) / len(self._seconds)
