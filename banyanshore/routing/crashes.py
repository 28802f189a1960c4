"""Detection of requests that crash the targets that run them.

Load pattern: one request is sent again and again, to any gateway, and each target that
starts to run it crashes, along with all other requests there. A lost answer alone
proves nothing, since connections are also reset or cut for other reasons. It counts as
a crash once its target is known to have exited: it refuses connections, or it has
started again. If the target answers a request sent later, it has not exited, and the
crash is withdrawn. Many callers may send the same request, and many targets may exit at
once for another reason, so simultaneous crashes count as one if a target that did not
run the request exited at the same time. A complete answer clears a request.
"""

from dataclasses import dataclass

# Seconds between a lost answer and the restart of its target within which the answer
# counts as lost by a crash: a restart and the heartbeat that reports it.
MAX_RESTART_SECONDS = 10.0
# Number of crashes after which a request is refused.
CRASHES_TO_REFUSE = 3
# Seconds for which it is refused after the last of these crashes, and the factor for
# each further crash: a request that keeps crashing targets reaches few of them in a
# day, and a request that was blamed wrongly is answered after a minute.
REFUSAL_SECONDS = 60.0
REFUSAL_FACTOR = 8
MAX_REFUSAL_FACTORS = 3
# Seconds after its last crash at which a request that isn't refused is forgotten.
EXPIRY_SECONDS = 900.0
# Maximum seconds between exits of targets that may have a common cause.
SIMULTANEOUS_SECONDS = 1.0
# Lost answers whose targets may still turn out to have exited; the oldest are dropped.
MAX_LOST = 2048
# Suspected requests; the oldest are dropped.
MAX_SUSPECTS = 1024
# Crashes that are sent repeatedly to other gateways, bounded since bandwidth between
# regions is scarce.
MAX_REPEATED_CRASHES = 64
# Recently cleared requests, kept so that late updates don't make them suspects again.
MAX_CLEARED = 256


@dataclass(frozen=True)
class Crash:
    """A request whose answer was lost because its target crashed, or may have.

    :param id: the target's address and incarnation; crashes with equal ids are one.
    :param offered_at: time at which the request was sent to the target.
    :param lost_at: time at which its answer was lost.
    """

    id: tuple
    fingerprint: bytes
    offered_at: float
    lost_at: float


def count_crashes(crashes, shared_ids=None):
    """Return the number of crashes that count against a request.

    :param shared_ids: ids of the crashes that may have another cause, by default all.
        Of these, overlapping ones count once: a crash counts if its request was sent
        after the previous crash.

    >>> one, other = Crash(1, b"", 0.0, 1.0), Crash(2, b"", 0.5, 1.1)
    >>> count_crashes([one, other]), count_crashes([one, other], {1})
    (1, 2)
    """
    count, last_lost_at = 0, float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.lost_at):
        is_shared = shared_ids is None or crash.id in shared_ids
        if not is_shared or crash.offered_at >= last_lost_at:
            count += 1
            last_lost_at = crash.lost_at
    return count


def refusal_seconds(count):
    """Return the seconds for which a request is refused after its last crash.

    :param count: number of its crashes.

    >>> refusal_seconds(2), refusal_seconds(3), refusal_seconds(5)
    (0.0, 60.0, 3840.0)
    """
    if count < CRASHES_TO_REFUSE:
        return 0.0
    return REFUSAL_SECONDS * REFUSAL_FACTOR ** min(
        MAX_REFUSAL_FACTORS, count - CRASHES_TO_REFUSE
    )


