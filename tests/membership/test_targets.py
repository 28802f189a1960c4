"""Changes of a target's status, which are sent to other data centres at once."""

from banyanshore.membership.messages import TargetStatus
from banyanshore.membership.targets import TargetTable
from tests.membership.test_report_forwarding import EXPIRY, make_report


def make_table():
    """Return a table and the list of statuses that its callbacks see."""
    table = TargetTable(EXPIRY)
    statuses = []
    table.on_status_change.append(
        lambda: statuses.append(str(table.by_instance["target-1"].report.status))
    )
    return table, statuses


def test_callbacks_run_only_when_the_status_changes():
    table, statuses = make_table()
    table.record(0.0, make_report(1, 1))
    table.record(0.1, make_report(1, 2, in_flight=5))
    table.record(0.2, make_report(1, 3, status=TargetStatus.LEAVING))
    # An older report changes nothing.
    table.record(0.3, make_report(1, 2))
    assert statuses == ["serving", "leaving"]


def test_status_reported_by_a_refusal_runs_the_callbacks():
    table, statuses = make_table()
    table.record(0.0, make_report(1, 1))
    table.mark_refused("target-1", TargetStatus.LEAVING)
    table.mark_refused("target-1", TargetStatus.LEAVING)
    table.mark_refused("target-2", TargetStatus.LEAVING)
    # A report with the same status arrives after the refusal.
    table.record(0.1, make_report(1, 2, status=TargetStatus.LEAVING))
    assert statuses == ["serving", "leaving"]
