"""Schedules in which instances come, go and move while they know only a few seeds.

Control instances and followers run the code that serves, over a network of this
module. A control instance that is lost is replaced at another address. Seeds are those
that were right some seconds ago. A cut ends the connections that it meets. Once faults
end, all have to know of all that live, and of none that is gone.
"""

import os
import random
from types import SimpleNamespace

import anyio
import pytest

from banyanshore.control import feed as control_feed
from banyanshore.control.feed import FeedServer
from banyanshore.control.process import ANNOUNCE_INTERVAL
from banyanshore.membership.feed import (
    CONFIRM_INTERVAL,
    CONTROL_ROLE,
    GATEWAY_ROLE,
    RETRY_SECONDS,
    ConfirmRequest,
    FeedClient,
    MemberRow,
    Registry,
    peer_address,
)
from banyanshore.membership.registry import DOUBT_SECONDS, RowTable
from banyanshore.state import StateHolder
from banyanshore.telemetry.control import ControlMetrics
from banyanshore.transport import LinkOptions

SCHEDULES = int(os.environ.get("BANYANSHORE_SCHEDULES", "30"))
STEP = 0.05
PEER_PORT = 7700
EXPIRY_SECONDS = 6.0
# Seconds after which the list that seeds are taken from shows a change.
SEED_LAG_SECONDS = 3.0
# Seconds without faults in which all have to be known: silence, doubt, some questions.
SETTLE_SECONDS = EXPIRY_SECONDS + DOUBT_SECONDS + 3 * CONFIRM_INTERVAL


class Link:
    """A connection to another control instance, as the feed sees it."""

    def __init__(self, fleet, sender, receiver):
        self.fleet = fleet
        self.sender = sender
        self.receiver = receiver
        # Another one after each cut; the feed tells them apart by identity.
        key = (sender, receiver, sender.cuts, receiver.cuts)
        self.connection = fleet.connection_by_key.setdefault(key, key)
        self.is_open = not (sender.is_cut or receiver.is_cut)

    async def notify_or_drop(self, news):
        self.fleet.send(self.sender, self.receiver, lambda: self.take(news))

    async def take(self, news):
        await self.receiver.server.on_peer_news(news)


class Links:
    """Links by address; one to an instance that is gone drops all."""

    def __init__(self, fleet, sender):
        self.fleet = fleet
        self.sender = sender

    def get(self, address):
        receiver = self.fleet.control_by_address.get(address)
        if receiver is None:
            return SimpleNamespace(is_open=False, connection=None, notify_or_drop=drop)
        return Link(self.fleet, self.sender, receiver)


async def drop(news):
    pass


class Connection:
    """A follower's connection to a control instance."""

    def __init__(self, fleet, server_side, follower):
        self.fleet = fleet
        self.server_side = server_side
        self.follower = follower
        self.peer = follower.name

    async def notify(self, news):
        self.fleet.send(self.server_side, self.follower, lambda: self.take(news))

    async def take(self, news):
        if self.follower.connection is self:
            await self.follower.client._on_rows(self, news)


class Instance:
    """Anything that is started at an address of its own."""

    def __init__(self, fleet, name, role):
        self.fleet = fleet
        self.name = name
        self.cut_until = -1.0
        # How often it has been cut off.
        self.cuts = 0
        self.member = MemberRow(
            name, role, "dc", "r", peer_address(name, PEER_PORT), fleet.starts(), 0
        )
        self.sequence = 0
        self.next_at = fleet.now

    @property
    def is_cut(self):
        return self.fleet.now < self.cut_until

    def next_row(self):
        self.sequence += 1
        row = self.member
        return MemberRow(
            row.instance, row.role, row.data_centre, row.region, row.address,
            row.incarnation, self.sequence,
        )  # fmt: skip


