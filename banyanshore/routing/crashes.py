"""Detection of requests that crash the targets that run them.

Load pattern: one request is sent again and again, to any gateway, and each target that
starts to run it crashes, along with all other requests there. A lost answer alone
proves nothing, since connections are also reset or cut for other reasons. It counts as
a crash once its target is known to have exited: it refuses connections, or it has
started again. If the target answers a request sent later, it has not exited, and the
crash is withdrawn. Many callers may send the same request, and many targets may exit at
once for another reason, so simultaneous crashes count as one if a target that did not
run the request exited at the same time.

An answer clears a request only of what it disproves. It shows that its target was alive
when it was sent the request, which withdraws an earlier crash of that target only. It
also shows that one target survived the request. This is weighed against the crashes of
others: once as many targets have answered copies sent after the last crash as crashes
count, the request is cleared of them. So a request that ran beside the cause is cleared
by the runs that follow, while one that crashes most of its targets is not. Copies sent
before the last crash, repeated answers of one target, and evidence used before count
for nothing. Answers are reported to all gateways; each weighs them itself.
"""

from banyanshore.core.values import dataclass

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
# Answers kept per suspected request, and crashes and answers per cleared request; the
# oldest are dropped.
MAX_ANSWERS = 16
MAX_EVIDENCE = 64


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


@dataclass(frozen=True)
class Survival:
    """A complete answer to a suspected request, whose target survived it.

    :param id: the target's address and incarnation.
    :param offered_at: time at which the request was sent to the target.
    """

    id: tuple
    fingerprint: bytes
    offered_at: float


@dataclass(frozen=True)
class Clearance:
    """Evidence that was weighed when a request was cleared, and counts no more.

    :param crash_by_id: the crashes that it was cleared of.
    :param survival_by_id: the answers that outweighed them.
    """

    crash_by_id: dict
    survival_by_id: dict

    def includes(self, crash):
        """Return whether a crash is one that the request was cleared of.

        Gateways take the time of one loss to be different, by the time that updates
        take to arrive.
        """
        known = self.crash_by_id.get(crash.id)
        return known is not None and _is_same_time(known.lost_at, crash.lost_at)

    def uses(self, survival):
        """Return whether an answer has been weighed already."""
        known = self.survival_by_id.get(survival.id)
        return known is not None and _is_same_time(
            known.offered_at, survival.offered_at
        )


def _keep_newest(row_by_id):
    return dict(list(row_by_id.items())[-MAX_EVIDENCE:])


def _is_same_time(one, other):
    return abs(one - other) <= MAX_RESTART_SECONDS


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
        # Answers to suspected requests. Those of this gateway are unreported until they
        # count against a crash, which other gateways know of then.
        self._survival_by_id_by_fingerprint = {}
        self._unreported = set()
        self._to_report = []
        self._clearance_by_fingerprint = {}

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
        cleared of it.
        """
        clearance = self._clearance_by_fingerprint.get(crash.fingerprint)
        if clearance is not None and clearance.includes(crash):
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
        self._weigh(crash.fingerprint)
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

    def record_complete_answer(self, survival, is_reported=False):
        """Weigh an answer to a request against the crashes of the request.

        :param survival: the :class:`Survival`.
        :param is_reported: whether another gateway has reported it.
        :return: whether the request is cleared by it.
        """
        fingerprint = survival.fingerprint
        lost_at = self._last_lost_at(fingerprint)
        if lost_at is None or survival.offered_at < lost_at:
            return False
        clearance = self._clearance_by_fingerprint.get(fingerprint)
        if clearance is not None and clearance.uses(survival):
            return False
        survivals = self._survival_by_id_by_fingerprint.setdefault(fingerprint, {})
        known = survivals.get(survival.id)
        if known is not None and known.offered_at >= lost_at:
            return False
        self._drop_survival(survivals, survival.id)
        survivals[survival.id] = survival
        if not is_reported:
            self._unreported.add(survival)
        if len(survivals) > MAX_ANSWERS:
            self._drop_survival(survivals, next(iter(survivals)))
        return self._weigh(fingerprint)

    def take_answers_to_report(self):
        """Remove and return the answers to report to the other gateways."""
        taken, self._to_report = self._to_report, []
        return taken

    def _last_lost_at(self, fingerprint):
        """Return the time of the last crash or lost answer, ``None`` if unsuspected."""
        times = [
            crash.lost_at
            for lost in self._lost_by_id.values()
            for crash in lost
            if crash.fingerprint == fingerprint
        ]
        crashes = self._crash_by_id_by_fingerprint.get(fingerprint, {})
        times += [crash.lost_at for crash in crashes.values()]
        return max(times, default=None)

    def _weigh(self, fingerprint):
        """Clear a request if its answers outweigh its crashes; return whether so."""
        crashes = self._crash_by_id_by_fingerprint.get(fingerprint)
        survivals = self._survival_by_id_by_fingerprint.get(fingerprint)
        if not crashes or not survivals:
            return False
        last_lost_at = max(crash.lost_at for crash in crashes.values())
        needed = self.count(fingerprint)
        used = [row for row in survivals.values() if row.offered_at >= last_lost_at]
        used = used[:needed]
        self._to_report += [row for row in used if row in self._unreported]
        self._unreported.difference_update(used)
        if len(used) < needed:
            return False
        self._clear(fingerprint, {row.id: row for row in used})
        return True

    def _clear(self, fingerprint, survival_by_id):
        """Clear a request of its crashes, which some answers outweigh."""
        crash_by_id = self._crash_by_id_by_fingerprint.pop(fingerprint)
        survivals = self._survival_by_id_by_fingerprint[fingerprint]
        for target_id in survival_by_id:
            self._drop_survival(survivals, target_id)
        clearances = self._clearance_by_fingerprint
        known = clearances.pop(fingerprint, Clearance({}, {}))
        clearances[fingerprint] = Clearance(
            _keep_newest({**known.crash_by_id, **crash_by_id}),
            _keep_newest({**known.survival_by_id, **survival_by_id}),
        )
        if len(clearances) > MAX_CLEARED:
            del clearances[next(iter(clearances))]

    def _drop_survival(self, survivals, target_id):
        self._unreported.discard(survivals.pop(target_id, None))

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
        self._forget_answers(now)

    def _forget_answers(self, now):
        """Forget answers to requests that aren't suspected, and old clearances."""
        for fingerprint, survivals in list(self._survival_by_id_by_fingerprint.items()):
            if self._last_lost_at(fingerprint) is None:
                self._unreported.difference_update(survivals.values())
                del self._survival_by_id_by_fingerprint[fingerprint]
        for fingerprint, known in list(self._clearance_by_fingerprint.items()):
            newest = max(row.offered_at for row in known.survival_by_id.values())
            if now - newest > EXPIRY_SECONDS:
                del self._clearance_by_fingerprint[fingerprint]
