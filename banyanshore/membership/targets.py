"""The targets that announce themselves, as an entry sees them."""

import zlib
from collections import Counter
from dataclasses import dataclass, replace

from banyanshore.membership.messages import (
    AgentReport,
    CapacityRow,
    Roster,
    RosterRow,
    TargetStatus,
)

# Seconds for which a silent agent stays in the roster, so that a short silence
# doesn't move chunks to other agents.
ROSTER_EXPIRY = 6.0


@dataclass(frozen=True)
class TargetRow:
    """One target and when it was last heard of."""

    report: AgentReport
    heard_at: float


class TargetTable:
    """Targets of one data centre by instance.

    :param expiry: seconds of silence after which a target is not chosen.
    """

    def __init__(self, expiry):
        self.by_instance = {}
        #: Callables told that a target has come, or has another status.
        self.on_status_change = []
        self._expiry = expiry

    def record(self, now, report):
        """Take a report unless newer news is known; tell whether it was taken."""
        known = self.by_instance.get(report.instance)
        if known is not None and _sort_key(report) <= _sort_key(known.report):
            return False
        self._put(TargetRow(report, now))
        return True

    def touch(self, now, report):
        """Take note that an agent was heard of with nothing new since a report."""
        known = self.by_instance.get(report.instance)
        if known is not None and known.report.incarnation == report.incarnation:
            self.by_instance[report.instance] = replace(known, heard_at=now)

    def mark_refused(self, instance, status):
        """Take note of a status that a refusal told before the next report."""
        known = self.by_instance.get(instance)
        if known is not None:
            report = replace(known.report, status=status)
            self._put(replace(known, report=report))

    def _put(self, row):
        report = row.report
        known = self.by_instance.get(report.instance)
        self.by_instance[report.instance] = row
        if known is None or known.report.status != report.status:
            for callback in self.on_status_change:
                callback()

    def iter_serving(self, now, service):
        """Yield the rows of a service that may have new work."""
        for row in self.by_instance.values():
            if (
                row.report.service == service
                and row.report.status == TargetStatus.SERVING
                and now - row.heard_at <= self._expiry
            ):
                yield row

    def iter_live(self, now):
        """Yield the rows heard of lately, leaving ones aside."""
        for row in self.by_instance.values():
            is_leaving = row.report.status == TargetStatus.LEAVING
            if not is_leaving and now - row.heard_at <= ROSTER_EXPIRY:
                yield row

    def drop_silent(self, now):
        """Drop targets that have been silent for long."""
        for instance, row in list(self.by_instance.items()):
            if now - row.heard_at > 10 * ROSTER_EXPIRY:
                del self.by_instance[instance]

    def capacity(self, now):
        """Return the :class:`CapacityRow` of each service."""
        rows_by_service = {}
        for row in self.iter_live(now):
            rows_by_service.setdefault(row.report.service, []).append(row)
        return tuple(
            self._sum_capacity(now, service, rows_by_service[service])
            for service in sorted(rows_by_service)
        )

    def _sum_capacity(self, now, service, rows):
        serving = [
            row.report
            for row in rows
            if row.report.status == TargetStatus.SERVING
            and now - row.heard_at <= self._expiry
        ]
        versions = Counter(row.report.model_version for row in rows)
        return CapacityRow(
            service,
            len(rows),
            len(serving),
            sum(report.limit for report in serving),
            sum(report.in_flight for report in serving),
            tuple(sorted(versions.items())),
        )

    def roster(self, now, data_centre):
        """Return the :class:`~banyanshore.membership.messages.Roster`."""
        rows = tuple(
            RosterRow(
                row.report.instance,
                row.report.region,
                row.report.service,
                row.report.address,
            )
            for row in sorted(
                self.iter_live(now), key=lambda item: item.report.instance
            )
        )
        return Roster(data_centre, rows, roster_digest(rows))

    def agents_behind(self, now, state_version):
        """Return live agents that lack a version of the desired state."""
        return tuple(
            sorted(
                row.report.instance
                for row in self.iter_live(now)
                if row.report.state_version < state_version
            )
        )


def roster_digest(rows):
    """Return a digest of roster rows; the same rows give the same digest."""
    text = "\n".join(
        "\t".join((row.instance, row.region, row.service, row.address)) for row in rows
    )
    return zlib.crc32(text.encode())


def combined_digest(rosters):
    """Return one digest over the rosters of several data centres."""
    text = ",".join(
        f"{roster.data_centre}:{roster.digest}"
        for roster in sorted(rosters, key=lambda item: item.data_centre)
    )
    return zlib.crc32(text.encode())


def _sort_key(report):
    is_leaving = report.status == TargetStatus.LEAVING
    return report.incarnation, is_leaving, report.sequence
