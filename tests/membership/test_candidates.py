"""Targets whose service isn't declared."""

from banyanshore.membership.candidates import (
    CANDIDATE_SECONDS,
    MAX_CANDIDATES,
    CandidateTable,
)
from banyanshore.membership.registry import TargetRow


def make_row(number, service="s", sequence=1, incarnation=1):
    return TargetRow(
        f"t{number}", service, f"10.0.0.1:{number + 1}", "dc", "", 4, "ready", 2.0,
        incarnation, sequence,
    )  # fmt: skip


def take_all(table, now=0.0):
    return table.take(now, lambda service: True)


def test_number_of_candidates_is_bounded():
    """A program that reports under new ids would use up the memory."""
    table = CandidateTable()
    for number in range(3 * MAX_CANDIDATES):
        table.record(0.0, make_row(number))
    rows = take_all(table)
    assert len(rows) == MAX_CANDIDATES
    assert rows[-1].id == f"t{3 * MAX_CANDIDATES - 1}"


def test_candidate_that_reports_outlasts_those_that_are_silent():
    table = CandidateTable()
    for number in range(3 * MAX_CANDIDATES):
        table.record(0.0, make_row(number, "flood"))
        table.record(0.0, make_row(0, "next", sequence=number))
    assert table.take(0.0, lambda service: service == "next")


def test_report_under_an_id_keeps_the_candidate_of_another_service():
    table = CandidateTable()
    table.record(0.0, make_row(0, "next"))
    table.record(0.0, make_row(0, "foreign", incarnation=9))
    (row,) = table.take(1.5, lambda service: service == "next")
    assert row.cold_seconds == 0.5


def test_outdated_report_changes_nothing():
    table = CandidateTable()
    table.record(0.0, make_row(0, sequence=5))
    table.record(0.0, make_row(0, sequence=4))
    assert [row.sequence for row in take_all(table)] == [5]


def test_silent_candidate_is_dropped():
    table = CandidateTable()
    table.record(0.0, make_row(0))
    table.record(CANDIDATE_SECONDS, make_row(1))
    table.expire(CANDIDATE_SECONDS + 0.1)
    assert [row.id for row in take_all(table)] == ["t1"]
