"""Evidence for and against parts of prompts as the cause of crashes; does no I/O."""

import hashlib
import math
from collections import Counter

from banyanshore.core.values import dataclass
from banyanshore.routing.crashes import CRASHES_TO_REFUSE, refusal_seconds

# Bounds of the estimated share of a part's requests that crash their targets. A part
# with a smaller share is served.
MIN_CRASH_SHARE = 0.3
MAX_CRASH_SHARE = 0.95
# Crashes within this time count as one, since they have a common cause.
SIMULTANEOUS_SECONDS = 0.05
# Seconds for which crashes and lost requests count against parts that aren't refused,
# and answers that have begun count for parts: the latter at least for this time, at
# most for twice.
COUNTING_SECONDS = 120.0
# Maximum parts of one prompt, and of all prompts in the counts, that are considered.
MAX_PARTS_PER_PROMPT = 64
MAX_COUNTED_PARTS = 16_384
# Maximum parts that are weighed at a time, those of the most crashes.
MAX_WEIGHED = 256


def part_digest(model, part):
    """Return the digest of a part of a prompt for a model."""
    data = f"{model}\0{part}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()


def shared_part_digests(request):
    """Return the digests of the parts of a prompt that other requests may share.

    :param request: the :class:`~banyanshore.routing.caller_requests.CallerRequest`.
    """
    parts = dict.fromkeys(request.shared_parts[:MAX_PARTS_PER_PROMPT])
    return tuple(part_digest(request.model, part) for part in parts)


@dataclass(frozen=True)
class UnbegunLoss:
    """A crash of a target, and the requests there whose answers had not begun.

    :param target_id: address and incarnation of the target.
    :param parts: digests of the parts of their prompts.
    """

    target_id: tuple
    lost_at: float
    parts: frozenset


@dataclass(frozen=True)
class RefusedPart:
    """A part whose requests are refused.

    :param crashes: number of crashes that count against it.
    :param lost_at: time of the last of them.
    :param base_rate: rate of losses of other requests when it was weighed.
    """

    part: bytes
    crashes: int
    lost_at: float
    base_rate: float

    @property
    def refused_until(self):
        """Return the time until which requests with it are refused."""
        return self.lost_at + refusal_seconds(max(CRASHES_TO_REFUSE, self.crashes))


def log_likelihood_ratio(crashes, begun, base_rate):
    """Return the logarithm of the likelihood ratio of a part as the cause of crashes.

    :param crashes: crashes of targets with a request with the part that had not begun.
    :param begun: answers to requests with the part that have begun.
    :param base_rate: share of other requests that are lost before they begin.

    >>> log_likelihood_ratio(3, 0, 0.05) > math.log(1000)
    True
    >>> log_likelihood_ratio(3, 5, 0.05) > math.log(1000)
    False
    """
    if not crashes:
        return -math.inf
    crash_share = crashes / (crashes + begun)
    crash_share = min(MAX_CRASH_SHARE, max(MIN_CRASH_SHARE, crash_share))
    if crash_share <= base_rate:
        return -math.inf
    against = crashes * math.log(crash_share / base_rate)
    return against + begun * math.log((1 - crash_share) / (1 - base_rate))


def count_distinct(times):
    """Return the number of times that differ by more than ``SIMULTANEOUS_SECONDS``.

    >>> count_distinct([3.0, 1.0, 1.01])
    2
    """
    count, last = 0, -math.inf
    for at in sorted(times):
        if at - last > SIMULTANEOUS_SECONDS:
            count += 1
            last = at
    return count


def find_common_parts(losses, min_crashes):
    """Return the parts of several crashes, those of the most crashes first.

    >>> losses = [UnbegunLoss(1, 0.0, {b"a", b"b"}), UnbegunLoss(2, 1.0, {b"b"})]
    >>> find_common_parts(losses, 2)
    [b'b']
    """
    crashes_by_part = Counter()
    for loss in losses:
        crashes_by_part.update(loss.parts)
    found = [
        (-crashes, part)
        for part, crashes in crashes_by_part.items()
        if crashes >= min_crashes
    ]
    return [part for _, part in sorted(found)[:MAX_WEIGHED]]


class RecentCounts:
    """Counts by key over the last ``COUNTING_SECONDS`` or up to twice that."""

    def __init__(self):
        self._current = {}
        self._previous = {}
        self._rotate_at = -math.inf

    def add(self, now, key):
        """Count a key once more."""
        if now >= self._rotate_at:
            is_recent = now < self._rotate_at + COUNTING_SECONDS
            self._previous = self._current if is_recent else {}
            self._current = {}
            self._rotate_at = now + COUNTING_SECONDS
        # The least recently counted key comes first.
        self._current[key] = self._current.pop(key, 0) + 1
        if len(self._current) > MAX_COUNTED_PARTS:
            del self._current[next(iter(self._current))]

    def get(self, now, key):
        """Return the count of a key."""
        if now >= self._rotate_at + COUNTING_SECONDS:
            return 0
        return self._current.get(key, 0) + self._previous.get(key, 0)
