"""Which reports of idle targets a hub passes on, free of I/O.

Load pattern: no requests, for seconds or for hours. Loaders report several times a
second all the same, and each report that hubs pass on wakes every gateway of the fleet:
the cost grows with the gateways times the targets. A report that repeats the one before
tells them only that the target is still there.
"""

from dataclasses import replace

from banyanshore.routing.target_load import REPORT_EXPIRY_SECONDS

# Seconds after which a repeated report is passed on all the same, so that one may be
# lost before the load of the target counts as unknown.
REPEAT_SECONDS = REPORT_EXPIRY_SECONDS / 3


class RepeatedReports:
    """Find the reports that tell gateways nothing new."""

    def __init__(self):
        # Reports that were passed on, and when.
        self._passed_on_by_address = {}

    def may_drop(self, now, report):
        """Return whether a report may be dropped; record it if not.

        Only those of idle targets are: any other one corrects what gateways have
        counted since the one before.

        >>> from banyanshore.membership.load_reports import LoadReport
        >>> reports = RepeatedReports()
        >>> idle = LoadReport("10.0.0.1:80", 1, 7, "m", 2, 16, 0, 0)
        >>> later = LoadReport("10.0.0.1:80", 1, 8, "m", 2, 16, 0, 0)
        >>> reports.may_drop(0.0, idle), reports.may_drop(0.15, later)
        (False, True)
        >>> reports.may_drop(0.6, later)
        False
        """
        known, passed_on_at = self._passed_on_by_address.get(
            report.address, (None, 0.0)
        )
        is_idle = not report.active and not report.queued
        is_recent = known is not None and now - passed_on_at < REPEAT_SECONDS
        if is_idle and is_recent and _is_repeated(report, known):
            return True
        self._passed_on_by_address[report.address] = report, now
        return False

    def record_placement(self, address):
        """Record that a request was sent to a target, which its next report counts."""
        self._passed_on_by_address.pop(address, None)

    def keep_only(self, addresses):
        """Forget all targets except the given ones."""
        for address in self._passed_on_by_address.keys() - addresses:
            del self._passed_on_by_address[address]


def _is_repeated(report, known):
    return replace(report, sequence=known.sequence) == known
