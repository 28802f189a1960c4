"""Seeded schedules of gateways before a target that names a limit.

Callers are unevenly spread; notices are late or lost; gateways restart, freeze and are
cut off; the target names limits, changes and withdraws them. In any four seconds the
target must get at most one and a half times its limit and five requests more, from all
gateways that have been connected for a while. Each injected bug must be detected.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass

import pytest

from banyanshore.membership.registry import TargetRow
from banyanshore.membership.rendezvous import first
from banyanshore.routing import permits
from banyanshore.routing.permits import PermitHolder, PermitIssuer
from banyanshore.routing.request_limits import (
    UNLIMITED,
    LimitStatement,
    RequestLimits,
    target_key,
)

STEP = 0.02
WINDOW = 4.0
# Seconds after which a gateway has been told of a limit, or of other gateways.
CONTACT_SECONDS = 3.0
# Longest time that a notice takes, through two hubs.
MAX_DELAY = 0.3
# Gateways that repeat the limits that they know.
HUBS = 6
PERMIT_TIMEOUT = 0.15
OWNER_RETRY_SECONDS = 0.5
# Seconds until the others know that a gateway has gone.
EXPIRY_SECONDS = 5.0
ROW = TargetRow("i-0", "s", "10.0.0.1:1", "dc", "v1", 16, "ready", 0.0, 1, 1)
KEY = target_key(ROW)


@dataclass(frozen=True)
class Arrival:
    """A request that reached the target.

    :param is_counted: whether its gateway had been connected for a while.
    """

    at: float
    is_counted: bool


class Gateway:
    """A gateway, its callers, and what it knows of the limit and of other gateways."""

    def __init__(self, name, now, per_second, rng):
        self.name = name
        self.per_second = per_second
        self.disturbed_at = now
        self.cut_until = -math.inf
        self.frozen_until = -math.inf
        self.limits = RequestLimits()
        self.issuer = PermitIssuer(now, rng)
        self.known = {name}
        self.is_asking = False


class Schedule:
    """A target and gateways under seeded faults.

    :param gateways: number of gateways, the first two of which may be owners.
    :param fault_rate: faults per second.
    """

    def __init__(self, seed, gateways=8, fault_rate=0.3):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.fault_rate = fault_rate
        self.events = []
        self.numbers = itertools.count()
        self.limit = None
        self.last_head_at = -math.inf
        # Pairs of a time and the limit from then on.
        self.limit_history = [(self.now, None)]
        self.arrivals = []
        self.statuses = []
        self.gateways = {}
        for number in range(gateways):
            # A few gateways have most of the callers.
            per_second = self.rng.paretovariate(1.0)
            self.start(f"gateway-{number}", per_second)
        total = sum(gateway.per_second for gateway in self.gateways.values())
        for gateway in self.gateways.values():
            gateway.per_second *= 40 / total
            gateway.known = set(self.gateways)

    def start(self, name, per_second):
        self.gateways[name] = Gateway(name, self.now, per_second, self.rng)

    def after(self, seconds, action, *arguments):
        row = (self.now + seconds, next(self.numbers), action, arguments)
        heapq.heappush(self.events, row)

    def run(self, seconds):
        """Run the schedule; return how far it went beyond the bound at most."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self.events and self.events[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.events)
                action(*arguments)
            if self.rng.random() < self.fault_rate * STEP:
                self.inject_fault()
            self.repeat_limits()
            for gateway in self.gateways.values():
                if gateway.frozen_until <= self.now:
                    rate = gateway.per_second * STEP
                    for _ in range(int(rate) + (self.rng.random() < rate % 1)):
                        self.request(gateway)
        return self.worst_excess()

    def set_limit(self, per_second):
        self.limit = per_second
        self.limit_history.append((self.now, per_second))

    def inject_fault(self):
        names = list(self.gateways)
        victims = [name for name in names if self.rng.random() < 0.3]
        action = self.rng.choice([self.restart, self.cut, self.freeze])
        for name in victims:
            action(self.gateways[name])

    def restart(self, gateway):
        self.start(gateway.name, gateway.per_second)
        self.after(self.rng.uniform(0.1, 1.0), self.learn_fleet, gateway.name)

    def learn_fleet(self, name):
        gateway = self.gateways[name]
        gateway.known = {
            other.name
            for other in self.gateways.values()
            if self.may_exchange(gateway, other)
        }
        if gateway.cut_until > self.now:
            self.after(EXPIRY_SECONDS, self.learn_fleet, name)
            return
        for other in self.gateways.values():
            if self.may_exchange(gateway, other):
                other.known.add(name)

    def cut(self, gateway):
        gateway.cut_until = self.now + self.rng.uniform(0.5, 10.0)
        gateway.disturbed_at = gateway.cut_until
        for other in self.gateways.values():
            self.after(EXPIRY_SECONDS, self.expire, other.name, gateway.name)
        self.after(gateway.cut_until - self.now, self.learn_fleet, gateway.name)

    def expire(self, name, other_name):
        gateway, other = self.gateways[name], self.gateways[other_name]
        if not self.may_exchange(gateway, other):
            gateway.known.discard(other_name)

    def freeze(self, gateway):
        gateway.frozen_until = self.now + self.rng.uniform(0.5, 4.0)

    def may_exchange(self, one, other):
        return one is other or max(one.cut_until, other.cut_until) <= self.now

    def repeat_limits(self):
        """Let each hub repeat what it knows about once a second."""
        for gateway in list(self.gateways.values())[:HUBS]:
            statement = gateway.limits.statement(KEY)
            if statement is not None and self.rng.random() < STEP:
                self.broadcast(gateway, statement)

    def broadcast(self, sender, statement):
        for gateway in self.gateways.values():
            lost = self.rng.random() < 0.1
            if (
                gateway is not sender
                and not lost
                and self.may_exchange(sender, gateway)
            ):
                # The age of a statement doesn't include the time that it is under way.
                delay = self.rng.uniform(0.002, MAX_DELAY)
                late = LimitStatement(
                    statement.per_second,
                    statement.offered_at + delay,
                    statement.stated_at + delay,
                )
                self.after(delay, self.record_notice, gateway, late)

    def record_notice(self, gateway, statement):
        if not gateway.limits.is_echo(KEY, statement):
            gateway.limits.record(KEY, statement)

    def request(self, gateway):
        """Process a caller's request."""
        if not gateway.limits.is_limited(ROW):
            self.connect(gateway, None)
            return
        holder = gateway.limits.holder(KEY)
        if gateway.is_asking or not holder.may_request(self.now):
            self.statuses.append(503)
            return
        gateway.is_asking = True
        owner = self.find_owner(gateway)
        asked_at = self.now
        if not self.may_exchange(gateway, owner) or owner.frozen_until > self.now:
            self.after(PERMIT_TIMEOUT, self.record_silence, gateway, holder)
            return
        delay = self.rng.uniform(0.001, 0.02)
        self.after(delay, self.ask, gateway, owner, holder, asked_at, delay)

    def find_owner(self, gateway):
        """Return the owner of the target, one of the first two gateways known."""
        return self.gateways[first(ROW.id, sorted(gateway.known)[:2])]

    def record_silence(self, gateway, holder):
        gateway.is_asking = False
        holder.deny(self.now, OWNER_RETRY_SECONDS)
        self.statuses.append(503)

    def ask(self, gateway, owner, holder, asked_at, delay):
        statement = gateway.limits.statement(KEY)
        owner.limits.record(KEY, statement)
        known = owner.limits.statement(KEY)
        if known.per_second == UNLIMITED:
            self.after(delay, self.record_silence, gateway, holder)
            return
        grant = owner.issuer.issue(self.now, known.per_second, gateway.name, 1)
        self.after(delay, self.use, gateway, holder, asked_at, grant)

    def use(self, gateway, holder, asked_at, grant):
        gateway.is_asking = False
        holder.record_grant(self.now, asked_at, grant)
        if gateway.frozen_until > self.now:
            # It finds the reply when it continues.
            wait = gateway.frozen_until - self.now
            self.after(wait, self.take_and_connect, gateway, holder)
            return
        self.take_and_connect(gateway, holder)

    def take_and_connect(self, gateway, holder):
        permit = holder.take(self.now)
        if permit is None:
            self.statuses.append(503)
        else:
            self.connect(gateway, permit)

    def connect(self, gateway, permit):
        slow = self.rng.random() < 0.05
        delay = self.rng.uniform(0.001, 0.4 if slow else 0.01)
        self.after(delay, self.send, gateway, permit, self.now)

    def send(self, gateway, permit, offered_at):
        if self.gateways[gateway.name] is not gateway:
            return
        if gateway.frozen_until > self.now:
            wait = gateway.frozen_until - self.now
            self.after(wait, self.send, gateway, permit, offered_at)
            return
        if not gateway.limits.may_send(self.now, ROW, permit):
            self.statuses.append(503)
            return
        is_counted = self.now - gateway.disturbed_at > CONTACT_SECONDS
        self.arrivals.append(Arrival(self.now, is_counted))
        self.statuses.append(200)
        # The head holds what the target states when it makes its answer.
        wait = self.rng.uniform(0.01, 0.2)
        self.after(wait, self.answer, gateway, offered_at)

    def answer(self, gateway, offered_at):
        per_second = UNLIMITED if self.limit is None else self.limit
        delay = self.rng.uniform(0.001, 0.1)
        self.after(delay, self.record_answer, gateway, per_second, offered_at)

    def record_answer(self, gateway, per_second, offered_at):
        self.last_head_at = self.now
        statement = LimitStatement(per_second, offered_at, self.now)
        if gateway.limits.record(KEY, statement):
            self.broadcast(gateway, statement)

    def worst_excess(self):
        """Return the most requests beyond the bound in any window."""
        times = [arrival.at for arrival in self.arrivals if arrival.is_counted]
        worst = -math.inf
        for start in times:
            rate = self.highest_limit(start)
            count = sum(start <= at < start + WINDOW for at in times)
            worst = max(worst, count - (1.5 * rate * WINDOW + 5))
        return worst

    def highest_limit(self, start):
        """Return the highest limit that may count in the window that begins then.

        One that is named in the window, or was shortly before, is not in force yet.
        """
        ends = [at for at, _ in self.limit_history[1:]] + [math.inf]
        return max(
            UNLIMITED if rate is None else rate
            for (begin, rate), end in zip(self.limit_history, ends, strict=True)
            if begin < start + WINDOW and end + CONTACT_SECONDS > start
        )


