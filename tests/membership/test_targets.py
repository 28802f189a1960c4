"""Changes of a target's status, which other data centres are told of at once."""

from banyanshore.membership.messages import TargetStatus
from banyanshore.membership.targets import TargetTable
from tests.membership.test_report_forwarding import EXPIRY, make_report


def make_table():
    """Return a table and the statuses of its changes, as they are told."""
    table = TargetTable(EXPIRY)
    told = []
    table.on_status_change.append(
        lambda: told.append(str(table.by_instance["target-1"].report.status))
    )
    return table, told


def test_status_is_told_when_it_changes_and_only_then():
    table, told = make_table()
    table.record(0.0, make_report(1, 1))
    table.record(0.1, make_report(1, 2, in_flight=5))
    table.record(0.2, make_report(1, 3, status=TargetStatus.LEAVING))
    # An older report is no news.
    table.record(0.3, make_report(1, 2))
    assert told == ["serving", "leaving"]


def test_status_that_a_refusal_tells_first_is_told_on():
    table, told = make_table()
    table.record(0.0, make_report(1, 1))
    table.mark_refused("target-1", TargetStatus.LEAVING)
    table.mark_refused("target-1", TargetStatus.LEAVING)
    table.mark_refused("target-2", TargetStatus.LEAVING)
    # The report that says the same comes after it.
    table.record(0.1, make_report(1, 2, status=TargetStatus.LEAVING))
    assert told == ["serving", "leaving"]
