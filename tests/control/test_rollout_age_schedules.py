"""Random schedules of control instances and gateways while versions are named.

Control instances restart, replay their logs, are cut off and catch up; gateways start,
move and are out of touch; messages are late. No gateway may allow older weights later
than the bound after a newer version was named.
"""

import heapq
import os
import random

import pytest

from banyanshore.control import feed as feed_module
from banyanshore.control.feed import FeedServer
from banyanshore.membership import follower as follower_module
from banyanshore.membership.feed import (
    ConfirmRequest,
    FeedClient,
    Registry,
    RolloutAges,
)
from banyanshore.membership.follower import Follower
from banyanshore.membership.messages import StateChange, StateUpdate
from banyanshore.routing.version_switch import FIRST_STATE_SECONDS, VersionSwitch
from banyanshore.state import Fence, PublishedState, StateHolder
from banyanshore.state.document import empty_document, to_json
from banyanshore.telemetry.control import ControlMetrics
from banyanshore.transport import decode
from tests.control.copies import KeptCopies
from tests.control.test_feed import member

SCHEDULES = int(os.environ.get("BANYANSHORE_SCHEDULES", "30"))
BOUND_SECONDS = 8.0
SWITCH_SECONDS = 7.2
STEP_SECONDS = 0.05
RUN_SECONDS = 60.0
CONFIRM_INTERVAL = 1.0
LONGEST_DELAY = 1.5
# Seconds for which a gateway may use older weights after it was started or cut off: it
# asks for the state, receives it and uses the cautious grace period.
SETTLE_SECONDS = CONFIRM_INTERVAL + LONGEST_DELAY + FIRST_STATE_SECONDS + 0.1
CONTROL_COUNT = 3
GATEWAY_COUNT = 4
VERSION_NOTICES = (StateUpdate, StateChange, RolloutAges)


class Settings:
    seeds = ()
    peer_port = 7700
    data_centre = "dc"


class Wire:
    """One direction of a connection; notices arrive in order, after a delay."""

    is_open = True
    peer = "peer"
    pending_bytes = 0

    def __init__(self, world, receive):
        self.world = world
        self.receive = receive
        self.arrives_at = 0.0

    @property
    def connection(self):
        return self

    async def notify(self, body):
        self.arrives_at = max(self.arrives_at, self.world.delay())
        self.world.post(self.arrives_at, self.receive, body)

    notify_or_drop = notify

    async def notify_encoded(self, data):
        body = decode(data).body
        # Rows say nothing of versions.
        if isinstance(body, VERSION_NOTICES):
            await self.notify(body)


class Control:
    """A control instance; its log outlives a restart."""

    def __init__(self, world):
        self.world = world
        self.held = 1
        self.cut_off_until = -1.0
        self.start()

    def start(self):
        """Start anew: what the log holds is replayed one version after another."""
        self.state = StateHolder(keep_previous=True)
        self.server = self.world.server_class(
            Settings,
            member("control"),
            self.state,
            Registry(),
            None,
            ControlMetrics(),
            KeptCopies(),
        )
        self.server.control_addresses = lambda: []
        self.server._notify_control = self.send_to_others
        self.wires = {}
        self.needs_sync = True
        self.reset_links()
        for number in range(1, self.held + 1):
            self.apply(number)

    def reset_links(self):
        """Lose the connections to other instances until some time from now."""
        self.linked_at = self.world.now + self.world.random.uniform(0.0, 8.0)

    def apply(self, number):
        self.held = max(self.held, number)
        self.state.apply(self.world.published(number))

    @property
    def is_reachable(self):
        return self.world.now >= self.cut_off_until

    @property
    def is_linked(self):
        return self.is_reachable and self.world.now >= self.linked_at

    async def send_to_others(self, body):
        for other in self.world.controls:
            if other is self or not (self.is_linked and other.is_linked):
                continue
            if isinstance(body, RolloutAges):
                wire = self.wires.get(other.server)
                if wire is None:
                    wire = Wire(self.world, other.server.on_peer_ages)
                    self.wires[other.server] = wire
                await wire.notify(body)

    async def step(self):
        if not self.is_reachable:
            self.needs_sync = True
            self.reset_links()
            return
        while self.held < self.world.latest:
            self.apply(self.held + 1)
        self.server.record_current(self.world.now)
        if self.needs_sync and self.is_linked:
            # The connections to all others are new, and so are theirs.
            self.needs_sync = False
            for control in self.world.controls:
                ages = control.server._known_ages(float("inf"))
                if ages and control.is_reachable:
                    await control.send_to_others(ages)
        if self.world.every(1.0):
            await self.server.send_ages_to_control()


class Gateway(Follower):
    """A gateway that runs its feed and its switch, without a network."""

    def __init__(self, world):
        self.world = world
        self.versions = VersionSwitch(SWITCH_SECONDS)
        self.state = StateHolder()
        self.feed = FeedClient(
            Settings, member("gateway"), self.state, Registry(), None
        )
        self.state.on_change.append(self._record_rollouts)
        self.feed.on_ages.append(self._record_ages)
        self.control = None
        self.server = None
        self.sequence = 0
        self.cut_off_until = -1.0
        self.touched_at = world.now

    @property
    def is_reachable(self):
        return self.world.now >= self.cut_off_until

    def receive(self, body):
        return self.feed.notice_by_type[type(body)](self.feed, None, body)

    async def step(self):
        if not self.is_reachable:
            self.touched_at = self.world.now
            return
        control = self.control
        if control is None or not control.is_reachable or control.server != self.server:
            reachable = [c for c in self.world.controls if c.is_reachable]
            if not reachable:
                self.touched_at = self.world.now
                return
            self.control = self.world.random.choice(reachable)
            self.server = self.control.server
            self.wire = Wire(self.world, self.receive_from(self.server))
        if self.world.every(CONFIRM_INTERVAL):
            sent_at = self.world.now
            self.sequence += 1
            request = ConfirmRequest(
                member("gateway", self.sequence), self.state.version
            )
            await self.server.on_confirm_request(self.wire, request)
            latest = self.control.held
            self.feed.lease.record_answer(sent_at, self.state.version, latest, True)

    def receive_from(self, server):
        async def receive(body):
            is_connected = self.is_reachable and self.server is server
            if is_connected and isinstance(body, VERSION_NOTICES):
                await self.receive(body)

        return receive