def run_limits(seed, limits, gateways=8, fault_rate=0.3):
    """Run a schedule in which the target names one limit after the other."""
    schedule = Schedule(seed, gateways, fault_rate)
    schedule.run(4.0)
    for limit in limits:
        schedule.set_limit(limit)
        excess = schedule.run(20.0)
    return schedule, excess


@pytest.mark.parametrize("limit", [0.0, 0.25, 1.3, 5.0, 20.0])
@pytest.mark.parametrize("seed", range(6))
def test_target_stays_within_the_limit_that_it_names(seed, limit):
    _, excess = run_limits(seed, [limit])
    assert excess <= 0


@pytest.mark.parametrize("seed", range(10))
def test_target_stays_within_limits_that_change_and_end(seed):
    _, excess = run_limits(seed, [2.0, None, 5.0, 0.5, None, 1.0])
    assert excess <= 0


@pytest.mark.parametrize("seed", range(3))
def test_fleet_of_100_gateways_stays_within_a_limit(seed):
    _, excess = run_limits(seed, [1.3], gateways=100)
    assert excess <= 0


@pytest.mark.parametrize("gateways", [1, 8, 100])
@pytest.mark.parametrize("limit", [0.5, 1.3, 5.0, 20.0])
def test_nine_tenths_of_a_limit_are_used_while_requests_wait(limit, gateways):
    schedule, _ = run_limits(0, [limit], gateways, fault_rate=0.0)
    start = schedule.now
    schedule.run(20.0)
    used = sum(arrival.at >= start for arrival in schedule.arrivals)
    assert 0.9 * limit * 20 <= used <= limit * 20 + 1 + limit


