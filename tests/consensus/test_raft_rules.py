"""Individual rules of the consensus core, on small clusters without random faults."""

import random
from dataclasses import replace

import pytest

from banyanshore.consensus.log import Log
from banyanshore.consensus.messages import JoinRequest, Members, instance_of
from banyanshore.consensus.raft import HardState, Raft, RaftOptions
from banyanshore.consensus.repair import Learner, plan_member_change
from tests.consensus.cluster import Cluster, Faults, Node


def start(size=3, faults=None):
    cluster = Cluster(7, size, faults)
    cluster.run(3.0)
    assert cluster.leader() is not None
    return cluster


def isolate(cluster, instance):
    for other in cluster.instances:
        if other != instance:
            cluster.blocked |= {(instance, other), (other, instance)}


def test_isolated_leader_refuses_proposals_after_its_lease():
    cluster = start()
    leader = cluster.leader()
    isolate(cluster, leader.instance)
    cluster.run(cluster.options.election_timeout * 1.1)
    assert cluster.patch(leader) is None


def test_resumed_leader_has_no_lease_before_a_quorum_replies():
    cluster = start()
    leader = cluster.leader()
    leader.frozen_until = cluster.now + 5
    cluster.run(4.9)
    # The lease is checked with the clock reading of the proposal itself: a frozen
    # leader reads the later time when it resumes.
    assert not leader.raft.has_lease(leader.clock())
    assert cluster.patch(leader) is None


def test_lease_ends_before_another_leader_can_be_elected():
    for seed in range(30):
        cluster = Cluster(seed, 3)
        cluster.run(3.0)
        first = cluster.leader()
        isolate(cluster, first.instance)
        for _ in range(400):
            cluster.run(0.02)
            others = [
                node
                for node in cluster.nodes.values()
                if node is not first and node.raft.is_leader
            ]
            if others:
                assert not first.raft.has_lease(first.clock())
                break
        else:
            pytest.fail("no other leader was elected")


def test_rejoining_voter_does_not_depose_the_leader():
    cluster = start()
    leader = cluster.leader()
    outsider = next(n for n in cluster.nodes.values() if n is not leader)
    isolate(cluster, outsider.instance)
    cluster.run(10.0)
    term = leader.raft.term
    cluster.blocked.clear()
    cluster.run(3.0)
    assert cluster.leader() is leader
    assert leader.raft.term == term


def test_without_pre_vote_the_rejoining_voter_would_depose_the_leader():
    class NoPreVote(Raft):
        def _start_pre_vote(self, now):
            self._start_election(now)

    cluster = start(faults=Faults(raft_class=NoPreVote))
    leader = cluster.leader()
    term = leader.raft.term
    outsider = next(n for n in cluster.nodes.values() if n is not leader)
    isolate(cluster, outsider.instance)
    cluster.run(10.0)
    cluster.blocked.clear()
    cluster.run(3.0)
    assert cluster.leader().raft.term > term


def test_leadership_is_not_transferred_to_a_crashed_voter():
    cluster = start()
    leader = cluster.leader()
    others = [n for n in cluster.nodes.values() if n is not leader]
    # Both logs are complete, and among equals the greatest member name is preferred.
    dead = max(others, key=lambda node: node.raft.member)
    dead.crash()
    cluster.run(1.0)
    leader.raft.transfer(leader.clock())
    cluster.run(0.2)
    successor = cluster.leader()
    assert successor is not None
    assert successor is not leader


def test_leadership_transfer_does_not_wait_for_an_election_timeout():
    cluster = start()
    leader = cluster.leader()
    leader.raft.transfer(leader.clock())
    assert not leader.raft.has_lease(leader.clock())
    cluster.run(0.3)
    assert cluster.leader() is not leader


def test_restarted_voter_does_not_vote_while_a_lease_may_be_valid():
    cluster = start()
    leader = cluster.leader()
    others = [n for n in cluster.nodes.values() if n is not leader]
    others[0].crash()
    others[0].start()
    others[1].raft._start_election(others[1].clock())
    # Without the rule, the restarted voter's vote would elect it within one delay.
    cluster.run(0.1)
    assert not others[1].raft.is_leader


def test_single_voter_becomes_leader_at_the_first_tick():
    raft = Raft(RaftOptions(), "a/1", HardState(), Log(), random.Random(1), 0.0)
    raft.form(Members(("a/1",)), 0.0)
    raft.mark_durable(1)
    raft.tick(0.0)
    assert raft.is_leader
    assert raft.propose(0.0, b"x") is not None


def test_voter_with_a_new_disk_regains_its_vote_only_after_catching_up():
    cluster = start()
    for _ in range(100):
        cluster.patch(cluster.leader())
        cluster.run(0.06)
    leader = cluster.leader()
    lost = next(n for n in cluster.nodes.values() if n is not leader)
    lost.crash()
    lost.disk = lost.new_disk()
    lost.start()
    cluster.run(0.5)
    assert not lost.raft.is_voter
    cluster.run(8.0)
    assert lost.raft.is_voter
    assert lost.machine.snapshot() == cluster.leader().machine.snapshot()


def test_no_patch_is_lost_when_a_second_disk_is_lost_after_a_repair():
    cluster = start()
    for _ in range(20):
        cluster.patch(cluster.leader())
        cluster.run(0.1)
    for _ in range(2):
        leader = cluster.leader()
        lost = next(n for n in cluster.nodes.values() if n is not leader)
        lost.crash()
        lost.disk = lost.new_disk()
        lost.start()
        cluster.run(8.0)
        assert lost.raft.is_voter
    cluster.check_converged()
    assert len(cluster.acked_version_by_request) == 20


