"""Rows of targets and instances: order of updates, departures and expiry."""

import random
from dataclasses import replace

from banyanshore.membership.feed import Registry
from banyanshore.membership.registry import (
    MISSING_ROW_SECONDS,
    Departure,
    MemberRow,
    RowTable,
    TargetRow,
)

ROW = TargetRow("i-1", "s", "10.0.0.1:80", "dc", "v1", 4, "ready", 0.0, 1000, 5)


def test_delayed_update_does_not_replace_a_newer_row():
    table = RowTable("target", 5.0)
    assert table.record(0.0, ROW)
    assert table.record(0.1, replace(ROW, sequence=4, state="draining")) is None
    assert table.record(0.1, ROW) is None
    assert table.by_key["i-1"].row.state == "ready"


def test_unchanged_heartbeat_keeps_the_row_alive():
    table = RowTable("target", 5.0)
    table.record(0.0, ROW)
    assert table.record(4.0, replace(ROW, sequence=6)) is False
    assert table.expire(6.0) == []
    assert table.expire(9.5) == [Departure("target", "i-1", 1000)]


def test_expired_row_may_register_again():
    table = RowTable("target", 5.0)
    table.record(0.0, ROW)
    table.expire(6.0)
    assert table.record(7.0, replace(ROW, sequence=6))


def test_late_heartbeat_does_not_bring_back_a_target_that_left():
    table = RowTable("target", 5.0)
    table.record(0.0, ROW)
    assert table.forget(1.0, Departure("target", "i-1", 1000, True))
    assert table.record(2.0, replace(ROW, sequence=9)) is None
    assert not table.by_key


def test_restart_under_the_same_id_may_reset_the_sequence():
    table = RowTable("target", 5.0)
    table.record(0.0, replace(ROW, sequence=50))
    assert table.record(1.0, replace(ROW, incarnation=2000, sequence=1))
    table.forget(2.0, Departure("target", "i-1", 2000, True))
    assert table.record(3.0, replace(ROW, incarnation=3000, sequence=1))


def test_departure_of_an_earlier_incarnation_keeps_a_later_one():
    table = RowTable("target", 5.0)
    table.record(0.0, replace(ROW, incarnation=2000))
    table.forget(1.0, Departure("target", "i-1", 1000, True))
    assert "i-1" in table.by_key


def test_latest_target_at_an_address_wins():
    table = RowTable("target", 5.0)
    table.record(0.0, ROW)
    new = replace(ROW, id="i-2", incarnation=2000, sequence=1, service="t")
    assert table.record(1.0, new)
    # A heartbeat of the previous target, delayed by a partition.
    assert table.record(2.0, replace(ROW, sequence=99)) is None
    assert list(table.by_key) == ["i-2"]


def test_new_cold_start_counts_as_a_change():
    table = RowTable("target", 5.0)
    table.record(0.0, ROW)
    assert table.record(1.0, replace(ROW, sequence=6, cold_seconds=3.0))
    assert table.by_key["i-1"].cold_until == 4.0
    assert table.record(2.0, replace(ROW, sequence=7, cold_seconds=2.0)) is False


def test_rows_converge_for_any_order_of_updates():
    updates = [
        ROW,
        replace(ROW, sequence=6, state="draining"),
        replace(ROW, id="i-2", incarnation=2000, sequence=1),
        replace(ROW, id="i-2", incarnation=2000, sequence=2, slots=8),
        Departure("target", "i-1", 1000, True),
    ]
    results = set()
    for seed in range(60):
        registry = Registry()
        for item in random.Random(seed).sample(updates, len(updates)):
            apply = registry.forget if isinstance(item, Departure) else registry.record
            apply(0.0, item)
        results.add(tuple(sorted(registry.rows(), key=lambda row: row.key)))
    assert results == {(updates[3],)}


def test_members_are_found_by_role():
    registry = Registry()
    row = MemberRow("g", "gateway", "dc", "r", "10.0.0.2:7700", 1, 1)
    assert registry.record(0.0, row)
    assert registry.record(1.0, replace(row, sequence=2)) is False
    assert registry.members_of("gateway") == [replace(row, sequence=2)]
    assert registry.members_of("loader") == []


def test_row_missing_at_one_instance_after_another_is_dropped():
    """Each move of a follower began its time anew, and a lost target was kept."""
    table = RowTable("member", 0.0)
    table.record(0.0, MemberRow("x", "gateway", "dc", "r", "10.0.0.1:7700", 1, 1))
    now = 0.0
    while table.by_key:
        table.mark_missing_except(now, [])
        now += 1.0
        table.drop_missing(now)
        assert now < 2 * MISSING_ROW_SECONDS
