"""Which requests crash the targets that run them, as gateways find out together.

Load pattern: one request comes again and again, to any gateway, and each target that
begins to run it ends, with all that ran there. An answer that breaks off alone shows
nothing, since connections are reset for other reasons; it counts once the target turns
out to have ended. Requests that ran beside it are cleared by their next whole answer.
"""

from collections import deque

from banyanshore.routing.quarantine import Quarantine, Verdict

# Seconds between an answer that breaks off and the news that its target has ended,
# within which the one explains the other: a heartbeat that fails to come, and its way.
EXPLAIN_SECONDS = 6.0
# Crashes after which a request is refused though others ran at all of them too.
MOST_CRASHES = 3
# Seconds after its last crash at which a request is forgotten.
EXPIRY_SECONDS = 300.0
# Answers that broke off and may still be explained.
MAX_BREAKS = 4096


class CrashWatch:
    """Crashes of targets, and the requests that ran there."""

    def __init__(self):
        self._quarantine = Quarantine(EXPIRY_SECONDS)
        self._breaks = deque(maxlen=MAX_BREAKS)

    @property
    def knows_suspects(self):
        """Tell whether any request is suspected, so that others need no digest."""
        return bool(self._quarantine) or bool(self._breaks)

    def record_break(self, now, incarnation, fingerprint):
        """Take an answer that broke off, or never came, as its connection ended.

        :param incarnation: id and incarnation of the target.
        """
        self._breaks.append((now, incarnation, fingerprint))

    def unexplained(self):
        """Return the incarnations of targets that broke answers off lately."""
        return {row[1] for row in self._breaks}

    def record_end(self, now, incarnation):
        """Take a target that has ended without notice; return the news for others."""
        while self._breaks and now - self._breaks[0][0] > EXPLAIN_SECONDS:
            self._breaks.popleft()
        ran = {row[2] for row in self._breaks if row[1] == incarnation}
        kept = [row for row in self._breaks if row[1] != incarnation]
        self._breaks = deque(kept, maxlen=MAX_BREAKS)
        name = f"{incarnation[0]}:{incarnation[1]}"
        return [
            news
            for fingerprint in sorted(ran)
            for news in self._quarantine.record_loss(now, name, fingerprint, False)
        ]

    def record_whole(self, now, fingerprint):
        """Clear a request that has had a whole answer; return the news for others."""
        kept = [row for row in self._breaks if row[2] != fingerprint]
        self._breaks = deque(kept, maxlen=MAX_BREAKS)
        return list(self._quarantine.record_whole_run(now, fingerprint))

    def record_news(self, now, news):
        """Take the news of another gateway."""
        self._quarantine.record_news(now, news)

    def is_refused(self, now, fingerprint):
        """Tell whether a request is known to crash its targets."""
        if self._quarantine.verdict(now, fingerprint) is Verdict.QUARANTINED:
            return True
        return self._quarantine.crash_count(fingerprint) >= MOST_CRASHES
