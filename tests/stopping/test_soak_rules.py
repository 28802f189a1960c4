"""A soak is judged by each rule, and nothing is excused but by the rules."""

from dataclasses import replace

import pytest

from banyanshore.state.routes import RouteKind
from tests.stopping.soak import Freeze, GatewayHistory, Record, Stop
from tests.stopping.soak_callers import Row
from tests.stopping.soak_plan import CallerKind, draw_plan
from tests.stopping.soak_rules import Rule, judge
from tests.stopping.soak_target import Work

# A stop at 10 s with a grace of 6 s, so that work from 15 s on is late.
PLAN = replace(
    draw_plan(1),
    kind=RouteKind.NON_IDEMPOTENT,
    timeout_seconds=5.0,
    grace_seconds=6.0,
)


def make_row(**fields):
    row = Row("s1-1", 0, 1, CallerKind.KEPT, 9.5, ended_at=11.0, error="EndOfStream()")
    return replace(row, **fields)


def find_rules(row, works=(), plan=PLAN, **history):
    """Return the rules that a request breaks at a gateway with a sound stop."""
    history.setdefault("stops", [Stop(10.0, 13.0, 0)])
    gateways = (GatewayHistory(**history),)
    findings = judge(plan, Record((row,), {"s1-1": list(works)}, gateways, 0.0))
    return [finding.rule for finding in findings]


@pytest.mark.parametrize(
    ("fields", "works", "history"),
    [
        ({}, [], {}),
        ({"ended_at": 9.6}, [Work(0, 9.55, 9.6)], {}),
        ({}, [Work(0, 9.5, 14.9)], {}),
        ({"sent_at": 13.1, "ended_at": 15.5}, [Work(0, 13.1, 15.5)], {}),
        ({}, [Work(0, 9.5, 11.0)], {"freezes": [Freeze(6.0, 6.4)]}),
        ({"ended_at": 14.4}, [Work(0, 9.5, 14.4)], {}),
        ({"is_last": True}, [], {}),
    ],
    ids=[
        "late-without-a-read",
        "read",
        "worked-until-before-the-last-sixth",
        "sent-late-into-the-stop",
        "frozen-long-before",
        "ended-before-its-timeout",
        "own-close",
    ],
)
def test_requests_without_a_whole_answer_are_lost(fields, works, history):
    rules = find_rules(make_row(**fields), works, **history)
    assert len(rules) == 1
    assert rules[0] in (Rule.LOST, Rule.BEHIND_CLOSE)


@pytest.mark.parametrize(
    ("fields", "works", "history"),
    [
        ({"ended_at": 9.6}, [], {}),
        ({"status": 200}, [Work(0, 9.5, 11.0)], {}),
        ({"left": True}, [Work(0, 9.5, 11.0)], {}),
        ({}, [Work(0, 9.5, 11.0, broke_off=True)], {}),
        ({"ended_at": 14.5}, [Work(0, 9.5, 14.5)], {}),
        ({"ended_at": 15.1, "sent_at": 12.9}, [Work(0, 12.9, 15.1)], {}),
        ({}, [Work(0, 9.5)], {}),
        ({}, [Work(0, 9.5, 11.0)], {"freezes": [Freeze(6.0, 6.6)]}),
        ({}, [Work(0, 9.5, 11.0)], {"freezes": [Freeze(10.9)]}),
    ],
    ids=[
        "crossed-the-close",
        "answered",
        "caller-left",
        "target-broke-off",
        "timeout",
        "late-work-sent-early-in-the-stop",
        "work-without-end",
        "frozen-shortly-before",
        "frozen-still",
    ],
)
def test_requests_that_the_rules_excuse_are_not_lost(fields, works, history):
    assert find_rules(make_row(**fields), works, **history) == []


def test_a_request_behind_a_close_is_told_apart():
    behind = (make_row(request_id="s1-2"), make_row(request_id="s1-3"))
    rows = (make_row(status=200, is_last=True), *behind)
    histories = (GatewayHistory(stops=[Stop(10.0, 13.0, 0)]),)
    findings = judge(PLAN, Record(rows, {}, histories, 0.0))
    assert [finding.rule for finding in findings] == [Rule.BEHIND_CLOSE] * 2
    read = {"s1-2": [Work(0, 9.6, 11.0)]}
    findings = judge(PLAN, Record(rows, read, histories, 0.0))
    rules = [finding.rule for finding in findings]
    assert rules == [Rule.LOST, Rule.BEHIND_CLOSE]


def test_requests_behind_an_answer_that_broke_off_are_judged_by_that_one():
    """HTTP/1.1 has no way to answer them on this connection."""
    rows = (make_row(), make_row(request_id="s1-2"), make_row(request_id="s1-3"))
    works_by_id = {"s1-1": [Work(0, 9.5, 11.0)], "s1-3": [Work(0, 9.5, 11.0)]}
    histories = (GatewayHistory(stops=[Stop(10.0, 13.0, 0)]),)
    findings = judge(PLAN, Record(rows, works_by_id, histories, 0.0))
    assert [finding.request_id for finding in findings] == ["s1-1", "s1-3"]


def test_a_promise_that_a_target_has_broken_is_found():
    row = make_row(status=503)
    assert find_rules(row, [Work(0, 12.0, 12.1)]) == [Rule.REFUSED]
    assert find_rules(row, [Work(0, 12.0, 12.1, refused=True)]) == []
    repeatable = replace(PLAN, kind=RouteKind.IDEMPOTENT)
    assert find_rules(row, [Work(0, 12.0, 12.1)], repeatable) == []
    assert find_rules(make_row(status=502), [Work(0, 12.0, 12.1)]) == []


def test_a_second_run_is_found():
    row = make_row(status=200)
    works = [Work(0, 9.5, 9.6), Work(1, 9.7, 9.8)]
    assert find_rules(row, works) == [Rule.TWICE]
    assert find_rules(row, [replace(works[0], refused=True), works[1]]) == []
    repeatable = replace(PLAN, kind=RouteKind.IDEMPOTENT)
    assert find_rules(row, works, repeatable) == []


def test_an_answer_of_another_request_is_found():
    row = make_row(status=200, foreign="request id 's1-9'")
    assert find_rules(row) == [Rule.MIXED]


@pytest.mark.parametrize(
    ("stop", "rules"),
    [
        (Stop(10.0, 16.0, 0), []),
        (Stop(10.0, 16.3, 0), [Rule.STOP]),
        (Stop(10.0, 12.0, -15), [Rule.STOP]),
        (Stop(10.0, 16.1, -9, killed=True), [Rule.STOP]),
    ],
)
def test_a_process_that_does_not_end_by_itself_in_its_grace_is_found(stop, rules):
    row = make_row(status=200)
    assert find_rules(row, stops=[stop]) == rules
    thawed_late = [Freeze(12.0, 12.4)]
    late = replace(stop, ended_at=stop.ended_at + 0.4)
    assert find_rules(row, stops=[late], freezes=thawed_late) == rules


def test_a_request_logged_as_cut_off_is_found_unless_excused():
    lines = ['{"message": "request cut off", "request_id": "s1-1"}']
    row = make_row(status=200)
    assert find_rules(row, [Work(0, 9.5)], log_lines=lines) == []
    works = [Work(0, 9.5, 11.0)]
    assert find_rules(row, works, log_lines=lines) == [Rule.LOGGED]
    left = make_row(left=True)
    assert find_rules(left, works, log_lines=lines) == []
