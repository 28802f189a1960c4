"""An entry's view of the targets that agents announce."""

import zlib
from collections import Counter
from dataclasses import replace

from banyanshore.core.values import dataclass
from banyanshore.membership.messages import (
    AgentReport,
    CapacityRow,
    Roster,
    RosterRow,
    TargetStatus,
)

# Seconds for which an agent without contact stays in the roster, so that a short outage
# doesn't move chunks to other agents.
ROSTER_EXPIRY = 6.0


@dataclass(frozen=True)
class AnnouncedTarget:
    """A target: its latest report and the time of the last contact."""

    report: AgentReport
    last_contact_at: float


class TargetTable:
    """Track the targets of one data centre by instance.

    :param expiry: seconds without contact after which a target gets no requests.
    """

    def __init__(self, expiry):
        self.by_instance = {}
        #: Callables invoked when a target is added or its status changes.
        self.on_status_change = []
        self._expiry = expiry

    def record(self, now, report):
        """Record a report; return whether it is newer than the known one."""
        known = self.by_instance.get(report.instance)
        if known is not None and _sort_key(report) <= _sort_key(known.report):
            return False
        self._put(AnnouncedTarget(report, now))
        return True

    def touch(self, now, report):
        """Record a contact with an agent that has not changed since a report."""
        known = self.by_instance.get(report.instance)
        if known is not None and known.report.incarnation == report.incarnation:
            self.by_instance[report.instance] = replace(known, last_contact_at=now)

    def mark_refused(self, instance, status):
        """Set the status that a refusal reported ahead of the agent's next report."""
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
        """Yield the rows of a service whose targets accept requests."""
        for row in self.by_instance.values():
            if (
                row.report.service == service
                and row.report.status == TargetStatus.SERVING
                and now - row.last_contact_at <= self._expiry
            ):
                yield row

    def iter_live(self, now):
        """Yield the rows with recent contact, except targets that are leaving."""
        for row in self.by_instance.values():
            is_leaving = row.report.status == TargetStatus.LEAVING
            if not is_leaving and now - row.last_contact_at <= ROSTER_EXPIRY:
                yield row

    def drop_silent(self, now):
        """Drop targets without contact for ten times the expiry of the roster."""
        for instance, row in list(self.by_instance.items()):
            if now - row.last_contact_at > 10 * ROSTER_EXPIRY:
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
            and now - row.last_contact_at <= self._expiry
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
        """Return the live agents whose desired state is older than a version."""
        return tuple(
            sorted(
                row.report.instance
                for row in self.iter_live(now)
                if row.report.state_version < state_version
            )
        )


def roster_digest(rows):
    """Return a digest of roster rows; equal rows have equal digests."""
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
