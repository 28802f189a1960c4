"""The members of a relay tree while control loses sight of some of them."""

import random
from dataclasses import replace

import pytest

from banyanshore.membership.feed import GATEWAY_ROLE, LOADER_ROLE, Registry
from banyanshore.membership.registry import Departure, MemberRow
from banyanshore.weights import relay_rosters
from banyanshore.weights.relay_rosters import HOLD_SECONDS, RelayRosters

OWN = "gateway-0-0"


class Fleet:
    """A registry of gateways and loaders in two data centres, and its rosters."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(relay_rosters.time, "monotonic", lambda: self.now)
        self.registry = Registry()
        self.rows = {}
        for number in range(2):
            for place in range(4):
                self.add(f"gateway-{number}-{place}", GATEWAY_ROLE, number)
                self.add(f"loader-{number}-{place}", LOADER_ROLE, number)
        self.rosters = RelayRosters(self.registry, "s", OWN)
        self.rosters.refresh("dc-0")

    def add(self, name, role, number):
        row = MemberRow(
            name,
            role,
            f"dc-{number}",
            f"region-{number}",
            f"{name}:1",
            1,
            1,
            "s" if role == LOADER_ROLE else "",
        )
        self.rows[name] = row
        self.registry.record(self.now, row)

    def drop(self, name):
        self.registry.forget(self.now, Departure("member", name, 1))

    def record(self, name, **changes):
        self.rows[name] = replace(
            self.rows[name], sequence=self.rows[name].sequence + 1, **changes
        )
        self.registry.record(self.now, self.rows[name])

    def wait(self, seconds):
        self.now += seconds
        self.rosters.refresh("dc-0")

    def shape(self):
        tree = self.rosters.tree
        return {name: tree.parent(name) for name in self.rows}, tree.root


@pytest.fixture
def fleet(monkeypatch):
    return Fleet(monkeypatch)


@pytest.mark.parametrize("name", ["gateway-0-2", "loader-1-2"])
def test_member_that_is_soon_back_keeps_its_place(fleet, name):
    """Control lost sight of members that had moved on, and transfers began anew."""
    shape, digest = fleet.shape(), fleet.rosters.digest
    fleet.drop(name)
    fleet.wait(0.1)
    assert fleet.shape() == shape
    fleet.wait(0.9 * HOLD_SECONDS)
    assert fleet.shape() == shape
    fleet.record(name)
    fleet.wait(2 * HOLD_SECONDS)
    assert fleet.shape() == shape
    assert fleet.rosters.digest == digest


def test_member_that_stays_away_loses_its_place(fleet):
    for name in ("gateway-0-2", "loader-1-2"):
        fleet.drop(name)
    fleet.wait(0.1)
    fleet.wait(HOLD_SECONDS)
    parents, _ = fleet.shape()
    assert "gateway-0-2" not in parents.values()
    assert not fleet.rosters.tree.is_relay("gateway-0-2")
    assert "loader-1-2" not in fleet.rosters.loaders_by_data_centre()["dc-1"]


def test_member_whose_machine_has_another_instance_loses_its_place(fleet):
    row = replace(fleet.rows["loader-1-2"], instance="loader-1-9", incarnation=2)
    fleet.drop("loader-1-2")
    fleet.registry.record(fleet.now, row)
    fleet.wait(0.1)
    names = fleet.rosters.loaders_by_data_centre()["dc-1"]
    assert {"loader-1-9", "loader-1-2"} & names == {"loader-1-9"}


def test_hold_ends_without_news_from_control(fleet):
    """A loader looks at its members when control tells of a change."""
    fleet.drop("loader-1-2")
    fleet.wait(0.1)
    fleet.now += HOLD_SECONDS
    fleet.rosters.release_held()
    assert "loader-1-2" not in fleet.rosters.loaders_by_data_centre()["dc-1"]


def test_member_that_goes_and_comes_is_held_anew_each_time(fleet):
    shape = fleet.shape()
    for _ in range(4):
        fleet.drop("gateway-0-2")
        fleet.wait(0.7 * HOLD_SECONDS)
        fleet.wait(0.1)
        assert fleet.shape() == shape
        fleet.record("gateway-0-2")
        fleet.wait(0.1)


def test_member_with_another_role_or_data_centre_moves_at_once(fleet):
    fleet.record("loader-1-2", incarnation=2, data_centre="dc-0", region="region-0")
    fleet.wait(0.1)
    assert "loader-1-2" in fleet.rosters.loaders_by_data_centre()["dc-0"]
    fleet.record("loader-1-3", incarnation=2, service="other")
    fleet.wait(0.1)
    assert "loader-1-3" not in fleet.rosters.loaders_by_data_centre()["dc-1"]


def test_this_instance_is_alive_whatever_control_says(fleet):
    shape = fleet.shape()
    fleet.drop(OWN)
    fleet.wait(0.1)
    fleet.wait(3 * HOLD_SECONDS)
    assert fleet.shape() == shape


@pytest.mark.parametrize("seed", range(10))
def test_tree_stays_while_members_come_and_go_within_the_hold(fleet, seed):
    """Of a core that loses power and returns, members are seen by some only."""
    rng = random.Random(seed)
    shape = fleet.shape()
    away = {}
    for _ in range(200):
        for name in [n for n, back_at in away.items() if back_at <= fleet.now]:
            del away[name]
            fleet.record(name)
            fleet.wait(0.0)
        name = rng.choice(sorted(fleet.rows))
        if name not in away:
            fleet.drop(name)
            away[name] = fleet.now + rng.uniform(0.0, 0.9 * HOLD_SECONDS)
        fleet.wait(0.1)
        assert fleet.shape() == shape