class CrashDetector:
    """Track lost answers, and find out which of them were lost by crashes."""

    def __init__(self):
        self._lost_by_id = {}
        self._crash_by_id_by_fingerprint = {}
        # Time at which each target exited, and send time of the last request that each
        # target answered.
        self._exited_at_by_id = {}
        self._answered_at_by_id = {}
        self._cleared_at_by_fingerprint = {}

    @property
    def has_records(self):
        """Return whether anything is recorded; if not, requests need no digest."""
        return bool(self._lost_by_id or self._crash_by_id_by_fingerprint)

    def record_lost(self, crash):
        """Record a lost answer, which may be due to a crash."""
        self._lost_by_id.setdefault(crash.id, []).append(crash)
        while sum(map(len, self._lost_by_id.values())) > MAX_LOST:
            del self._lost_by_id[next(iter(self._lost_by_id))]

    def record_exit(self, target_id):
        """Record that a target has exited; return the crashes that this reveals."""
        found = self._lost_by_id.pop(target_id, [])
        for crash in found:
            self.record_crash(crash)
        return found

    def find_restarts(self, now, incarnation_by_address):
        """Find the crashes of targets that have started again since an answer was lost.

        :param incarnation_by_address: incarnations of the registered targets.
        :return: the crashes found, and the lost answers that are given up as
            unexplained.
        """
        found, unexplained = [], []
        for target_id, lost in list(self._lost_by_id.items()):
            kept = [
                crash for crash in lost if now - crash.lost_at <= MAX_RESTART_SECONDS
            ]
            unexplained += [crash for crash in lost if crash not in kept]
            self._keep_lost(target_id, kept)
            address, incarnation = target_id
            if incarnation_by_address.get(address, incarnation) > incarnation:
                # It may have answered after the restart, before its new incarnation was
                # registered.
                self._answered_at_by_id.pop(target_id, None)
                found += self.record_exit(target_id)
        self._forget(now, incarnation_by_address)
        return found, unexplained

    def record_crash(self, crash):
        """Count a crash found by this or another gateway; return whether it is new.

        A crash is ignored if the target has answered since, or if the request was
        cleared since.
        """
        cleared_at = self._cleared_at_by_fingerprint.get(crash.fingerprint)
        if cleared_at is not None and crash.lost_at <= cleared_at:
            return False
        if self._answered_at_by_id.get(crash.id, float("-inf")) > crash.lost_at:
            return False
        table = self._crash_by_id_by_fingerprint
        crashes = table.pop(crash.fingerprint, {})
        is_new = crash.id not in crashes
        crashes.setdefault(crash.id, crash)
        # The request with the newest crash comes last.
        table[crash.fingerprint] = crashes
        if len(table) > MAX_SUSPECTS:
            del table[next(iter(table))]
        self._exited_at_by_id.setdefault(crash.id, crash.lost_at)
        return is_new

    def record_answer(self, target_id, offered_at):
        """Record that a target was alive, and withdraw an earlier crash of it.

        :param offered_at: send time of a request that the target has answered.
        :return: whether any crash was withdrawn.
        """
        last_answered_at = self._answered_at_by_id.get(target_id, float("-inf"))
        self._answered_at_by_id[target_id] = max(last_answered_at, offered_at)
        if self._exited_at_by_id.get(target_id, offered_at) >= offered_at:
            return False
        del self._exited_at_by_id[target_id]
        for fingerprint, crashes in list(self._crash_by_id_by_fingerprint.items()):
            withdrawn = crashes.pop(target_id, None)
            if withdrawn is not None:
                # A restart of its target may still explain the lost answer.
                self.record_lost(withdrawn)
            if not crashes:
                del self._crash_by_id_by_fingerprint[fingerprint]
        return True

    def record_complete_answer(self, now, fingerprint):
        """Clear a request that was answered; return whether it was suspected."""
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
        """Return the number of crashes that count against a request."""
        crashes = self._crash_by_id_by_fingerprint.get(fingerprint, {})
        if len(crashes) < 2:
            return len(crashes)
        others = [at for key, at in self._exited_at_by_id.items() if key not in crashes]
        shared_ids = {
            crash.id
            for crash in crashes.values()
            if any(abs(at - crash.lost_at) <= SIMULTANEOUS_SECONDS for at in others)
        }
        return count_crashes(crashes.values(), shared_ids)

    def is_refused(self, now, fingerprint):
        """Return whether a request is refused because it crashes its targets."""
        crashes = self._crash_by_id_by_fingerprint.get(fingerprint)
        if not crashes:
            return False
        last_lost_at = max(crash.lost_at for crash in crashes.values())
        return now - last_lost_at < refusal_seconds(self.count(fingerprint))

    def crashes_to_repeat(self):
        """Return the latest crashes of requests that are refused or one crash short."""
        found = []
        for crashes in reversed(self._crash_by_id_by_fingerprint.values()):
            if len(crashes) >= CRASHES_TO_REFUSE - 1:
                found += list(crashes.values())[-CRASHES_TO_REFUSE:]
            if len(found) >= MAX_REPEATED_CRASHES:
                break
        return found

    def _keep_lost(self, target_id, kept):
        if kept:
            self._lost_by_id[target_id] = kept
        else:
            del self._lost_by_id[target_id]

    def _forget(self, now, incarnation_by_address):
        """Forget old crashes, and targets that are no longer registered."""
        for fingerprint, crashes in list(self._crash_by_id_by_fingerprint.items()):
            last_lost_at = max(crash.lost_at for crash in crashes.values())
            refused_seconds = refusal_seconds(self.count(fingerprint))
            if now - last_lost_at > max(EXPIRY_SECONDS, 2 * refused_seconds):
                del self._crash_by_id_by_fingerprint[fingerprint]
        for target_id, at in list(self._exited_at_by_id.items()):
            if now - at > EXPIRY_SECONDS:
                del self._exited_at_by_id[target_id]
        for target_id in list(self._answered_at_by_id):
            address, incarnation = target_id
            if incarnation_by_address.get(address) != incarnation:
                del self._answered_at_by_id[target_id]
