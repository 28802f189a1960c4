"""News of loads reaches all gateways by hubs, at a cost that doesn't grow with them."""

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
    """Gateways that pass on what they are told, with some of them lost.

    :param lost: names of gateways that get and send nothing, which no one knows yet.
    """

    def __init__(self, count, lost=frozenset()):
        self.rows = [gateway(number) for number in range(count)]
        self.hubs = choose_hubs(self.rows)
        self.lost = lost
        self.filters = {
            row.instance: DuplicateFilter(row.instance) for row in self.rows
        }
        self.heard = {row.instance: [] for row in self.rows}
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
        fresh = [item for item in items if self.filters[row.instance].is_new(item)]
        self.heard[row.instance] += fresh
        return fresh

    def tell(self, data_centre, items):
        """Tell items to the hubs of a data centre, and pass them on in one batch."""
        for hub in hubs_for(data_centre, self.hubs):
            fresh = self.deliver(hub, items)
            if fresh:
                self.pass_on(hub, fresh)

    def pass_on(self, hub, items):
        for row in self.neighbours(hub):
            self.deliver(row, items)
        for zone, others in self.hubs.items():
            told = items_for(zone, items)
            for other in others if zone != hub.data_centre and told else ():
                fresh = self.deliver(other, told)
                for row in self.neighbours(other) if fresh else ():
                    self.deliver(row, fresh)


@pytest.mark.parametrize("count", [8, 41, 99, 300])
def test_report_reaches_every_gateway_once(count):
    fleet = Fleet(count)
    fleet.tell("b", [report(1)])
    assert all(heard == [report(1)] for heard in fleet.heard.values())


@pytest.mark.parametrize("seed", range(20))
def test_report_reaches_all_that_live_while_a_hub_of_each_data_centre_is_lost(seed):
    rng = random.Random(seed)
    hubs = choose_hubs([gateway(number) for number in range(99)])
    lost = {rng.choice(rows).instance for rows in hubs.values()}
    fleet = Fleet(99, lost)
    fleet.tell(rng.choice(ZONES), [report(1)])
    living = fleet.heard.keys() - lost
    assert all(fleet.heard[name] == [report(1)] for name in living)


def test_with_one_hub_each_a_lost_one_is_noticed(monkeypatch):
    """A planted fault: the schedule above tells one hub from two."""
    monkeypatch.setattr("banyanshore.membership.hubs.HUBS_PER_DATA_CENTRE", 1)
    hubs = choose_hubs([gateway(number) for number in range(99)])
    fleet = Fleet(99, {hubs["a"][0].instance})
    fleet.tell("b", [report(1)])
    assert any(not heard for heard in fleet.heard.values())


@pytest.mark.parametrize("count", [41, 99, 300])
def test_messages_of_a_gateway_do_not_grow_with_the_fleet(count):
    """Each told each: 99 gateways had 24,000 messages a second of 45 loaders."""
    fleet = Fleet(count)
    for zone in ZONES:
        fleet.tell(zone, [report(1, zone)])
    # Two batches of each data centre; a hub has them from both hubs of each other one.
    assert fleet.sent <= count * 2 * len(ZONES) + 4 * len(ZONES) ** 2


def test_placement_reaches_the_data_centre_of_its_target_and_its_sender():
    fleet = Fleet(41)
    notice = PlacementNumbering("edge-0", 1).number(PlacementNotice("t", 0.1, "b"))
    fleet.tell("a", [notice])
    for row in fleet.rows:
        is_concerned = row.data_centre in ("a", "b") and row.instance != "edge-0"
        assert fleet.heard[row.instance] == ([notice] if is_concerned else [])


def test_placement_is_taken_once_and_again_after_a_restart():
    heard = DuplicateFilter("edge-1")
    numbers, restarted = (
        PlacementNumbering("edge-0", 1),
        PlacementNumbering("edge-0", 2),
    )
    first = numbers.number(PlacementNotice("t", 0.1))
    second = numbers.number(PlacementNotice("t", 0.1))
    assert [heard.is_new(item) for item in (first, second, first, second)] == [
        True,
        True,
        False,
        False,
    ]
    assert heard.is_new(restarted.number(PlacementNotice("t", 0.1)))


def test_process_that_starts_again_with_its_clock_set_back_is_heard():
    """Its news was older than that of the start before, for as long as it ran."""
    heard = DuplicateFilter("edge-1")
    for incarnation in (5_000, 2_600):
        numbers = PlacementNumbering("edge-0", incarnation)
        assert heard.is_new(numbers.number(PlacementNotice("t", 0.1)))
        assert heard.is_new(LoadReport("t", incarnation, 1, "m", 1, 16, 0, 0))


def test_newest_report_of_a_target_is_kept_and_comes_last():
    gathered = PendingUpdates()
    notice = PlacementNotice("t", 0.1)
    for item in (report(2), notice, report(1), report(3, "u")):
        gathered.add(item)
    assert gathered.take_all() == (notice, report(2), report(3, "u"))
    assert not gathered


def test_gateways_are_told_by_another_data_centre_where_theirs_has_none():
    hubs = choose_hubs([gateway(0)])
    assert hubs_for("z", hubs) == (gateway(0),)
    assert hubs_for("a", {}) == ()


def test_news_waits_for_a_part_of_what_a_prompt_takes():
    assert batch_delay(10_000, True) == MAX_BATCH_DELAY <= 0.02
    assert batch_delay(20, True) < 0.01 < batch_delay(20, False)