class World:
    """The deployment, its time and the versions named so far."""

    def __init__(self, seed, monkeypatch, server_class=FeedServer):
        self.random = random.Random(seed)
        self.server_class = server_class
        # Machines have been up for a while.
        self.now = 1000.0
        self.ends_at = self.now + RUN_SECONDS
        self.tick = 0
        self.posts = []
        self.post_count = 0
        # Each version of the state after the first names that version of the model.
        self.named_at_by_version = {}
        self.latest = 1
        self.late = []
        for module in (feed_module, follower_module):
            monkeypatch.setattr(module, "boottime_now", lambda: self.now)
        monkeypatch.setattr(
            "banyanshore.membership.feed.boottime_now", lambda: self.now
        )
        self.controls = [Control(self) for _ in range(CONTROL_COUNT)]
        self.gateways = [Gateway(self) for _ in range(GATEWAY_COUNT)]

    def published(self, number):
        document = empty_document()
        if number > 1:
            document["rollouts"]["m"] = {"version": number}
        return PublishedState(number, Fence(1, number), to_json(document))

    def every(self, seconds):
        return self.tick % round(seconds / STEP_SECONDS) == 0

    def delay(self):
        is_slow = self.random.random() < 0.1
        return self.now + self.random.uniform(0.0, LONGEST_DELAY if is_slow else 0.05)

    def post(self, at, receive, body):
        self.post_count += 1
        heapq.heappush(self.posts, (at, self.post_count, receive, body))

    async def run(self):
        while self.now < self.ends_at:
            self.tick += 1
            self.now = 1000.0 + self.tick * STEP_SECONDS
            self.act()
            for part in (*self.controls, *self.gateways):
                await part.step()
            while self.posts and self.posts[0][0] <= self.now:
                *_, receive, body = heapq.heappop(self.posts)
                result = receive(body)
                if result is not None:
                    await result
            self.check()

    def act(self):
        for control in self.controls:
            others = [c for c in self.controls if c is not control]
            # A quorum stays reachable, as versions are only named by one.
            if all(c.is_reachable and not c.needs_sync for c in others):
                if self.random.random() < 0.004:
                    control.start()
                elif self.random.random() < 0.004:
                    seconds = self.random.uniform(1.0, 10.0)
                    control.cut_off_until = self.now + seconds
        for position, gateway in enumerate(self.gateways):
            if self.random.random() < 0.002:
                self.gateways[position] = Gateway(self)
            elif self.random.random() < 0.004:
                gateway.cut_off_until = self.now + self.random.uniform(1.0, 10.0)
        if self.random.random() < 0.006:
            self.latest += 1
            self.named_at_by_version[self.latest] = self.now

    def check(self):
        """Record gateways that allow older weights too late."""
        for gateway in self.gateways:
            if self.now - gateway.touched_at < SETTLE_SECONDS:
                continue
            allowed = gateway.versions.oldest_allowed_version(self.now, "m")
            for version, named_at in self.named_at_by_version.items():
                if allowed < version and self.now - named_at > BOUND_SECONDS:
                    self.late.append((gateway, version, self.now - named_at))


async def find_late(seed, monkeypatch, server_class=FeedServer):
    with monkeypatch.context() as patches:
        world = World(seed, patches, server_class)
        await world.run()
    return world


pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("seed", range(SCHEDULES))
async def test_no_gateway_allows_older_weights_after_the_bound(seed, monkeypatch):
    world = await find_late(seed, monkeypatch)
    assert not world.late[:1]
    # A gateway that takes all versions as old would pass the check too.
    assert world.named_at_by_version


async def is_detected(monkeypatch, server_class=FeedServer):
    for seed in range(100):
        if (await find_late(seed, monkeypatch, server_class)).late:
            return True
    return False


class AssumesAges(FeedServer):
    """A control instance that takes all versions that arrive as just named."""

    def _on_state(self, desired):
        self.current_at = feed_module.boottime_now()
        self._versions._has_state = True
        super()._on_state(desired)


async def test_assumed_age_that_is_reported_is_detected(monkeypatch):
    assert await is_detected(monkeypatch, AssumesAges)


async def test_age_that_is_moved_later_is_detected(monkeypatch):
    def record_latest(switch, now, ages):
        for (model, version), age in ages.items():
            switch._times_by_model.setdefault(model, {})[version] = now - age
            switch._assumed.discard((model, version))
        return []

    monkeypatch.setattr(VersionSwitch, "record_ages", record_latest)
    assert await is_detected(monkeypatch)


async def test_version_taken_as_new_while_out_of_touch_is_detected(monkeypatch):
    record = VersionSwitch.record

    def record_as_new(switch, now, rollouts, unconfirmed_seconds=0.0):
        return record(switch, now, rollouts, 0.0)

    monkeypatch.setattr(VersionSwitch, "record", record_as_new)
    assert await is_detected(monkeypatch)
