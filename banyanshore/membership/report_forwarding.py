"""Forward agents' reports to the entries that the agents don't report to.

The first live entry in an agent's rendezvous order forwards its reports. It sends one
batch per tick: full reports where more than the load changed, the load alone where only
that changed, and one digest of all unchanged reports. A receiver whose own digest
differs has missed an update and asks for a complete batch.

Both sides are deterministic: time is passed in, and neither does any I/O.
"""

import zlib
from dataclasses import replace

from banyanshore.core.values import dataclass
from banyanshore.membership.messages import (
    AgentReport,
    ForwardedReports,
    TargetLoad,
)


@dataclass(frozen=True)
class ReportRow:
    """The latest report of an agent and the one that was last forwarded.

    :param forwarded: the report as sent to siblings, ``None`` before the first time.
    """

    report: AgentReport
    last_contact_at: float
    forwarded: AgentReport | None = None

    @property
    def is_new(self):
        """Return whether more than the load differs from the forwarded report."""
        if self.forwarded is None:
            return True
        return _without_load(self.forwarded) != _without_load(self.report)

    @property
    def is_urgent(self):
        """Return whether siblings would misroute requests until the next batch."""
        if self.forwarded is None:
            return True
        return _availability(self.forwarded) != _availability(self.report)


class ReportSender:
    """Forward the reports of agents to sibling entries.

    :param sender: name of this instance.
    :param expiry: seconds without a report after which an agent is dropped.
    """

    def __init__(self, sender, expiry):
        self._sender = sender
        self._expiry = expiry
        self._row_by_instance = {}
        self._complete_batch_requested = True

    def record(self, now, report):
        """Record a report; return whether to forward it before the next batch."""
        known = self._row_by_instance.get(report.instance)
        forwarded = known.forwarded if known else None
        row = ReportRow(report, now, forwarded)
        self._row_by_instance[report.instance] = row
        return row.is_urgent

    def forget(self, instance):
        """Stop forwarding an agent that another entry forwards from now on."""
        self._row_by_instance.pop(instance, None)

    def request_complete_batch(self):
        """Include all reports in full in the next batch."""
        self._complete_batch_requested = True

    def build_urgent(self, report):
        """Return a batch of one report that doesn't cover the others."""
        self._mark_forwarded(report)
        return ForwardedReports(self._sender, (report,), (), None, False)

    def build_batch(self, now):
        """Return the :class:`ForwardedReports` of this tick."""
        self._drop_silent(now)
        is_complete, self._complete_batch_requested = (
            self._complete_batch_requested,
            False,
        )
        reports, loads, unchanged = [], [], []
        for row in list(self._row_by_instance.values()):
            if is_complete or row.is_new:
                reports.append(row.report)
            elif _load(row.forwarded) != _load(row.report):
                loads.append(_to_load(row))
            else:
                unchanged.append(row.forwarded)
                continue
            self._mark_forwarded(row.report)
        digest = reports_digest(unchanged)
        return ForwardedReports(
            self._sender, tuple(reports), tuple(loads), digest, is_complete
        )

    def _mark_forwarded(self, report):
        row = self._row_by_instance.get(report.instance)
        if row is not None:
            self._row_by_instance[report.instance] = replace(row, forwarded=report)

    def _drop_silent(self, now):
        for instance, row in list(self._row_by_instance.items()):
            if now - row.last_contact_at > self._expiry:
                del self._row_by_instance[instance]


class ReportReceiver:
    """Receive the reports that other entries forward to this one.

    :param targets: the :class:`~banyanshore.membership.targets.TargetTable`.
    """

    def __init__(self, targets):
        self._targets = targets
        self._reports_by_sender = {}

    def receive(self, now, batch):
        """Record a batch; return ``False`` if an earlier one was missed."""
        known = self._reports_by_sender.setdefault(batch.sender, {})
        if batch.is_complete:
            known.clear()
        for report in batch.reports:
            known[report.instance] = report
            self._targets.record(now, report)
        missed = [
            load for load in batch.loads if not self._record_load(now, known, load)
        ]
        if batch.unchanged_digest is None:
            return True
        covered = {report.instance for report in batch.reports}
        covered.update(load.instance for load in batch.loads)
        unchanged = [item for name, item in known.items() if name not in covered]
        if missed or reports_digest(unchanged) != batch.unchanged_digest:
            return False
        for report in unchanged:
            self._targets.touch(now, report)
        return True

    def _record_load(self, now, known, load):
        report = known.get(load.instance)
        if report is None or report.sequence != load.base_sequence:
            return False
        report = replace(
            report,
            sequence=load.sequence,
            limit=load.limit,
            in_flight=load.in_flight,
            service_seconds=load.service_seconds,
        )
        known[load.instance] = report
        self._targets.record(now, report)
        return True


def reports_digest(reports):
    """Return a digest over the identities of reports, in any order."""
    text = ",".join(
        sorted(
            f"{item.instance}:{item.incarnation}:{item.sequence}" for item in reports
        )
    )
    return zlib.crc32(text.encode())


def _without_load(report):
    return replace(report, sequence=0, limit=0, in_flight=0, service_seconds=0.0)


def _availability(report):
    return report.incarnation, report.status


def _load(report):
    return report.limit, report.in_flight, report.service_seconds


def _to_load(row):
    report = row.report
    return TargetLoad(
        report.instance,
        row.forwarded.sequence,
        report.sequence,
        report.limit,
        report.in_flight,
        report.service_seconds,
    )
