"""Which requests crash the targets that run them, as gateways find out together.

Load pattern: one request comes again and again, to any gateway, and each target that
begins to run it ends, with all that ran there. An answer that breaks off shows nothing
alone, since connections are reset and cut for other reasons; it counts once the target
turns out to have started again. Many callers may send the same request, and many
targets may end at once, so that only crashes one after the other count, with no whole
answer in between.
"""

from collections import deque
from dataclasses import dataclass

# Seconds between an answer that breaks off and the next start of its target, within
# which the one explains the other: a restart and the heartbeat that tells of it.
EXPLAIN_SECONDS = 10.0
# Crashes one after the other from which a request is refused.
MOST_CRASHES = 3
# Seconds after its last crash at which a request is forgotten.
EXPIRY_SECONDS = 60.0
# Answers that broke off and may still be explained.
MAX_BREAKS = 2048
# Requests that are suspected; the oldest are forgotten.
MAX_SUSPECTS = 1024


@dataclass(frozen=True)
class Crash:
    """A request that was lost with the target that ran it.

    :param id: the target's address and incarnation, which tell crashes apart.
    :param offered_at: time at which the request was sent to the target.
    :param ended_at: time at which its answer broke off.
    """

    id: tuple
    fingerprint: bytes
    offered_at: float
    ended_at: float


def count_in_turn(crashes):
    """Return how many crashes came one after the other.

    >>> count_in_turn([Crash((), b"", 0.0, 1.0), Crash((), b"", 0.5, 1.1)])
    1
    >>> count_in_turn([Crash((), b"", 0.0, 1.0), Crash((), b"", 1.0, 1.1)])
    2
    """
    count, last_end = 0, float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.ended_at):
        if crash.offered_at >= last_end:
            count += 1
            last_end = crash.ended_at
    return count


class CrashWatch:
    """Answers that broke off, and the crashes that they turned out to be."""

    def __init__(self):
        self._breaks = deque(maxlen=MAX_BREAKS)
        self._crashes_by_fingerprint = {}

    @property
    def knows_any(self):
        """Tell whether any request is looked at, so that others need no digest."""
        return bool(self._breaks or self._crashes_by_fingerprint)

    def record_break(self, crash):
        """Take an answer that ended with its connection, which may be a crash."""
        self._breaks.append(crash)

    def explain(self, now, incarnation_by_address):
        """Return the crashes among the answers that broke off, and count them.

        :param incarnation_by_address: incarnations of the targets that are known now.
        :return: the crashes, and the answers that are no longer looked at.
        """
        found, unexplained = [], []
        waiting = list(self._breaks)
        self._breaks.clear()
        for crash in waiting:
            if now - crash.ended_at > EXPLAIN_SECONDS:
                unexplained.append(crash)
                continue
            address, incarnation = crash.id
            if incarnation_by_address.get(address, incarnation) > incarnation:
                found.append(crash)
                self.record_crash(crash)
            else:
                self._breaks.append(crash)
        return found, unexplained

    def record_crash(self, crash):
        """Count a crash that this or another gateway has found."""
        table = self._crashes_by_fingerprint
        crashes = table.pop(crash.fingerprint, {})
        known = crashes.get(crash.id)
        if known is None or known.offered_at < crash.offered_at:
            crashes[crash.id] = crash
        # The newest come last.
        table[crash.fingerprint] = crashes
        if len(table) > MAX_SUSPECTS:
            del table[next(iter(table))]

    def record_whole(self, fingerprint):
        """Clear a request that was answered; tell whether it was suspected."""
        for crash in [b for b in self._breaks if b.fingerprint == fingerprint]:
            self._breaks.remove(crash)
        return self._crashes_by_fingerprint.pop(fingerprint, None) is not None

    def count(self, fingerprint):
        """Return how many crashes of a request count."""
        return count_in_turn(self._crashes_by_fingerprint.get(fingerprint, {}).values())

    def is_refused(self, now, fingerprint):
        """Tell whether a request is known to crash its targets."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes:
            return False
        if now - max(crash.ended_at for crash in crashes.values()) > EXPIRY_SECONDS:
            del self._crashes_by_fingerprint[fingerprint]
            return False
        return self.count(fingerprint) >= MOST_CRASHES
