"""Seeded schedules of gateways that start, restart and are cut off, with a cold target.

All gateways send as much as their shares allow. The requests that arrive at the target
in any second must stay within its rate limit, whatever each gateway knows of the
others. Each injected bug must be detected.
"""

import random
from collections import deque

import pytest

from banyanshore.routing import roster, shares
from banyanshore.routing.roster import FleetSize, GatewayRoster
from banyanshore.routing.shares import ColdShares, RetryShare

STEP = 0.05
PER_SECOND, OVERAGE, MARGIN = 36.0, 1.5, 5.0
BOUND = PER_SECOND * OVERAGE + MARGIN
RETRY_BURST, RETRY_WINDOW = 104, 10.0
# Numbers of gateways that schedules usually begin with.
SIZES = (3, 8, 8, 20)


class Gateway:
    """A gateway, with the other gateways that it knows and its requests."""

    def __init__(self, name, now):
        self.name = name
        self.started_at = now
        self.roster = GatewayRoster(name, now)
        self.shares = ColdShares(name, OVERAGE, MARGIN)
        self.registered = set()
        self.cut_until = 0.0
        # Time at which it receives its first update from control.
        self.joins_at = now

    def send(self, now):
        """Send as many requests as allowed now; return their number."""
        if not self.registered:
            # Without an update from control it knows no targets either.
            return 0
        names = self.roster.padded_names(now, self.roster.names(now, self.registered))
        sent = 0
        while self.shares.has_room(now, "cold", PER_SECOND, names):
            self.shares.record_sent(now, "cold")
            sent += 1
        return sent


class Schedule:
    """Gateways under seeded faults.

    :param sizes: numbers of gateways, one of which the seed picks.
    """

    gateway_class = Gateway
    window_seconds = 1.0

    def __init__(self, seed, sizes=SIZES):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.left_at = {}
        # Control's record of the number of gateways.
        self.fleet_size = FleetSize()
        # Two gateways may be added to the largest fleet.
        self.max_gateways = max(sizes) + 2
        self.gateways = {}
        for number in range(self.rng.choice(sizes)):
            self.start(f"gateway-{number}")
        self.arrivals = deque()
        self.worst = 0

    def start(self, name):
        """Start a gateway, also in place of one that was cut off."""
        gateway = self.gateway_class(name, self.now)
        gateway.joins_at = self.now + self.rng.uniform(0.1, 1.0)
        self.gateways[name] = gateway

    def run(self, seconds, fault_rate=0.02):
        """Run the schedule; return the most requests that arrived in any window.

        :param fault_rate: probability of a fault at each step.
        """
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            if self.rng.random() < fault_rate:
                self.inject_fault()
            self.exchange_updates()
            for gateway in self.gateways.values():
                self.arrivals.extend([self.now] * gateway.send(self.now))
            while self.arrivals and self.now - self.arrivals[0] > self.window_seconds:
                self.arrivals.popleft()
            self.worst = max(self.worst, len(self.arrivals))
        return self.worst

    def inject_fault(self):
        action = self.rng.choice(
            [
                self.restart_one,
                self.restart_all,
                self.restart_connected,
                self.cut_some,
                self.cut_all,
                self.add,
            ]
        )
        action()

    def restart_one(self):
        self.restart(self.rng.choice(list(self.gateways)))

    def restart_all(self):
        if self.rng.random() < 0.3:
            for name in list(self.gateways):
                self.restart(name)

    def restart_connected(self):
        if self.rng.random() < 0.3:
            for name, gateway in list(self.gateways.items()):
                if gateway.cut_until < self.now:
                    self.restart(name)

    def restart(self, name):
        self.left_at[name] = self.now
        self.start(name)

    def cut_some(self):
        until = self.now + self.rng.uniform(1.0, 20.0)
        for gateway in self.gateways.values():
            if self.rng.random() < 0.4:
                gateway.cut_until = until

    def cut_all(self):
        for gateway in self.gateways.values():
            gateway.cut_until = self.now + self.rng.uniform(1.0, 8.0)

    def add(self):
        if len(self.gateways) < self.max_gateways:
            self.start(f"gateway-{len(self.gateways)}")

    def exchange_updates(self):
        """Exchange updates between control and the gateways connected to it.

        Control records how many gateways it and they count; when it restarts, it
        learns the numbers again from the connected gateways.
        """
        if self.rng.random() < 0.001:
            self.fleet_size = FleetSize()
        connected = {
            name
            for name, gateway in self.gateways.items()
            if gateway.cut_until < self.now and gateway.joins_at <= self.now
        }
        self.fleet_size.record(self.now, len(connected))
        for name in connected:
            gateway = self.gateways[name]
            counted = gateway.roster.names(self.now, gateway.registered)
            self.fleet_size.record(self.now, len(counted))
        for name in connected:
            gateway = self.gateways[name]
            gateway.registered = set(connected)
            gateway.roster.record_contact(self.now)
            gateway.roster.record_fleet_size(self.fleet_size.max_count(self.now))


class RetryingGateway(Gateway):
    """A gateway that retries as often as its share allows, without new requests."""

    def __init__(self, name, now):
        super().__init__(name, now)
        self.shares = RetryShare(0.2, RETRY_BURST, RETRY_WINDOW)

    def send(self, now):
        if not self.registered:
            return 0
        names = self.roster.names(now, self.registered)
        sent = 0
        while self.shares.try_spend(now, len(names)):
            sent += 1
        return sent


class RetrySchedule(Schedule):
    gateway_class = RetryingGateway
    window_seconds = RETRY_WINDOW


def test_retries_of_gateways_that_restart_stay_within_their_bound():
    """A gateway that has just started counts few others, and has its burst again."""
    worst = max(RetrySchedule(seed).run(60.0) for seed in range(10))
    assert worst <= RETRY_BURST


@pytest.mark.parametrize("seed", range(40))
def test_cold_target_stays_within_its_rate_limit(seed):
    assert Schedule(seed).run(60.0) <= BOUND


def test_fleet_of_41_gateways_keeps_a_cold_target_within_its_bound():
    """The fleet is larger than a gateway assumes that knows of no others."""
    worst = max(Schedule(seed, (41,)).run(60.0) for seed in range(20))
    assert worst <= BOUND


def restart_half_while_the_others_are_cut_off():
    """Return the most requests in any second, in a fleet of 41 gateways."""
    schedule = Schedule(0, (41,))
    schedule.run(5.0, 0.0)
    names = sorted(schedule.gateways)
    for name in names[:20]:
        schedule.gateways[name].cut_until = schedule.now + 20.0
    for name in names[20:]:
        schedule.restart(name)
    return schedule.run(10.0, 0.0)


def test_gateways_restarted_while_others_are_cut_off_count_on_them():
    assert restart_half_while_the_others_are_cut_off() <= BOUND


def test_control_that_forgets_gateways_at_once_is_detected(monkeypatch):
    monkeypatch.setattr(FleetSize, "max_count", lambda size, now: 0)
    assert restart_half_while_the_others_are_cut_off() > BOUND


@pytest.mark.parametrize(
    ("module", "name", "value", "sizes"),
    [
        (roster, "MEMORY_SECONDS", 0.0, SIZES),
        (roster, "START_GATEWAYS", 1, SIZES),
        (shares, "USED_PART", 1.4, SIZES),
        (roster, "SETTLING_SECONDS", 0.0, (41,)),
    ],
)
def test_injected_bug_is_detected(monkeypatch, module, name, value, sizes):
    monkeypatch.setattr(module, name, value)
    assert any(Schedule(seed, sizes).run(60.0) > BOUND for seed in range(40))
