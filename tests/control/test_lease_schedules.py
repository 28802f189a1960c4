"""Schedules of gateways that follow control while keys are revoked.

Every accepted patch of the cluster stands for a key that is revoked. No gateway may
still take such a key some seconds after the patch was accepted, whatever has happened
to the gateway, its clock, its questions, the answers, and the control instances.
"""

import heapq
import os

import pytest

from banyanshore.gateway.screening import Screened, Screening
from banyanshore.membership.lease import ConfirmationStatus, StateLease
from tests.consensus.chaos import Chaos
from tests.consensus.cluster import Cluster, Faults, Node
from tests.consensus.test_planted_faults import ReadsWithoutQuorum
from tests.gateway.test_screening import DOCUMENT, request

SCHEDULES = int(os.environ.get("BANYANSHORE_SCHEDULES", "40"))
# Seconds after which no revoked key may be taken, as operators are promised.
REVOKE_SECONDS = 5.0
KEY_LEASE_SECONDS = 4.5
ASK_INTERVAL = 1.0
# Seconds up to which messages between control and gateways may take.
LONGEST_DELAY = 3.0


class FollowedNode(Node):
    """A control instance that answers gateways and tells them of versions."""

    def start(self):
        super().start()
        self.version_told = 0
        self.asker_by_context = {}

    def step(self):
        super().step()
        is_frozen = self.cluster.now < self.frozen_until
        if not is_frozen and self.machine.version > self.version_told:
            self.version_told = self.machine.version
            for gateway in self.cluster.gateways:
                if gateway.followed == self.instance:
                    self.cluster.post(gateway.take_version, self.version_told)

    def ask(self, reply):
        """Read the newest version; call back with it once it is here."""
        if not self.up or self.cluster.now < self.frozen_until:
            return
        context = self.cluster.random.getrandbits(48)
        self.asker_by_context[context] = reply
        self.raft.read(self.clock(), context)

    def finish_read(self, read):
        reply = self.asker_by_context.pop(read.context, None)
        if reply is None:
            super().finish_read(read)
        else:
            self.cluster.post(reply, self.machine.version, read.index >= 0)