def seconds_until_end_is_known(seed, limit):
    """Return the seconds from the end of a limit until all requests are sent."""
    schedule, _ = run_limits(seed, [limit], fault_rate=0.0)
    ended_at = schedule.now
    schedule.set_limit(None)
    while schedule.now < ended_at + 20.0:
        schedule.statuses.clear()
        schedule.run(0.5)
        if set(schedule.statuses) == {200}:
            return schedule.now - 0.5 - ended_at
    return math.inf


@pytest.mark.parametrize(
    ("limit", "seconds"), [(0.0, 12.0), (0.5, 4.0), (1.3, 3.0), (5.0, 2.0), (20.0, 2.0)]
)
@pytest.mark.parametrize("seed", range(5))
def test_end_of_a_limit_is_found_by_one_of_the_next_answers(seed, limit, seconds):
    assert seconds_until_end_is_known(seed, limit) <= seconds


def seconds_that_notices_add(seed):
    """Return how much newer than it is any gateway believes the last statement."""
    schedule, _ = run_limits(seed, [0.0], fault_rate=0.0)
    return max(
        gateway.limits.statement(KEY).stated_at - schedule.last_head_at
        for gateway in schedule.gateways.values()
    )


@pytest.mark.parametrize("seed", range(5))
def test_notices_do_not_renew_each_other(seed):
    # The first notice of a gateway may come through another one.
    assert seconds_that_notices_add(seed) <= 2 * MAX_DELAY


