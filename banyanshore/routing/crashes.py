"""Which requests crash the targets that run them, as gateways find out together.

Load pattern: one request comes again and again, to any gateway, and each target that
begins to run it ends, with all that ran there. An answer that is lost shows nothing
alone, since connections are reset and cut for other reasons. It counts once its target
is known to have ended: nobody takes connections there any more, or it has started
again. A target that answers later after all has not ended, and what was counted of it
is withdrawn. Many callers may send the same request, and many targets may end at once
for a reason of their own, so that crashes at the same time count as one if a target
that did not run the request ended with them. A whole answer clears a request.
"""

from dataclasses import dataclass

# Seconds between a lost answer and the next start of its target, within which the one
# explains the other: a restart and the heartbeat that tells of it.
EXPLAIN_SECONDS = 10.0
# Crashes from which a request is refused.
MOST_CRASHES = 3
# Seconds after the last of so many crashes for which it is refused, and the factor
# for each further one: one that goes on to crash targets gets to few of them in a day,
# and one that was blamed wrongly is answered after a minute.
REFUSAL_SECONDS = 60.0
REFUSAL_FACTOR = 8
MAX_REFUSAL_FACTORS = 3
# Seconds after its last crash at which a request is forgotten that isn't refused.
EXPIRY_SECONDS = 900.0
# Seconds between the ends of targets that may have a cause in common.
SAME_TIME_SECONDS = 1.0
# Lost answers that may still be explained; the oldest are forgotten.
MAX_LOST = 2048
# Requests that are suspected; the oldest are forgotten.
MAX_SUSPECTS = 1024
# Crashes that are told again and again; bytes between regions are few.
MAX_CONVINCING = 64
# Requests that were cleared lately, so that late news doesn't bring them back.
MAX_CLEARED = 256


@dataclass(frozen=True)
class Crash:
    """A request that was lost with the target that ran it, or may have been.

    :param id: the target's address and incarnation, which tell crashes apart.
    :param offered_at: time at which the request was sent to the target.
    :param ended_at: time at which its answer was lost.
    """

    id: tuple
    fingerprint: bytes
    offered_at: float
    ended_at: float


def count_crashes(crashes, shared_ids=None):
    """Return how many crashes count.

    :param shared_ids: ids of those that may have another cause, by default all. Of
        these only those count that came one after the other.

    >>> one, other = Crash(1, b"", 0.0, 1.0), Crash(2, b"", 0.5, 1.1)
    >>> count_crashes([one, other]), count_crashes([one, other], {1})
    (1, 2)
    """
    count, last_end = 0, float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.ended_at):
        is_shared = shared_ids is None or crash.id in shared_ids
        if not is_shared or crash.offered_at >= last_end:
            count += 1
            last_end = crash.ended_at
    return count


def refusal_seconds(count):
    """Return for how long a request is refused after its last crash.

    >>> refusal_seconds(2), refusal_seconds(3), refusal_seconds(5)
    (0.0, 60.0, 3840.0)
    """
    if count < MOST_CRASHES:
        return 0.0
    return REFUSAL_SECONDS * REFUSAL_FACTOR ** min(
        MAX_REFUSAL_FACTORS, count - MOST_CRASHES
    )


