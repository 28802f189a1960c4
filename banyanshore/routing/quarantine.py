"""Quarantine of requests that crash the targets that run them.

All requests that ran at a target when it crashed are suspects. A suspect runs again
only alone: if its target crashes again, the request is the cause and is refused from
then on, otherwise it is cleared. A request that was sent twice at the same time may
crash two targets before that; it is then the only request that ran at both, which
follows once the updates on both crashes have arrived. So a request is refused after two
crashes in the whole fleet, and those that ran beside it are not.

Updates are sent once. Entries that start later, or had no contact then, are sent them
again, with the age of the crash, so that suspects settle and expire everywhere as if
the updates had not been late.
"""

import enum
import hashlib
import itertools
from collections import OrderedDict

from banyanshore.core.values import dataclass
from banyanshore.membership.messages import SuspectUpdate

# Seconds that a suspect waits after the update on a crash before it runs again, so that
# updates on simultaneous crashes can arrive from other data centres.
SETTLE_SECONDS = 0.5
# Crashes after which a request that crashed a target alone is refused.
CRASHES_TO_QUARANTINE = 2
# Updates that are repeated to an entry: a few tens of kilobytes.
MAX_REPEATED_UPDATES = 256


class Verdict(enum.Enum):
    """How a request may run."""

    FREE = "free"
    EXCLUSIVE = "alone"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class SuspectRow:
    """A suspected request.

    :param crash_ids: ids of its crashes, so that a crash that several entries report
        counts once.
    :param alone: whether it ran alone in one of them.
    """

    crash_ids: frozenset
    alone: bool
    updated_at: float