def test_notices_that_renew_each_other_are_detected(monkeypatch):
    monkeypatch.setattr(RequestLimits, "is_echo", lambda limits, key, statement: False)
    assert any(seconds_that_notices_add(seed) > 2 * MAX_DELAY for seed in range(5))


def issue_all(issuer, now, per_second, gateway, wanted):
    return permits.Grant(wanted)


@pytest.mark.parametrize(
    ("owner", "name", "value"),
    [
        (permits, "BURST_SECONDS", 10.0),
        (permits, "MIN_PER_SECOND", 5.0),
        (PermitIssuer, "issue", issue_all),
        (PermitHolder, "take", lambda holder, now: permits.Permit(math.inf)),
        (Schedule, "find_owner", lambda schedule, gateway: gateway),
    ],
)
def test_injected_bug_is_detected(monkeypatch, owner, name, value):
    monkeypatch.setattr(owner, name, value)
    assert any(
        run_limits(seed, limits)[1] > 0
        for seed in range(10)
        for limits in ([1.3], [20.0], [2.0, None, 5.0, 0.5, None, 1.0])
    )


@pytest.mark.parametrize(
    ("offered_at", "stated_at", "per_second", "holds"),
    [
        (5.1, 5.2, UNLIMITED, True),
        (4.9, 5.2, UNLIMITED, False),
        (4.9, 5.2, 1.0, True),
        (4.9, 5.2, 3.0, False),
        (4.9, 5.2, 2.0, True),
        (3.0, 4.0, 1.0, False),
    ],
    ids=["newer", "crossed-none", "crossed-lower", "crossed-higher", "same", "older"],
)
def test_lower_limit_holds_if_the_order_of_answers_is_unknown(
    offered_at, stated_at, per_second, holds
):
    limits = RequestLimits()
    limits.record(KEY, LimitStatement(2.0, 4.5, 5.0))
    statement = LimitStatement(per_second, offered_at, stated_at)
    limits.record(KEY, statement)
    assert (limits.statement(KEY) is statement) == holds


def test_notice_that_is_older_than_the_end_of_a_limit_is_ignored():
    limits = RequestLimits()
    limits.record(KEY, LimitStatement(2.0, 4.5, 5.0))
    limits.record(KEY, LimitStatement(UNLIMITED, 5.5, 6.0))
    assert not limits.record(KEY, LimitStatement(2.0, 4.6, 5.2))
    assert not limits.is_limited(ROW)


def test_permit_can_not_be_used_after_its_time():
    """A process may be suspended between the grant and the send."""
    limits = RequestLimits()
    limits.record(KEY, LimitStatement(2.0, 4.5, 5.0))
    holder = limits.holder(KEY)
    holder.record_grant(6.0, 6.0, permits.Grant(2))
    permit = holder.take(6.1)
    assert limits.may_send(6.4, ROW, permit)
    assert not limits.may_send(6.6, ROW, permit)
    assert holder.take(6.6) is None


def test_limits_that_ended_are_forgotten():
    """Hubs repeated the ends of limits to all gateways for ever."""
    limits = RequestLimits()
    limits.record(KEY, LimitStatement(2.0, 4.5, 5.0))
    limits.record(KEY, LimitStatement(UNLIMITED, 5.5, 6.0))
    limits.record(KEY, LimitStatement(UNLIMITED, 100.0, 101.0))
    limits.keep_only(120.0, [ROW])
    assert limits.in_force()
    limits.keep_only(127.0, [ROW])
    assert not limits.in_force()


def test_limit_of_a_registered_target_is_kept():
    limits = RequestLimits()
    limits.record(KEY, LimitStatement(2.0, 4.5, 5.0))
    limits.keep_only(1000.0, [ROW])
    assert limits.is_limited(ROW)
    limits.keep_only(1000.0, [])
    assert not limits.is_limited(ROW)
