"""Random schedules in which instances start, stop and move, knowing only a few seeds.

A lost control instance is replaced at another address. After the faults end, all
instances must know exactly the running ones.
"""

import os
from types import SimpleNamespace

import anyio
import pytest

from banyanshore.control import feed as control_feed
from banyanshore.control.feed import FeedServer
from banyanshore.membership.feed import (
    CONFIRM_INTERVAL,
    CONTROL_ROLE,
    FeedClient,
    peer_address,
)
from banyanshore.membership.registry import MISSING_ROW_SECONDS, RowTable
from tests.membership.fleet import (
    EXPIRY_SECONDS,
    PEER_PORT,
    SEED_LAG_SECONDS,
    Fleet,
    FollowerInstance,
    Sleep,
)

SCHEDULES = int(os.environ.get("BANYANSHORE_SCHEDULES", "30"))
# Seconds to converge without faults: expiry, missing rows and a few confirm requests.
SETTLE_SECONDS = EXPIRY_SECONDS + MISSING_ROW_SECONDS + 3 * CONFIRM_INTERVAL


class Turnover:
    """Faults: instances are replaced, restarted and cut off, and seeds are reloaded."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.random = fleet.random
        self.acts = {
            self.replace_control: 0.006,
            self.restart_control: 0.006,
            self.restart_follower: 0.01,
            self.replace_follower: 0.006,
            self.cut: 0.01,
            self.read_seeds: 0.03,
        }

    def __call__(self):
        for act, probability in self.acts.items():
            if self.random.random() < probability:
                act()

    def pick_control(self):
        return self.random.choice(list(self.fleet.control_by_address.values()))

    def stop_control(self, control):
        del self.fleet.control_by_address[control.member.address]
        for follower in self.fleet.followers:
            if follower.control is control:
                follower.connection = follower.control = None

    def replace_control(self):
        """Replace a control instance once the others are in the delayed seed list."""
        seeds_changed_at, names = self.fleet.seed_lists[-1]
        if self.fleet.now < seeds_changed_at + SEED_LAG_SECONDS + 1.0:
            return
        lost = self.pick_control()
        self.stop_control(lost)
        name = self.fleet.new_name()
        kept = [known for known in names if known != lost.name]
        self.fleet.seed_lists.append((self.fleet.now, [*kept, name]))
        self.fleet.start_control(name)

    def restart_control(self):
        control = self.pick_control()
        self.stop_control(control)
        self.fleet.start_control(control.name)

    def restart_follower(self):
        number = self.random.randrange(len(self.fleet.followers))
        old = self.fleet.followers[number]
        old.disconnect()
        self.fleet.followers[number] = FollowerInstance(self.fleet, old.name)

    def replace_follower(self):
        number = self.random.randrange(len(self.fleet.followers))
        self.fleet.followers[number].disconnect()
        name = self.fleet.new_name()
        self.fleet.followers[number] = FollowerInstance(self.fleet, name)

    def cut(self):
        instances = [*self.fleet.control_by_address.values(), *self.fleet.followers]
        instance = self.random.choice(instances)
        instance.cut_until = self.fleet.now + self.random.uniform(0.5, 8.0)
        instance.cut_count += 1
        for follower in self.fleet.followers:
            if instance in (follower, follower.control):
                follower.disconnect()

    def read_seeds(self):
        """Let one instance reload its settings."""
        if self.random.random() < 0.5:
            self.pick_control().server.seeds = self.fleet.seeds()
        else:
            self.random.choice(self.fleet.followers).client.seeds = self.fleet.seeds()


@pytest.fixture(autouse=True)
def fleet_time(monkeypatch):
    """Make the production code use the simulated time of the running fleet."""
    current = [SimpleNamespace(now=0.0)]

    async def sleep(seconds):
        await Sleep(seconds)

    monkeypatch.setattr(
        control_feed, "anyio", SimpleNamespace(sleep=sleep, Event=anyio.Event)
    )
    clock = SimpleNamespace(monotonic=lambda: current[-1].now)
    monkeypatch.setattr(control_feed, "time", clock)
    monkeypatch.setattr("banyanshore.membership.feed.time", clock)
    return current


def run_turnover(current, seed):
    fleet = Fleet(seed)
    current[:] = [fleet]
    fleet.run(3.0)
    fleet.run(40.0, Turnover(fleet))
    for instance in [*fleet.control_by_address.values(), *fleet.followers]:
        instance.cut_until = -1.0
    fleet.run(SETTLE_SECONDS)
    fleet.check_converged()
    return fleet


def is_detected(current):
    for seed in range(60):
        try:
            run_turnover(current, seed)
        except AssertionError:
            return True
    return False


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_all_instances_know_exactly_the_live_ones(fleet_time, seed):
    run_turnover(fleet_time, seed)


def test_schedules_replace_all_control_instances(fleet_time):
    kept = []
    for seed in range(5):
        fleet = run_turnover(fleet_time, seed)
        kept.append(len(set(fleet.seed_lists[0][1]) & fleet.names(CONTROL_ROLE)))
    assert min(kept) == 0


def test_rows_that_never_expire_are_detected(fleet_time, monkeypatch):
    monkeypatch.setattr(RowTable, "expire", lambda table, now: [])
    assert is_detected(fleet_time)


def test_departure_that_ignores_the_incarnation_is_detected(fleet_time, monkeypatch):
    def forget(table, now, departure):
        return table.by_key.pop(departure.key, None) is not None

    monkeypatch.setattr(RowTable, "forget", forget)
    monkeypatch.setattr(f"{__name__}.SETTLE_SECONDS", 0.5)
    assert is_detected(fleet_time)


def test_followers_that_use_only_their_seeds_are_detected(fleet_time, monkeypatch):
    monkeypatch.setattr(FeedClient, "candidates", lambda client: list(client.seeds))
    assert is_detected(fleet_time)


def test_control_that_uses_only_its_seeds_is_detected(fleet_time, monkeypatch):
    def addresses(server):
        return [peer_address(name, PEER_PORT) for name in server.seeds]

    monkeypatch.setattr(FeedServer, "control_addresses", addresses)
    assert is_detected(fleet_time)


def test_missing_rows_that_are_kept_are_detected(fleet_time, monkeypatch):
    monkeypatch.setattr(RowTable, "mark_missing_except", lambda table, now, keys: None)
    assert is_detected(fleet_time)