class ControlInstance(Instance):
    """A control instance: its registry, and the feed that passes rows on."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name, CONTROL_ROLE)
        self.registry = Registry(EXPIRY_SECONDS, EXPIRY_SECONDS)
        settings = SimpleNamespace(seeds=fleet.seeds(), peer_port=PEER_PORT)
        self.server = FeedServer(
            settings,
            self.member,
            StateHolder(keeps_previous=True),
            self.registry,
            Links(fleet, self),
            ControlMetrics(),
        )

    async def step(self):
        if self.fleet.now < self.next_at:
            return
        self.next_at = self.fleet.now + ANNOUNCE_INTERVAL / 4
        if self.sequence % 4 == 0:
            await self.server.record(self.next_row())
        else:
            self.sequence += 1
        await self.server._greet_control()
        departures = self.registry.expire(self.fleet.now)
        if departures:
            news = control_feed.RowNews((), tuple(departures))
            await self.server._tell_followers(news)


class FollowerInstance(Instance):
    """A gateway that follows one control instance at a time."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name, GATEWAY_ROLE)
        self.registry = Registry()
        settings = SimpleNamespace(
            seeds=fleet.seeds(), peer_port=PEER_PORT, data_centre="dc"
        )
        self.client = FeedClient(
            settings, self.member, StateHolder(), self.registry, LinkOptions()
        )
        self.connection = None
        self.control = None

    async def step(self):
        if self.fleet.now < self.next_at:
            return
        chosen = self.client._choose_control()
        control = self.fleet.control_by_address.get(peer_address(chosen, PEER_PORT))
        if control is None or self.is_cut or control.is_cut:
            self.leave()
            self.client._asked += 1
            self.next_at = self.fleet.now + RETRY_SECONDS
            return
        if control is not self.control or self.connection is None:
            self.leave()
            self.control = control
            self.connection = Connection(self.fleet, control, self)
        self.next_at = self.fleet.now + CONFIRM_INTERVAL
        await control.server.on_follower(
            self.connection, ConfirmRequest(self.next_row(), 0)
        )
        self.client.drop_doubted()

    def leave(self):
        """Close the connection; the other side notices."""
        if self.connection is not None:
            self.fleet.start(self.control.server.on_closed(self.connection))
        self.connection = self.control = None


