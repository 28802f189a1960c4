"""Parts of prompts that are suspected, and tried one request at a time; does no I/O.

Load pattern: two parts crash all targets within a second, before the evidence against
the second one is enough. When the targets are back seconds later, requests with it
reach them all at once, and crash them all again.

One request a second of each gateway is enough to tell: it crashes its target, which is
evidence against the part, or its answer begins, which is evidence for it.
"""

import math

from banyanshore.routing.part_evidence import COUNTING_SECONDS

# Crashes, and likelihood ratio, from which a part is suspected: at two crashes a part
# whose answers have begun before is not.
CRASHES_TO_SUSPECT = 2
SUSPICION_RATIO = 100.0
# Seconds between the requests with a suspected part that a gateway lets through.
TRIAL_SECONDS = 1.0


class HeldParts:
    """The suspected parts, and when this gateway last tried each.

    :param ratio_now: function of the time and a row that returns the logarithm of the
        likelihood ratio by the answers that have begun by now.
    """

    def __init__(self, ratio_now):
        self._ratio_now = ratio_now
        self._row_by_part = {}
        self._sent_at_by_part = {}

    @property
    def has_suspects(self):
        """Return whether any part is suspected."""
        return bool(self._row_by_part)

    def suspect(self, rows):
        """Suspect the given parts, and no others.

        :param rows: :class:`~banyanshore.routing.part_evidence.RefusedPart` rows.
        """
        self._row_by_part = {row.part: row for row in rows}
        self._sent_at_by_part = {
            part: at
            for part, at in self._sent_at_by_part.items()
            if part in self._row_by_part
        }

    def find(self, now, parts):
        """Return the row of a part that was tried a moment ago, or ``None``."""
        for part in parts:
            row = self._row_by_part.get(part)
            if row is None or not self._is_suspected(now, row):
                continue
            if now - self._sent_at_by_part.get(part, -math.inf) < TRIAL_SECONDS:
                return row
        return None

    def record_sent(self, now, parts):
        """Record that a request with some parts is sent to a target."""
        for part in parts:
            if part in self._row_by_part:
                self._sent_at_by_part[part] = now

    def _is_suspected(self, now, row):
        is_recent = now - row.lost_at <= COUNTING_SECONDS
        return is_recent and self._ratio_now(now, row) >= math.log(SUSPICION_RATIO)