class Quarantine:
    """Suspects by fingerprint.

    :param expiry: seconds after the last crash at which a suspect is forgotten.
    :param max_suspects: maximum number of suspects; the oldest are forgotten.
    """

    def __init__(self, expiry=900.0, max_suspects=10_000):
        self._expiry = expiry
        self._max_suspects = max_suspects
        self._by_fingerprint = OrderedDict()
        self._fingerprints_by_crash = OrderedDict()
        # When requests were cleared, and of which crashes.
        self._clearance_by_fingerprint = OrderedDict()

    def __len__(self):
        return len(self._by_fingerprint)

    def verdict(self, now, fingerprint):
        """Return the :class:`Verdict` on a request."""
        row = self._by_fingerprint.get(fingerprint)
        if row is None:
            return Verdict.FREE
        if now - row.updated_at > self._expiry:
            del self._by_fingerprint[fingerprint]
            return Verdict.FREE
        if len(row.crash_ids) < CRASHES_TO_QUARANTINE:
            return Verdict.EXCLUSIVE
        if row.alone or self._is_only_common_request(row.crash_ids):
            return Verdict.QUARANTINED
        return Verdict.EXCLUSIVE

    def settled_at(self, fingerprint):
        """Return the earliest time at which a suspect may run again."""
        row = self._by_fingerprint.get(fingerprint)
        return row.updated_at + SETTLE_SECONDS if row else 0.0

    def record_crash(self, now, crash_id, fingerprints):
        """Record the requests that ran at a crash; return the updates for others."""
        return self._record(now, crash_id, fingerprints, len(fingerprints) == 1)

    def record_loss(self, now, instance, fingerprint, exclusive):
        """Record a request that was lost with its instance; return the updates.

        What else ran there is unknown, so the request counts as having run alone only
        if it was exclusive.

        :param instance: name and incarnation of the instance.
        """
        return self._record(now, f"lost-{instance}", (fingerprint,), exclusive)

    def _record(self, now, crash_id, fingerprints, alone):
        updates = tuple(
            SuspectUpdate(fingerprint, (crash_id,), alone)
            for fingerprint in fingerprints
        )
        for item in updates:
            self.record_update(now, item)
        return updates

    def record_complete_run(self, now, fingerprint):
        """Clear a suspect that ran alone and was answered; return the updates."""
        if fingerprint not in self._by_fingerprint:
            return ()
        update = SuspectUpdate(fingerprint, (), False)
        self.record_update(now, update)
        return (update,)

    def record_update(self, now, update):
        """Apply an update of this or another entry."""
        if not update.crash_ids:
            self._clear(now, update.fingerprint)
            return
        crashed_at = now - update.seconds_ago
        crash_ids = self._uncleared(crashed_at, update)
        if not crash_ids or update.seconds_ago > self._expiry:
            return
        for crash_id in crash_ids:
            fingerprints_at_crash = self._fingerprints_by_crash.setdefault(
                crash_id, set()
            )
            fingerprints_at_crash.add(update.fingerprint)
        while len(self._fingerprints_by_crash) > self._max_suspects:
            self._fingerprints_by_crash.popitem(last=False)
        alone = update.alone
        known = self._by_fingerprint.get(update.fingerprint)
        if known is not None:
            crash_ids |= known.crash_ids
            alone = alone or known.alone
            if (crash_ids, alone) == (known.crash_ids, known.alone):
                return
            crashed_at = max(crashed_at, known.updated_at)
            del self._by_fingerprint[update.fingerprint]
        row = SuspectRow(crash_ids, alone, crashed_at)
        self._by_fingerprint[update.fingerprint] = row
        if len(self._by_fingerprint) > self._max_suspects:
            self._by_fingerprint.popitem(last=False)

    def _clear(self, now, fingerprint):
        known = self._by_fingerprint.pop(fingerprint, None)
        for fingerprints_at_crash in self._fingerprints_by_crash.values():
            fingerprints_at_crash.discard(fingerprint)
        crash_ids = known.crash_ids if known else frozenset()
        self._clearance_by_fingerprint.pop(fingerprint, None)
        self._clearance_by_fingerprint[fingerprint] = now, crash_ids
        if len(self._clearance_by_fingerprint) > self._max_suspects:
            self._clearance_by_fingerprint.popitem(last=False)

    def _uncleared(self, crashed_at, update):
        """Return the crashes of an update of which its request hasn't been cleared.

        Entries that missed the clearing go on repeating the earlier crashes.
        """
        crash_ids = frozenset(update.crash_ids)
        cleared = self._clearance_by_fingerprint.get(update.fingerprint)
        if cleared is None:
            return crash_ids
        cleared_at, cleared_ids = cleared
        if crashed_at <= cleared_at:
            return frozenset()
        # A target that was lost without a crash may be lost again, with the same id.
        return crash_ids - cleared_ids or crash_ids

    def updates_to_repeat(self, now):
        """Return the updates for an entry that may have missed them.

        Quarantined requests come first, then the suspects of the latest crashes. These
        are complete, since a request that is common to two crashes is quarantined only
        if no other is.
        """
        quarantined = [
            fingerprint
            for fingerprint in reversed(list(self._by_fingerprint))
            if self.verdict(now, fingerprint) is Verdict.QUARANTINED
        ][:MAX_REPEATED_UPDATES]
        crash_ids_by_fingerprint = {
            fingerprint: self._by_fingerprint[fingerprint].crash_ids
            for fingerprint in quarantined
        }
        for crash_id, fingerprints in reversed(self._fingerprints_by_crash.items()):
            suspects = fingerprints & self._by_fingerprint.keys()
            added = suspects - crash_ids_by_fingerprint.keys()
            if len(crash_ids_by_fingerprint) + len(added) > MAX_REPEATED_UPDATES:
                continue
            for fingerprint in suspects:
                known = crash_ids_by_fingerprint.get(fingerprint, frozenset())
                crash_ids_by_fingerprint[fingerprint] = known | {crash_id}
        updates = [
            self._repeat(now, *pair)
            for pair in sorted(crash_ids_by_fingerprint.items())
        ]
        return tuple(item for item in updates if item.seconds_ago <= self._expiry)

    def _repeat(self, now, fingerprint, crash_ids):
        row = self._by_fingerprint[fingerprint]
        seconds_ago = now - row.updated_at
        return SuspectUpdate(
            fingerprint, tuple(sorted(crash_ids)), row.alone, seconds_ago
        )

    def _is_only_common_request(self, crash_ids):
        fingerprints_at_crash = [
            self._fingerprints_by_crash.get(crash_id, ()) for crash_id in crash_ids
        ]
        return any(
            len(set(one).intersection(other)) == 1
            for one, other in itertools.combinations(fingerprints_at_crash, 2)
        )


def request_fingerprint(workspace, destination, method, path, body):
    """Return a digest that is the same when a caller sends a request again.

    :param destination: service or host that the request is addressed to.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (workspace, destination, method, path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.digest()