def test_change_of_two_voters_at_once_is_refused():
    cluster = start()
    raft = cluster.leader().raft
    now = cluster.leader().clock()
    swapped = Members((*raft.members.voters[:2], "entry-9/1"))
    assert raft.propose_members(now, swapped) is None


def test_new_disk_is_exchanged_for_the_old_one_only_while_that_is_silent():
    members = Members(("a/1", "b/1", "c/1"))
    learner = [Learner("c/2", True)]
    names = ["a", "b", "c"]
    assert plan_member_change(members, learner, names, {"c/1": 0.1}) is None
    silence = {"c/1": 9.0}
    exchange = plan_member_change(members, learner, names, silence)
    assert exchange == Members(("a/1", "b/1", "c/2"), members.voters)
    # The exchange is ended also if the old disk replies again.
    exchanged = plan_member_change(exchange, [], names, {})
    assert exchanged == Members(("a/1", "b/1", "c/2"))
    assert plan_member_change(exchanged, [], names, {}) is None


def test_two_voters_of_one_instance_are_kept_while_both_reply():
    """Versions before the exchange added the new disk first."""
    added = Members(("a/1", "b/1", "c/1", "c/2"))
    names = ["a", "b", "c"]
    assert plan_member_change(added, [], names, {}) is None
    removed = plan_member_change(added, [], names, {"c/1": 9.0})
    assert removed == Members(("a/1", "b/1", "c/2"))


def test_lost_voter_is_kept_until_its_successor_has_caught_up():
    members = Members(("a/1", "b/1", "c/1"))
    names = ["a", "b", "d"]
    silence = {"c/1": 9.0}
    assert plan_member_change(members, [Learner("d/1", False)], names, silence) is None
    learner = [Learner("d/1", True)]
    exchange = plan_member_change(members, learner, names, silence)
    assert exchange == Members(("a/1", "b/1", "d/1"), members.voters)
    exchanged = plan_member_change(exchange, [], names, silence)
    assert exchanged == Members(("a/1", "b/1", "d/1"))
    assert plan_member_change(exchanged, [], names, {}) is None


def test_unwanted_voter_that_replies_decides_until_the_exchange_is_committed():
    members = Members(("a/1", "b/1", "c/1"))
    names = ["a", "b", "d"]
    assert plan_member_change(members, [], names, {}) is None
    exchange = plan_member_change(members, [Learner("d/1", True)], names, {})
    assert exchange == Members(("a/1", "b/1", "d/1"), members.voters)
    exchanged = plan_member_change(exchange, [], names, {})
    assert exchanged == Members(("a/1", "b/1", "d/1"))


def test_second_voter_may_be_lost_after_the_first_was_replaced():
    cluster = start()
    lost = next(n for n in cluster.nodes.values() if n is not cluster.leader())
    lost.crash()
    cluster.nodes["entry-9"] = Node(cluster, "entry-9")
    cluster.instances = sorted({*cluster.instances, "entry-9"} - {lost.instance})
    cluster.nodes["entry-9"].start()
    cluster.run(8.0)
    voters = {instance_of(name) for name in cluster.leader().raft.members.voters}
    assert voters == set(cluster.instances)
    next(n for n in cluster.nodes.values() if n is cluster.leader()).crash()
    cluster.run(3.0)
    cluster.patch(cluster.leader())
    cluster.run(0.5)
    assert cluster.acked_version_by_request


def test_unwanted_leader_transfers_leadership_and_is_removed():
    cluster = start()
    former = cluster.leader()
    cluster.nodes["entry-9"] = Node(cluster, "entry-9")
    cluster.instances = sorted({*cluster.instances, "entry-9"} - {former.instance})
    cluster.nodes["entry-9"].start()
    cluster.run(8.0)
    voters = {instance_of(name) for name in cluster.leader().raft.members.voters}
    assert voters == set(cluster.instances)


def test_replication_to_a_silent_learner_stops():
    cluster = start()
    leader = cluster.leader()
    leader.raft.receive(leader.clock(), JoinRequest("entry-9/1"))
    assert "entry-9/1" in leader.raft.leadership.progress_by_member
    # No node has that name, so messages to it are dropped.
    cluster.nodes["entry-9"] = None
    cluster.queue.clear()
    send = cluster.send
    cluster.send = lambda node, to, message, member: (
        None if instance_of(member or to) == "entry-9" else send(node, to, message, "")
    )
    del cluster.nodes["entry-9"]
    cluster.run(12.0)
    assert "entry-9/1" not in leader.raft.leadership.progress_by_member


def test_followers_apply_a_command_before_the_next_heartbeat():
    """An order took effect up to a heartbeat late at the instance that received it.

    Followers learned the new commit index only with the next heartbeat.
    """
    cluster = start(faults=Faults())
    leader = cluster.leader()
    leader.raft.options = replace(cluster.options, heartbeat_interval=0.4)
    cluster.run(0.2)
    assert cluster.patch(leader) is not None
    began_at, version = cluster.now, leader.machine.version + 1
    followers = [node for node in cluster.nodes.values() if node is not leader]
    while any(node.machine.version < version for node in followers):
        cluster.run(0.01)
        assert cluster.now - began_at < 0.2