class Gateway:
    """One gateway: the version it holds, its lease and its clock."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.rate = cluster.random.uniform(0.97, 1.03)
        self.suspended_until = -1.0
        # The control instance that tells it of versions.
        self.followed = cluster.random.choice(cluster.instances)
        # Seconds that the clock has lost, with the fault of one that stops.
        self.lost_seconds = 0.0
        self.version = 0
        self.lease = StateLease()
        self.screening = Screening(KEY_LEASE_SECONDS)
        self.screening.use(DOCUMENT)
        self.inbox = []
        self.ask_at = 0.0
        self.taken_at = -1.0

    def clock(self):
        return self.rate * self.cluster.now - self.lost_seconds

    def take_version(self, version):
        self.inbox.append(lambda: self.hold(version))

    def hold(self, version):
        self.version = max(self.version, version)

    def step(self):
        if self.cluster.now < self.suspended_until:
            return
        # A request may be the first that it sees after a suspension.
        self.take_a_key()
        inbox, self.inbox = self.inbox, []
        for act in inbox:
            act()
        if self.cluster.now >= self.ask_at:
            self.ask_at = self.cluster.now + ASK_INTERVAL
            self.ask()
        self.take_a_key()

    def ask(self):
        sent_at = self.clock()
        if self.cluster.random.random() < 0.1:
            self.followed = self.cluster.random.choice(self.cluster.instances)

        def answer(version, is_current):
            self.inbox.append(lambda: self.on_answer(sent_at, version, is_current))

        node = self.cluster.any_leader() or next(iter(self.cluster.nodes.values()))
        self.cluster.post(node.ask, answer)

    def on_answer(self, sent_at, version, is_current):
        status = self.lease.record_answer(sent_at, self.version, version, is_current)
        if status is ConfirmationStatus.BEHIND:
            self.cluster.post(self.take_version, version)

    def take_a_key(self):
        """Check that no key is taken that was revoked too long ago."""
        unconfirmed = self.lease.seconds_ago(self.clock())
        if isinstance(self.screening.screen(request(), unconfirmed), Screened):
            self.taken_at = self.cluster.now
            self.cluster.check_key(self.version)


class FollowedCluster(Cluster):
    """Control instances with gateways that follow them."""

    node_class = FollowedNode
    gateway_class = Gateway

    def __init__(self, seed, faults=None):
        self.gateways = []
        self.posts = []
        self.posted = 0
        self.accepted_at_by_version = {}
        # Share of messages to and from gateways that are lost, and that are late.
        self.fault_share = 0.2
        super().__init__(seed, 3, faults)
        self.gateways = [self.gateway_class(self) for _ in range(4)]

    def post(self, act, *arguments):
        """Call back after the time that a message takes, if it is not lost."""
        if self.random.random() < self.fault_share:
            return
        is_slow = self.random.random() < self.fault_share
        delay = self.random.uniform(0.001, LONGEST_DELAY if is_slow else 0.1)
        self.posted += 1
        heapq.heappush(self.posts, (self.now + delay, self.posted, act, arguments))

    def heal(self):
        super().heal()
        self.fault_share = 0.0
        for gateway in self.gateways:
            gateway.suspended_until = -1.0

    def deliver(self):
        super().deliver()
        while self.posts and self.posts[0][0] <= self.now:
            _, _, act, arguments = heapq.heappop(self.posts)
            act(*arguments)
        for gateway in self.gateways:
            gateway.step()

    def on_outcome(self, command, outcome):
        super().on_outcome(command, outcome)
        self.accepted_at_by_version.setdefault(self.highest_acked_version, self.now)

    def check_key(self, held):
        """Check what a gateway that holds a version may still take."""
        for version, accepted_at in self.accepted_at_by_version.items():
            is_late = self.now - accepted_at > REVOKE_SECONDS
            assert not (version > held and is_late), "a revoked key was taken"


class Revocations(Chaos):
    """Faults of :class:`Chaos`, and gateways that are suspended."""

    def __init__(self, cluster):
        super().__init__(cluster)
        self.actions[self.suspend] = 0.01
        # So few that the next doesn't soon bring what a lost message should have.
        self.actions[self.revoke] = 0.02
        self.call_rate = 0.0

    def revoke(self):
        node = self.cluster.any_leader()
        if node and self.cluster.now >= node.frozen_until:
            self.cluster.patch(node)

    def suspend(self):
        gateway = self.random.choice(self.cluster.gateways)
        seconds = self.random.uniform(0.5, 8.0)
        gateway.suspended_until = self.cluster.now + seconds


def run_revocations(seed, faults=None, cluster_class=FollowedCluster):
    cluster = cluster_class(seed, faults)
    cluster.run(3.0)
    cluster.run(20.0, Revocations(cluster))
    cluster.heal()
    cluster.run(6.0)
    return cluster


def is_caught(faults=None, cluster_class=FollowedCluster):
    for seed in range(100):
        try:
            run_revocations(seed, faults, cluster_class)
        except AssertionError:
            return True
    return False


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_no_revoked_key_is_taken(seed):
    cluster = run_revocations(seed)
    # A gateway that refuses all keys would keep the promise too.
    for gateway in cluster.gateways:
        assert cluster.now - gateway.taken_at < ASK_INTERVAL


class StoppingClock(Gateway):
    """A gateway by whose clock no time passes while it is suspended."""

    def step(self):
        if self.cluster.now < self.suspended_until:
            self.lost_seconds += self.rate * 0.02
        super().step()


class StoppingClockCluster(FollowedCluster):
    gateway_class = StoppingClock


def test_lease_by_a_clock_that_stops_is_caught():
    assert is_caught(cluster_class=StoppingClockCluster)


def test_confirmation_without_a_quorum_is_caught():
    assert is_caught(Faults(raft_class=ReadsWithoutQuorum))


class CountsFromTheAnswer(Gateway):
    def on_answer(self, sent_at, version, is_current):
        super().on_answer(self.clock(), version, is_current)


class CountsFromTheAnswerCluster(FollowedCluster):
    gateway_class = CountsFromTheAnswer


def test_lease_counted_from_the_answer_is_caught():
    assert is_caught(cluster_class=CountsFromTheAnswerCluster)


def test_lease_renewed_while_behind_is_caught(monkeypatch):
    record_answer = StateLease.record_answer

    def record_as_current(lease, sent_at, held_version, latest_version, is_current):
        return record_answer(lease, sent_at, latest_version, latest_version, is_current)

    monkeypatch.setattr(StateLease, "record_answer", record_as_current)
    assert is_caught()


def test_lease_that_is_too_long_is_caught(monkeypatch):
    monkeypatch.setattr(f"{__name__}.KEY_LEASE_SECONDS", 6.0)
    assert is_caught()
