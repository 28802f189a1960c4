"""Findings of a gateway that it sends to the others repeatedly for some seconds."""

import time
from collections import deque

# Seconds for which a gateway repeats its own findings, longer than a link takes to
# reopen, and the maximum number of findings.
FINDING_REPEAT_SECONDS = 5.0
MAX_FINDINGS = 64


class Findings:
    """The latest findings, as functions that get the time and return an update."""

    def __init__(self):
        self._rows = deque(maxlen=MAX_FINDINGS)

    def add(self, make_update):
        """Add a finding; return its update to send now."""
        now = time.monotonic()
        self._rows.append((now, make_update))
        return make_update(now)

    def updates_to_repeat(self):
        """Return the updates of the recent findings, to send again."""
        now = time.monotonic()
        while self._rows and now - self._rows[0][0] > FINDING_REPEAT_SECONDS:
            self._rows.popleft()
        return [make_update(now) for _, make_update in self._rows]
