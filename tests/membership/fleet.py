"""Simulated control instances and followers with a simulated clock and network.

They run the production code. Messages between two instances arrive in order, a cut
closes all connections of an instance, and seeds are some seconds out of date.
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
from tests.control.copies import KeptCopies

STEP = 0.05
PEER_PORT = 7700
EXPIRY_SECONDS = 6.0
# Seconds until a change shows up in the list that seeds are taken from.
SEED_LAG_SECONDS = 3.0


class Link:
    """A connection to another control instance, as the feed sees it."""

    def __init__(self, fleet, sender, receiver):
        self.fleet = fleet
        self.sender = sender
        self.receiver = receiver
        # There is a new one after each cut; the feed compares connections by identity.
        key = (sender, receiver, sender.cut_count, receiver.cut_count)
        self.connection = fleet.connection_by_key.setdefault(key, key)
        self.is_open = not (sender.is_cut or receiver.is_cut)

    async def notify_or_drop(self, update):
        self.fleet.send(self.sender, self.receiver, lambda: self.deliver(update))

    async def deliver(self, update):
        await self.receiver.server.on_peer_update(update)


class Links:
    """Links by address; a link to a stopped instance drops all messages."""

    def __init__(self, fleet, sender):
        self.fleet = fleet
        self.sender = sender

    def get(self, address):
        receiver = self.fleet.control_by_address.get(address)
        if receiver is None:
            return SimpleNamespace(
                is_open=False, connection=None, notify_or_drop=discard
            )
        return Link(self.fleet, self.sender, receiver)


async def discard(update):
    pass


class Connection:
    """A follower's connection to a control instance."""

    pending_bytes = 0

    def __init__(self, fleet, control, follower):
        self.fleet = fleet
        self.control = control
        self.follower = follower
        self.peer = follower.name

    async def notify(self, update):
        self.fleet.send(self.control, self.follower, lambda: self.deliver(update))

    async def notify_encoded(self, data):
        await self.notify(decode(data).body)

    async def deliver(self, update):
        if self.follower.connection is self:
            await self.follower.client._on_rows(self, update)


class Instance:
    """Base class of an instance with an address of its own."""

    def __init__(self, fleet, name, role):
        self.fleet = fleet
        self.name = name
        self.cut_until = -1.0
        # Number of times that it has been cut off.
        self.cut_count = 0
        self.member = MemberRow(
            name,
            role,
            "dc",
            "r",
            peer_address(name, PEER_PORT),
            fleet.next_incarnation(),
            0,
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
    """A control instance: its registry and the feed that pushes rows."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name, CONTROL_ROLE)
        self.registry = Registry(EXPIRY_SECONDS, EXPIRY_SECONDS)
        settings = SimpleNamespace(seeds=fleet.seeds(), peer_port=PEER_PORT)
        self.server = FeedServer(
            settings,
            self.member,
            StateHolder(keep_previous=True),
            self.registry,
            Links(fleet, self),
            ControlMetrics(),
            KeptCopies(),
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
            self.disconnect()
            self.client._choice.record_failure(self.fleet.now, chosen)
            self.next_at = self.fleet.now + RETRY_SECONDS
            return
        if control is not self.control or self.connection is None:
            self.disconnect()
            self.control = control
            self.connection = Connection(self.fleet, control, self)
        self.next_at = self.fleet.now + CONFIRM_INTERVAL
        await control.server.on_confirm_request(
            self.connection, ConfirmRequest(self.next_row(), 0)
        )
        self.client.drop_missing()

    def disconnect(self):
        """Close the connection and notify the control instance."""
        if self.connection is not None:
            self.fleet.start_soon(self.control.server.on_closed(self.connection))
        self.connection = self.control = None


class Fleet:
    """Hold the instances, the messages in transit and the simulated time."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.last_incarnation = 0
        self.numbers = iter(range(1, 1000))
        self.queue = []
        self.sleeping = []
        self.seed_lists = []
        self.control_by_address = {}
        self.connection_by_key = {}
        self.last_at_by_pair = {}
        self.followers = []
        names = [self.new_name() for _ in range(4)]
        self.seed_lists.append((self.now - SEED_LAG_SECONDS, names))
        for name in names:
            self.start_control(name)
        for _ in range(5):
            self.followers.append(FollowerInstance(self, self.new_name()))

    def next_incarnation(self):
        self.last_incarnation += 1
        return self.last_incarnation

    def new_name(self):
        return f"10.0.0.{next(self.numbers)}:8000"

    def start_control(self, name):
        instance = ControlInstance(self, name)
        self.control_by_address[peer_address(name, PEER_PORT)] = instance

    def seeds(self):
        """Return three control instances of the list as of some seconds ago."""
        seen = [
            names for at, names in self.seed_lists if at + SEED_LAG_SECONDS <= self.now
        ]
        names = seen[-1]
        return tuple(self.random.sample(names, min(3, len(names))))

    def send(self, sender, receiver, deliver):
        if not sender.is_cut and not receiver.is_cut:
            at = self.now + self.random.uniform(0.001, 0.3)
            # Messages arrive in order, as over a connection.
            at = max(at, self.last_at_by_pair.get((sender, receiver), 0.0) + 1e-6)
            self.last_at_by_pair[sender, receiver] = at
            self.queue.append((at, receiver, deliver))

    def start_soon(self, coroutine):
        self.sleeping.append((self.now, coroutine))

    def run(self, seconds, faults=None):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            if faults:
                faults()
            due = [item for item in self.queue if item[0] <= self.now]
            self.queue = [item for item in self.queue if item[0] > self.now]
            for _, receiver, deliver in sorted(due, key=lambda item: item[0]):
                if self.is_running(receiver):
                    self.start_soon(deliver())
            for instance in [*self.control_by_address.values(), *self.followers]:
                self.start_soon(instance.step())
            self.run_coroutines()

    def is_running(self, instance):
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

    def check_converged(self):
        """Check that all instances know exactly the running ones."""
        for instance in [*self.control_by_address.values(), *self.followers]:
            for role in (CONTROL_ROLE, GATEWAY_ROLE):
                known = {row.instance for row in instance.registry.members_of(role)}
                assert known == self.names(role), (
                    f"{instance.name} knows the wrong instances"
                )
        for follower in self.followers:
            assert follower.control is not None


class Sleep:
    """Suspend a coroutine for some seconds of simulated time."""

    def __init__(self, seconds):
        self.seconds = seconds

    def __await__(self):
        yield self.seconds
