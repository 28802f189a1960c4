"""Control instances and followers under a clock and over a network of the test.

They run the code that serves. What they send travels in order between each two, a cut
ends the connections that it meets, and seeds are those that were right seconds ago.
"""

import random
from types import SimpleNamespace

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
    RowUpdate,
    peer_address,
)
from banyanshore.state import StateHolder
from banyanshore.telemetry.control import ControlMetrics
from banyanshore.transport import LinkOptions, decode

STEP = 0.05
PEER_PORT = 7700
EXPIRY_SECONDS = 6.0
# Seconds after which the list that seeds are taken from shows a change.
SEED_LAG_SECONDS = 3.0


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

    async def notify_or_drop(self, update):
        self.fleet.send(self.sender, self.receiver, lambda: self.take(update))

    async def take(self, update):
        await self.receiver.server.on_peer_update(update)


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


async def drop(update):
    pass


class Connection:
    """A follower's connection to a control instance."""

    def __init__(self, fleet, server_side, follower):
        self.fleet = fleet
        self.server_side = server_side
        self.follower = follower
        self.peer = follower.name

    async def notify(self, update):
        self.fleet.send(self.server_side, self.follower, lambda: self.take(update))

    async def notify_encoded(self, data):
        await self.notify(decode(data).body)

    async def take(self, update):
        if self.follower.connection is self:
            await self.follower.client._on_rows(self, update)


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
        await self.server._sync_control()
        departures = self.registry.expire(self.fleet.now)
        if departures:
            update = RowUpdate((), tuple(departures))
            await self.server._notify_followers(update)


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
            self.client._failed_attempts += 1
            self.next_at = self.fleet.now + RETRY_SECONDS
            return
        if control is not self.control or self.connection is None:
            self.leave()
            self.control = control
            self.connection = Connection(self.fleet, control, self)
        self.next_at = self.fleet.now + CONFIRM_INTERVAL
        await control.server.on_confirm_request(
            self.connection, ConfirmRequest(self.next_row(), 0)
        )
        self.client.drop_missing()

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
