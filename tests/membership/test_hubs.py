"""Hubs deliver load updates to all gateways at a cost per gateway that doesn't grow."""

import random

import pytest

from banyanshore.membership.hubs import (
    MAX_BATCH_DELAY,
    DuplicateFilter,
    PendingUpdates,
    PlacementNumbering,
    batch_delay,
    choose_hubs,
    hubs_for,
    items_for,
)
from banyanshore.membership.load_reports import LoadReport, PlacementNotice
from banyanshore.membership.registry import MemberRow

ZONES = ("a", "b", "c", "d", "e")


def gateway(number):
    zone = ZONES[number % len(ZONES)]
    return MemberRow(
        f"edge-{number}", "gateway", zone, zone, f"10.0.0.{number}:1", 1, 1
    )


def report(sequence, address="t", active=0):
    return LoadReport(address, 1, sequence, "m", 1, 16, active, 0)


class Fleet:
    """Gateways that forward the updates that they receive, with some of them lost.

    :param lost: names of gateways that receive and send nothing, as yet undetected.
    """

    def __init__(self, count, lost=frozenset()):
        self.rows = [gateway(number) for number in range(count)]
        self.hubs = choose_hubs(self.rows)
        self.lost = lost
        self.filters = {
            row.instance: DuplicateFilter(row.instance) for row in self.rows
        }
        self.received = {row.instance: [] for row in self.rows}
        self.sent = 0

    def neighbours(self, row):
        return [
            other
            for other in self.rows
            if other.data_centre == row.data_centre and other != row
        ]

    def deliver(self, row, items):
        self.sent += 1
        if row.instance in self.lost:
            return []
        new_items = [item for item in items if self.filters[row.instance].is_new(item)]
        self.received[row.instance] += new_items
        return new_items

    def send_to_hubs(self, data_centre, items):
        """Send items to the hubs of a data centre, which forward them in one batch."""
        for hub in hubs_for(data_centre, self.hubs):
            new_items = self.deliver(hub, items)
            if new_items:
                self.forward(hub, new_items)

    def forward(self, hub, items):
        for row in self.neighbours(hub):
            self.deliver(row, items)
        for zone, others in self.hubs.items():
            selected = items_for(zone, items)
            for other in others if zone != hub.data_centre and selected else ():
                new_items = self.deliver(other, selected)
                for row in self.neighbours(other) if new_items else ():
                    self.deliver(row, new_items)


@pytest.mark.parametrize("count", [8, 41, 99, 300])
def test_report_reaches_every_gateway_once(count):
    fleet = Fleet(count)
    fleet.send_to_hubs("b", [report(1)])
    assert all(items == [report(1)] for items in fleet.received.values())


@pytest.mark.parametrize("seed", range(20))
def test_report_reaches_live_gateways_with_one_hub_lost_in_each_data_centre(seed):
    rng = random.Random(seed)
    hubs = choose_hubs([gateway(number) for number in range(99)])
    lost = {rng.choice(rows).instance for rows in hubs.values()}
    fleet = Fleet(99, lost)
    fleet.send_to_hubs(rng.choice(ZONES), [report(1)])
    living = fleet.received.keys() - lost
    assert all(fleet.received[name] == [report(1)] for name in living)


def test_loss_of_the_only_hub_of_a_data_centre_is_detected(monkeypatch):
    """An injected bug: the test above fails with one hub per data centre."""
    monkeypatch.setattr("banyanshore.membership.hubs.HUBS_PER_DATA_CENTRE", 1)
    hubs = choose_hubs([gateway(number) for number in range(99)])
    fleet = Fleet(99, {hubs["a"][0].instance})
    fleet.send_to_hubs("b", [report(1)])
    assert any(not items for items in fleet.received.values())


@pytest.mark.parametrize("count", [41, 99, 300])
def test_messages_per_gateway_do_not_grow_with_the_fleet(count):
    """Without hubs, 99 gateways got 24,000 messages a second from 45 loaders."""
    fleet = Fleet(count)
    for zone in ZONES:
        fleet.send_to_hubs(zone, [report(1, zone)])
    # Two batches per data centre; a hub gets them from both hubs of each other one.
    assert fleet.sent <= count * 2 * len(ZONES) + 4 * len(ZONES) ** 2


def test_placement_reaches_the_data_centres_of_its_target_and_sender():
    fleet = Fleet(41)
    notice = PlacementNumbering("edge-0", 1).number(PlacementNotice("t", 0.1, "b"))
    fleet.send_to_hubs("a", [notice])
    for row in fleet.rows:
        is_concerned = row.data_centre in ("a", "b") and row.instance != "edge-0"
        assert fleet.received[row.instance] == ([notice] if is_concerned else [])


def test_duplicate_placements_are_dropped_but_not_after_a_restart():
    duplicate_filter = DuplicateFilter("edge-1")
    numbers, restarted = (
        PlacementNumbering("edge-0", 1),
        PlacementNumbering("edge-0", 2),
    )
    first = numbers.number(PlacementNotice("t", 0.1))
    second = numbers.number(PlacementNotice("t", 0.1))
    assert [
        duplicate_filter.is_new(item) for item in (first, second, first, second)
    ] == [
        True,
        True,
        False,
        False,
    ]
    assert duplicate_filter.is_new(restarted.number(PlacementNotice("t", 0.1)))


def test_updates_after_a_restart_with_the_clock_set_back_are_accepted():
    """All updates of the restarted process were dropped as outdated."""
    duplicate_filter = DuplicateFilter("edge-1")
    for incarnation in (5_000, 2_600):
        numbers = PlacementNumbering("edge-0", incarnation)
        assert duplicate_filter.is_new(numbers.number(PlacementNotice("t", 0.1)))
        assert duplicate_filter.is_new(
            LoadReport("t", incarnation, 1, "m", 1, 16, 0, 0)
        )


def test_latest_report_of_a_target_is_kept_and_comes_last():
    pending = PendingUpdates()
    notice = PlacementNotice("t", 0.1)
    for item in (report(2), notice, report(1), report(3, "u")):
        pending.add(item)
    assert pending.take_all() == (notice, report(2), report(3, "u"))
    assert not pending


def test_data_centre_without_gateways_uses_the_hubs_of_another():
    hubs = choose_hubs([gateway(0)])
    assert hubs_for("z", hubs) == (gateway(0),)
    assert hubs_for("a", {}) == ()


def test_batch_delay_is_short_compared_with_a_prompt():
    assert batch_delay(10_000, True) == MAX_BATCH_DELAY <= 0.02
    assert batch_delay(20, True) < 0.01 < batch_delay(20, False)