class Fleet:
    """Instances, what is on its way between them, and the time."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.started = 0
        self.numbers = iter(range(1, 1000))
        self.queue = []
        self.sleeping = []
        self.listed = []
        self.control_by_address = {}
        self.connection_by_key = {}
        self.last_at_by_pair = {}
        self.followers = []
        names = [self.new_name() for _ in range(4)]
        self.listed.append((self.now - SEED_LAG_SECONDS, names))
        for name in names:
            self.start_control(name)
        for _ in range(5):
            self.followers.append(FollowerInstance(self, self.new_name()))

    def starts(self):
        self.started += 1
        return self.started

    def new_name(self):
        return f"10.0.0.{next(self.numbers)}:8000"

    def start_control(self, name):
        instance = ControlInstance(self, name)
        self.control_by_address[peer_address(name, PEER_PORT)] = instance

    def seeds(self):
        """Return three control instances of the list as it was some seconds ago."""
        seen = [names for at, names in self.listed if at + SEED_LAG_SECONDS <= self.now]
        names = seen[-1]
        return tuple(self.random.sample(names, min(3, len(names))))

    def send(self, sender, receiver, act):
        if not sender.is_cut and not receiver.is_cut:
            at = self.now + self.random.uniform(0.001, 0.3)
            # In order, as over a connection.
            at = max(at, self.last_at_by_pair.get((sender, receiver), 0.0) + 1e-6)
            self.last_at_by_pair[sender, receiver] = at
            self.queue.append((at, receiver, act))

    def start(self, coroutine):
        self.sleeping.append((self.now, coroutine))

    async def sleep(self, seconds):
        await Pause(seconds)

    def run(self, seconds, faults=None):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            if faults:
                faults()
            due = [item for item in self.queue if item[0] <= self.now]
            self.queue = [item for item in self.queue if item[0] > self.now]
            for _, receiver, act in sorted(due, key=lambda item: item[0]):
                if self.lives(receiver):
                    self.start(act())
            for instance in [*self.control_by_address.values(), *self.followers]:
                self.start(instance.step())
            self.run_coroutines()

    def lives(self, instance):
        return (
            instance in self.followers or instance in self.control_by_address.values()
        )

    def run_coroutines(self):
        due = [item for item in self.sleeping if item[0] <= self.now]
        self.sleeping = [item for item in self.sleeping if item[0] > self.now]
        for _, coroutine in due:
            try:
                seconds = coroutine.send(None)
            except StopIteration:
                continue
            self.sleeping.append((self.now + seconds, coroutine))

    def names(self, role):
        if role == CONTROL_ROLE:
            return {row.name for row in self.control_by_address.values()}
        return {follower.name for follower in self.followers}

    def check_settled(self):
        """Check that all know of all that live, and of no others."""
        for instance in [*self.control_by_address.values(), *self.followers]:
            for role in (CONTROL_ROLE, GATEWAY_ROLE):
                known = {row.instance for row in instance.registry.members_of(role)}
                assert known == self.names(role), f"{instance.name} knows otherwise"
        for follower in self.followers:
            assert follower.control is not None


class Pause:
    """Yield to the fleet for some seconds."""

    def __init__(self, seconds):
        self.seconds = seconds

    def __await__(self):
        yield self.seconds


class Turnover:
    """Faults: instances replaced, restarted and cut off, seeds read again."""

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

    def end_control(self, control):
        del self.fleet.control_by_address[control.member.address]
        for follower in self.fleet.followers:
            if follower.control is control:
                follower.connection = follower.control = None

    def replace_control(self):
        """Replace one, if the others have been listed long enough to be seeds."""
        listed_at, names = self.fleet.listed[-1]
        if self.fleet.now < listed_at + SEED_LAG_SECONDS + 1.0:
            return
        lost = self.pick_control()
        self.end_control(lost)
        name = self.fleet.new_name()
        kept = [known for known in names if known != lost.name]
        self.fleet.listed.append((self.fleet.now, [*kept, name]))
        self.fleet.start_control(name)

    def restart_control(self):
        control = self.pick_control()
        self.end_control(control)
        self.fleet.start_control(control.name)

    def restart_follower(self):
        number = self.random.randrange(len(self.fleet.followers))
        gone = self.fleet.followers[number]
        gone.leave()
        self.fleet.followers[number] = FollowerInstance(self.fleet, gone.name)

    def replace_follower(self):
        number = self.random.randrange(len(self.fleet.followers))
        self.fleet.followers[number].leave()
        name = self.fleet.new_name()
        self.fleet.followers[number] = FollowerInstance(self.fleet, name)

    def cut(self):
        instances = [*self.fleet.control_by_address.values(), *self.fleet.followers]
        instance = self.random.choice(instances)
        instance.cut_until = self.fleet.now + self.random.uniform(0.5, 8.0)
        instance.cuts += 1
        for follower in self.fleet.followers:
            if instance in (follower, follower.control):
                follower.leave()

    def read_seeds(self):
        """Let one instance read its settings again."""
        if self.random.random() < 0.5:
            self.pick_control().server.seeds = self.fleet.seeds()
        else:
            self.random.choice(self.fleet.followers).client.seeds = self.fleet.seeds()


@pytest.fixture(autouse=True)
def fleet_time(monkeypatch):
    """Give the code that serves the time of the fleet that runs."""
    current = []

    async def sleep(seconds):
        await Pause(seconds)

    monkeypatch.setattr(
        control_feed, "anyio", SimpleNamespace(sleep=sleep, Event=anyio.Event)
    )
    clock = SimpleNamespace(monotonic=lambda: current[-1].now)
    monkeypatch.setattr(control_feed, "time", clock)
    monkeypatch.setattr("banyanshore.membership.feed.time", clock)
    return current


def run_turnover(current, seed):
    fleet = Fleet(seed) if current else _first(current, seed)
    current[:] = [fleet]
    fleet.run(3.0)
    fleet.run(40.0, Turnover(fleet))
    for instance in [*fleet.control_by_address.values(), *fleet.followers]:
        instance.cut_until = -1.0
    fleet.run(SETTLE_SECONDS)
    fleet.check_settled()
    return fleet


def _first(current, seed):
    current.append(SimpleNamespace(now=1000.0))
    return Fleet(seed)


def is_caught(current):
    for seed in range(60):
        try:
            run_turnover(current, seed)
        except AssertionError:
            return True
    return False


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_all_know_of_all_that_live(fleet_time, seed):
    run_turnover(fleet_time, seed)


def test_schedules_turn_all_control_instances_over(fleet_time):
    kept = []
    for seed in range(5):
        fleet = run_turnover(fleet_time, seed)
        kept.append(len(set(fleet.listed[0][1]) & fleet.names(CONTROL_ROLE)))
    assert min(kept) == 0


def test_rows_that_never_expire_are_caught(fleet_time, monkeypatch):
    monkeypatch.setattr(RowTable, "expire", lambda table, now: [])
    assert is_caught(fleet_time)


def test_departure_of_any_incarnation_is_caught(fleet_time, monkeypatch):
    def forget(table, now, departure):
        return table.by_key.pop(departure.key, None) is not None

    monkeypatch.setattr(RowTable, "forget", forget)
    monkeypatch.setattr(f"{__name__}.SETTLE_SECONDS", 0.5)
    assert is_caught(fleet_time)


def test_followers_that_keep_to_their_seeds_are_caught(fleet_time, monkeypatch):
    monkeypatch.setattr(FeedClient, "candidates", lambda client: list(client.seeds))
    assert is_caught(fleet_time)


def test_control_that_keeps_to_its_seeds_is_caught(fleet_time, monkeypatch):
    def addresses(server):
        return [peer_address(name, PEER_PORT) for name in server.seeds]

    monkeypatch.setattr(FeedServer, "control_addresses", addresses)
    assert is_caught(fleet_time)


def test_rows_kept_whatever_control_knows_are_caught(fleet_time, monkeypatch):
    monkeypatch.setattr(RowTable, "doubt_all_but", lambda table, now, keys: None)
    assert is_caught(fleet_time)
