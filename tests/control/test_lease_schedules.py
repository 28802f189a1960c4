"""Random schedules of gateways that follow control while keys are revoked.

Every accepted patch of the cluster stands for a revoked key. No gateway may accept such
a key more than some seconds after the patch was accepted, whatever faults hit the
gateway, its clock, its confirm requests, their answers and the control instances.
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
# Seconds after which no revoked key may be accepted, as promised to operators.
REVOKE_SECONDS = 5.0
KEY_LEASE_SECONDS = 4.5
CHANGE_SECONDS = 2.25
CONFIRM_INTERVAL = 1.0
# Longest delay, in seconds, of messages between control and gateways.
LONGEST_DELAY = 3.0


class FollowedNode(Node):
    """A control instance that answers gateways and sends them new versions."""

    def start(self):
        super().start()
        self.announced_version = 0
        self.reply_by_context = {}

    def step(self):
        super().step()
        is_frozen = self.cluster.now < self.frozen_until
        if not is_frozen and self.machine.version > self.announced_version:
            self.announced_version = self.machine.version
            for gateway in self.cluster.gateways:
                if gateway.control_instance == self.instance:
                    self.cluster.post(gateway.receive_version, self.announced_version)

    def request_confirmation(self, reply):
        """Read the latest version; call back with it once it has arrived here."""
        if not self.up or self.cluster.now < self.frozen_until:
            return
        context = self.cluster.random.getrandbits(48)
        self.reply_by_context[context] = reply
        self.raft.read(self.clock(), context)

    def finish_read(self, read):
        reply = self.reply_by_context.pop(read.context, None)
        if reply is None:
            super().finish_read(read)
        else:
            self.cluster.post(reply, self.machine.version, read.index >= 0)


class Gateway:
    """A gateway: the version that it holds, its lease and its clock."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.rate = cluster.random.uniform(0.97, 1.03)
        self.suspended_until = -1.0
        # The control instance that sends it new versions.
        self.control_instance = cluster.random.choice(cluster.instances)
        # Seconds that the clock has lost, if it stops during suspensions.
        self.lost_seconds = 0.0
        self.version = 0
        self.lease = StateLease()
        self.screening = Screening(KEY_LEASE_SECONDS, CHANGE_SECONDS)
        self.screening.use(DOCUMENT)
        self.inbox = []
        self.next_request_at = 0.0
        self.accepted_at = -1.0

    def clock(self):
        return self.rate * self.cluster.now - self.lost_seconds

    def receive_version(self, version):
        self.inbox.append(lambda: self.set_version(version))

    def set_version(self, version):
        self.version = max(self.version, version)

    def step(self):
        if self.cluster.now < self.suspended_until:
            return
        # A request may be the first event after a suspension.
        self.accept_key()
        inbox, self.inbox = self.inbox, []
        for callback in inbox:
            callback()
        if self.cluster.now >= self.next_request_at:
            self.next_request_at = self.cluster.now + CONFIRM_INTERVAL
            self.request_confirmation()
        self.accept_key()

    def request_confirmation(self):
        sent_at = self.clock()
        if self.cluster.random.random() < 0.1:
            self.control_instance = self.cluster.random.choice(self.cluster.instances)

        def answer(version, is_current):
            self.inbox.append(lambda: self.on_answer(sent_at, version, is_current))

        node = self.cluster.any_leader() or next(iter(self.cluster.nodes.values()))
        self.cluster.post(node.request_confirmation, answer)

    def on_answer(self, sent_at, version, is_current):
        status = self.lease.record_answer(sent_at, self.version, version, is_current)
        if status is ConfirmationStatus.BEHIND:
            self.cluster.post(self.receive_version, version)

    def accept_key(self):
        """Check that no key is accepted that was revoked too long ago."""
        unconfirmed = self.lease.seconds_ago(self.clock())
        if isinstance(self.screening.screen(request(), unconfirmed), Screened):
            self.accepted_at = self.cluster.now
            self.cluster.check_key(self.version)


