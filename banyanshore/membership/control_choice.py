"""Choose the control instance that a follower follows."""

import hashlib

from banyanshore.core.values import dataclass

# Seconds for which an instance is avoided after it failed, doubled with each further
# failure, and their limit.
AVOID_SECONDS = 4.0
MAX_AVOID_SECONDS = 60.0
# Consecutive answers without a confirmed state after which an instance is left. It may
# have waited for an election, which another instance would wait for as well.
UNCONFIRMED_ANSWERS = 2


@dataclass(frozen=True)
class Avoidance:
    """The time for which an instance is avoided after its latest failure.

    :param seconds: length of that time, before it is spread over followers.
    """

    seconds: float
    failed_at: float
    ends_at: float


_NOT_AVOIDED = Avoidance(AVOID_SECONDS / 2, float("-inf"), float("-inf"))


class ControlChoice:
    """Rank control instances differently for each follower.

    Load pattern: an instance is slow, cut off or restarts, and its followers leave it
    at the same time. They spread over the others, those of the same data centre first,
    and return one after another.

    :param member: row of the instance that follows.
    """

    def __init__(self, member):
        self._member = member
        self._avoidance_by_instance = {}
        self._unconfirmed = 0

    def choose(self, now, ranked):
        """Return the instance to follow.

        :param ranked: names of the instances, as from :meth:`rank`.
        """
        for instance in ranked:
            if self._avoidance(instance).ends_at <= now:
                return instance
        return min(ranked, key=lambda instance: self._avoidance(instance).failed_at)

    def rank(self, rows, seeds):
        """Return the names of all instances, the preferred one first.

        :param rows: rows of the known control instances.
        :param seeds: names of instances, of which some may not be known otherwise.
        """
        distance_by_instance = dict.fromkeys(seeds, 3)
        for row in rows:
            distance_by_instance[row.instance] = self._distance(row)
        return sorted(
            distance_by_instance,
            key=lambda name: (distance_by_instance[name], self._score(name)),
        )

    def record_confirmed(self, instance):
        """Record that an instance confirmed the state."""
        self._unconfirmed = 0
        self._avoidance_by_instance.pop(instance, None)

    def record_unconfirmed(self, now, instance):
        """Record that an instance answered that it could not confirm the state."""
        self._unconfirmed += 1
        if self._unconfirmed >= UNCONFIRMED_ANSWERS:
            self.record_failure(now, instance)

    def record_failure(self, now, instance):
        """Record that an instance did not answer, or was left."""
        self._unconfirmed = 0
        seconds = min(MAX_AVOID_SECONDS, 2 * self._avoidance(instance).seconds)
        ends_at = now + seconds * (1 + self._fraction(instance))
        self._avoidance_by_instance[instance] = Avoidance(seconds, now, ends_at)

    def _avoidance(self, instance):
        return self._avoidance_by_instance.get(instance, _NOT_AVOIDED)

    def _distance(self, row):
        if row.data_centre == self._member.data_centre:
            return 0
        return 1 if row.region == self._member.region else 2

    def _score(self, instance):
        """Return a hash, by which each follower has an order of its own."""
        text = f"{self._member.instance}\0{instance}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    def _fraction(self, instance):
        return self._score(instance)[-1] / 256