class CrashWatch:
    """Lost answers, and the crashes that they turned out to be."""

    def __init__(self):
        self._lost_by_id = {}
        self._crash_by_id_by_fingerprint = {}
        # When targets ended, and when the last request was offered that they answered.
        self._ended_at_by_id = {}
        self._answered_at_by_id = {}
        self._cleared_at_by_fingerprint = {}

    @property
    def knows_any(self):
        """Tell whether any request is looked at, so that others need no digest."""
        return bool(self._lost_by_id or self._crash_by_id_by_fingerprint)

    def record_lost(self, crash):
        """Take an answer that was lost, which may be a crash."""
        self._lost_by_id.setdefault(crash.id, []).append(crash)
        while sum(map(len, self._lost_by_id.values())) > MAX_LOST:
            del self._lost_by_id[next(iter(self._lost_by_id))]

    def record_end(self, target_id):
        """Take a target for ended; return the crashes that lost answers were."""
        found = self._lost_by_id.pop(target_id, [])
        for crash in found:
            self.record_crash(crash)
        return found

    def explain(self, now, incarnation_by_address):
        """Look for targets that have started again.

        :param incarnation_by_address: incarnations of the targets that are known now.
        :return: the crashes found, and the lost answers that are no longer looked at.
        """
        found, unexplained = [], []
        for target_id, lost in list(self._lost_by_id.items()):
            kept = [crash for crash in lost if now - crash.ended_at <= EXPLAIN_SECONDS]
            unexplained += [crash for crash in lost if crash not in kept]
            self._keep_lost(target_id, kept)
            address, incarnation = target_id
            if incarnation_by_address.get(address, incarnation) > incarnation:
                # It may have answered under its old name after it had started again.
                self._answered_at_by_id.pop(target_id, None)
                found += self.record_end(target_id)
        self._forget(now, incarnation_by_address)
        return found, unexplained

    def record_crash(self, crash):
        """Count a crash that this or another gateway has found; tell whether it is new.

        It isn't one if the target has answered since, or the request was.
        """
        cleared_at = self._cleared_at_by_fingerprint.get(crash.fingerprint)
        if cleared_at is not None and crash.ended_at <= cleared_at:
            return False
        if self._answered_at_by_id.get(crash.id, float("-inf")) > crash.ended_at:
            return False
        table = self._crash_by_id_by_fingerprint
        crashes = table.pop(crash.fingerprint, {})
        is_new = crash.id not in crashes
        crashes.setdefault(crash.id, crash)
        # The newest come last.
        table[crash.fingerprint] = crashes
        if len(table) > MAX_SUSPECTS:
            del table[next(iter(table))]
        self._ended_at_by_id.setdefault(crash.id, crash.ended_at)
        return is_new

    def record_answer(self, target_id, offered_at):
        """Take an answer of a target, which has not ended before it was asked.

        :param offered_at: time at which the request was sent to it.
        :return: whether any crash is withdrawn.
        """
        known_at = self._answered_at_by_id.get(target_id, float("-inf"))
        self._answered_at_by_id[target_id] = max(known_at, offered_at)
        if self._ended_at_by_id.get(target_id, offered_at) >= offered_at:
            return False
        del self._ended_at_by_id[target_id]
        for fingerprint, crashes in list(self._crash_by_id_by_fingerprint.items()):
            withdrawn = crashes.pop(target_id, None)
            if withdrawn is not None:
                # Its target may still turn out to have started again.
                self.record_lost(withdrawn)
            if not crashes:
                del self._crash_by_id_by_fingerprint[fingerprint]
        return True

    def record_whole(self, now, fingerprint):
        """Clear a request that was answered; tell whether it was suspected."""
        for target_id, lost in list(self._lost_by_id.items()):
            kept = [crash for crash in lost if crash.fingerprint != fingerprint]
            self._keep_lost(target_id, kept)
        if self._crash_by_id_by_fingerprint.pop(fingerprint, None) is None:
            return False
        cleared = self._cleared_at_by_fingerprint
        cleared.pop(fingerprint, None)
        cleared[fingerprint] = now
        if len(cleared) > MAX_CLEARED:
            del cleared[next(iter(cleared))]
        return True

    def count(self, fingerprint):
        """Return how many crashes of a request count."""
        crashes = self._crash_by_id_by_fingerprint.get(fingerprint, {})
        if len(crashes) < 2:
            return len(crashes)
        others = [at for key, at in self._ended_at_by_id.items() if key not in crashes]
        shared_ids = {
            crash.id
            for crash in crashes.values()
            if any(abs(at - crash.ended_at) <= SAME_TIME_SECONDS for at in others)
        }
        return count_crashes(crashes.values(), shared_ids)

    def is_refused(self, now, fingerprint):
        """Tell whether a request is known to crash its targets."""
        crashes = self._crash_by_id_by_fingerprint.get(fingerprint)
        if not crashes:
            return False
        last_end = max(crash.ended_at for crash in crashes.values())
        return now - last_end < refusal_seconds(self.count(fingerprint))

    def convincing(self):
        """Return the newest crashes of requests that are refused, or nearly so."""
        found = []
        for crashes in reversed(self._crash_by_id_by_fingerprint.values()):
            if len(crashes) >= MOST_CRASHES - 1:
                found += list(crashes.values())[-MOST_CRASHES:]
            if len(found) >= MAX_CONVINCING:
                break
        return found

    def _keep_lost(self, target_id, kept):
        if kept:
            self._lost_by_id[target_id] = kept
        else:
            del self._lost_by_id[target_id]

    def _forget(self, now, incarnation_by_address):
        """Forget old crashes, and targets that are no longer known."""
        for fingerprint, crashes in list(self._crash_by_id_by_fingerprint.items()):
            last_end = max(crash.ended_at for crash in crashes.values())
            refused_seconds = refusal_seconds(self.count(fingerprint))
            if now - last_end > max(EXPIRY_SECONDS, 2 * refused_seconds):
                del self._crash_by_id_by_fingerprint[fingerprint]
        for target_id, at in list(self._ended_at_by_id.items()):
            if now - at > EXPIRY_SECONDS:
                del self._ended_at_by_id[target_id]
        for target_id in list(self._answered_at_by_id):
            address, incarnation = target_id
            if incarnation_by_address.get(address) != incarnation:
                del self._answered_at_by_id[target_id]