class FollowedCluster(Cluster):
    """A cluster of control instances with gateways that follow them."""

    node_class = FollowedNode
    gateway_class = Gateway

    def __init__(self, seed, faults=None):
        self.gateways = []
        self.posts = []
        self.post_count = 0
        self.accepted_at_by_version = {}
        # Share of messages to and from gateways that is lost; as large a share is late.
        self.fault_share = 0.2
        super().__init__(seed, 3, faults)
        self.gateways = [self.gateway_class(self) for _ in range(4)]

    def post(self, callback, *arguments):
        """Call back after the delay of a message, unless it is lost."""
        if self.random.random() < self.fault_share:
            return
        is_slow = self.random.random() < self.fault_share
        delay = self.random.uniform(0.001, LONGEST_DELAY if is_slow else 0.1)
        self.post_count += 1
        heapq.heappush(
            self.posts, (self.now + delay, self.post_count, callback, arguments)
        )

    def heal(self):
        super().heal()
        self.fault_share = 0.0
        for gateway in self.gateways:
            gateway.suspended_until = -1.0

    def deliver(self):
        super().deliver()
        while self.posts and self.posts[0][0] <= self.now:
            _, _, callback, arguments = heapq.heappop(self.posts)
            callback(*arguments)
        for gateway in self.gateways:
            gateway.step()

    def on_outcome(self, command, outcome):
        super().on_outcome(command, outcome)
        self.accepted_at_by_version.setdefault(self.highest_acked_version, self.now)

    def check_key(self, held):
        """Check that every version newer than the held one was accepted recently."""
        for version, accepted_at in self.accepted_at_by_version.items():
            is_late = self.now - accepted_at > REVOKE_SECONDS
            assert not (version > held and is_late), "a revoked key was accepted"


class Revocations(Chaos):
    """Faults of :class:`Chaos`, suspended gateways and revoked keys."""

    def __init__(self, cluster):
        super().__init__(cluster)
        self.actions[self.suspend] = 0.01
        # Rare, so that the next version doesn't soon make up for a lost message.
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


def is_detected(faults=None, cluster_class=FollowedCluster):
    for seed in range(100):
        try:
            run_revocations(seed, faults, cluster_class)
        except AssertionError:
            return True
    return False


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_no_revoked_key_is_accepted(seed):
    cluster = run_revocations(seed)
    # A gateway that refuses all keys would pass the check too.
    for gateway in cluster.gateways:
        assert cluster.now - gateway.accepted_at < CONFIRM_INTERVAL


class StoppingClock(Gateway):
    """A gateway whose clock stops while it is suspended."""

    def step(self):
        if self.cluster.now < self.suspended_until:
            self.lost_seconds += self.rate * 0.02
        super().step()


class StoppingClockCluster(FollowedCluster):
    gateway_class = StoppingClock


def test_lease_on_a_clock_that_stops_is_detected():
    assert is_detected(cluster_class=StoppingClockCluster)


def test_confirmation_without_a_quorum_is_detected():
    assert is_detected(Faults(raft_class=ReadsWithoutQuorum))


class LeaseFromAnswer(Gateway):
    def on_answer(self, sent_at, version, is_current):
        super().on_answer(self.clock(), version, is_current)


class LeaseFromAnswerCluster(FollowedCluster):
    gateway_class = LeaseFromAnswer


def test_lease_counted_from_the_answer_is_detected():
    assert is_detected(cluster_class=LeaseFromAnswerCluster)


def test_lease_renewed_while_behind_is_detected(monkeypatch):
    record_answer = StateLease.record_answer

    def record_as_current(lease, sent_at, held_version, latest_version, is_current):
        return record_answer(lease, sent_at, latest_version, latest_version, is_current)

    monkeypatch.setattr(StateLease, "record_answer", record_as_current)
    assert is_detected()


def test_lease_that_is_too_long_is_detected(monkeypatch):
    monkeypatch.setattr(f"{__name__}.KEY_LEASE_SECONDS", 6.0)
    assert is_detected()
