"""Random schedules in which lost control instances are replaced by new ones.

The settings don't name the voters. An instance that is lost with its disk is replaced
by one with a new name and an empty disk, which the others discover by its messages.
"""

import os

import pytest

from banyanshore.consensus import repair
from banyanshore.consensus.formation import Formation
from banyanshore.consensus.messages import Members, instance_of
from banyanshore.consensus.raft import Raft
from banyanshore.consensus.repair import (
    next_members,
    next_voter_instances,
    should_hand_over,
)
from tests.consensus.chaos import Chaos
from tests.consensus.cluster import Cluster, Faults, Node

SCHEDULES = int(os.environ.get("BANYANSHORE_SCHEDULES", "40"))
VOTERS = 3
# Seconds between two losses. Losses closer together count as simultaneous, and three
# voters tolerate only one.
LOSS_GAP_SECONDS = repair.REPLACE_AFTER + 1.0
# Seconds after a loss in which the fleet must have all its voters again if there are no
# further faults: detection of the silence, catching up and three changes of members.
REPAIR_SECONDS = 10.0


class FleetNode(Node):
    """A control instance that discovers the others by their messages."""

    def __init__(self, cluster, instance):
        super().__init__(cluster, instance)
        self.known = set(cluster.instances)

    def start(self):
        super().start()
        self.formation = Formation(self.disk.identity, self.cluster.seeds)

    def step(self):
        if self.cluster.now >= self.frozen_until:
            for sender, message in self.inbox:
                self.known.add(instance_of(sender or getattr(message, "sender", "")))
            self.known.discard("")
        super().step()

    def send_join_messages(self):
        known, self.cluster.instances = self.cluster.instances, sorted(self.known)
        try:
            super().send_join_messages()
        finally:
            self.cluster.instances = known

    def change_members(self, now):
        voter_instances = next_voter_instances(self.raft, now, VOTERS)
        if should_hand_over(self.raft, voter_instances):
            self.raft.transfer(now)
        members = next_members(self.raft, now, voter_instances)
        if members:
            self.raft.propose_members(now, members)


class Fleet(Cluster):
    """A cluster of control instances, the first of which are seeds and form the log."""

    node_class = FleetNode

    def __init__(self, seed, size, faults=None):
        self.seeds = [f"entry-{number}" for number in range(VOTERS)]
        super().__init__(seed, size, faults)
        self.next_number = size
        self.replaced = 0

    def replace(self, node):
        """Remove an instance with its disk and start a new one."""
        node.crash()
        del self.nodes[node.instance]
        self.instances.remove(node.instance)
        name = f"entry-{self.next_number}"
        self.next_number += 1
        self.replaced += 1
        self.instances.append(name)
        self.nodes[name] = FleetNode(self, name)
        self.nodes[name].start()


class Replacements(Chaos):
    """The faults of :class:`Chaos`, and replacements of one instance at a time."""

    def __init__(self, fleet):
        super().__init__(fleet, lose_disks=False)
        self.actions[self.replace_one] = 0.01
        self.lost_at = float("-inf")

    def replace_one(self):
        node = self.pick_node()
        if self.may_replace(node):
            self.lost_at = self.cluster.now
            self.cluster.replace(node)

    def may_replace(self, lost):
        """Allow a loss only while all voters are alive and agree on the members."""
        if self.cluster.now - self.lost_at < LOSS_GAP_SECONDS:
            return False
        leader = self.cluster.leader()
        if leader is None or leader is lost:
            return False
        members = leader.raft.members
        voters = members.everyone
        nodes = self.cluster.nodes
        live_members = {node.disk.identity: node for node in nodes.values()}
        settled = leader.raft.commit_index >= leader.raft.members_index
        all_agree = all(
            voter in live_members and live_members[voter].raft.members == members
            for voter in voters
        )
        return settled and all_agree and len(voters) == VOTERS


def run_replacements(seed, size=4, faults=None):
    fleet = Fleet(seed, size, faults)
    fleet.run(3.0)
    fleet.run(30.0, Replacements(fleet))
    fleet.heal()
    fleet.run(REPAIR_SECONDS + 5.0)
    fleet.check_converged()
    leader = fleet.leader()
    live_members = {node.disk.identity for node in fleet.nodes.values()}
    assert len(leader.raft.members.voters) == VOTERS
    assert live_members.issuperset(leader.raft.members.voters), (
        "a lost voter has its vote"
    )
    accepted = len(fleet.acked_version_by_request)
    fleet.patch(leader)
    fleet.run(2.0)
    assert len(fleet.acked_version_by_request) == accepted + 1
    return fleet


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_invariants_hold_while_voters_are_replaced(seed):
    run_replacements(seed)


def test_schedules_replace_enough_instances():
    assert sum(run_replacements(seed).replaced for seed in range(5)) >= 10


class CountsAnyMember(Raft):
    """Commit entries that any two members have, whether they are voters or not."""

    def _advance_commit(self):
        rows = self.leadership.progress_by_member.values()
        matched = sorted((row.match_index for row in rows), reverse=True)
        if matched:
            index = min(matched[0], self._durable_index)
            if index > self.commit_index and self.log.term_at(index) == self.term:
                self.commit_index = index
        super()._advance_commit()


class HearsOfNoLeader(Raft):
    """Don't ask a leader for replication while the own log lists this voter."""

    @property
    def needs_join_request(self):
        return not self.is_voter


_plan = repair.plan_member_change


def remove_first(members, learners, voter_instances, silent_seconds_by_member):
    """Plan the removal of a voter before its successor is added."""
    unwanted = [v for v in members.voters if instance_of(v) not in voter_instances]
    if unwanted and any(row.is_caught_up for row in learners):
        return Members(tuple(v for v in members.voters if v != unwanted[0]))
    return _plan(members, learners, voter_instances, silent_seconds_by_member)


def is_detected(faults=None):
    for seed in range(200):
        try:
            run_replacements(seed, faults=faults)
        except AssertionError:
            return True
    return False


@pytest.mark.parametrize("raft_class", [CountsAnyMember, HearsOfNoLeader])
def test_injected_bug_of_the_core_is_detected(raft_class):
    assert is_detected(Faults(raft_class=raft_class))


def find_follower(fleet):
    """Return a voter that doesn't lead."""
    leader = fleet.leader()
    return next(
        node
        for node in fleet.nodes.values()
        if node is not leader and node.raft.is_voter
    )


def recovers_from_voter_loss_during_replacement():
    """Return whether the fleet has a leader after one voter froze and one was lost.

    The second voter is lost while the frozen one, which comes back, is being replaced.
    """
    fleet = Fleet(1, 4)
    fleet.run(3.0)
    frozen = find_follower(fleet)
    frozen.frozen_until = fleet.now + 60.0
    leader = fleet.leader()
    while leader.raft.members_index <= leader.raft.commit_index:
        fleet.run(0.02)
    lost = next(
        node
        for node in fleet.nodes.values()
        if node not in (leader, frozen) and node.instance in fleet.seeds
    )
    fleet.replace(lost)
    fleet.heal()
    fleet.run(REPAIR_SECONDS)
    return fleet.leader() is not None


def recovers_from_voter_loss_after_spare_loss():
    """Return whether a fleet of three voters and a spare recovers from both losses."""
    fleet = Fleet(1, 4)
    fleet.run(3.0)
    fleet.nodes["entry-3"].crash()
    fleet.run(LOSS_GAP_SECONDS)
    fleet.replace(find_follower(fleet))
    spares = set()
    fleet.run(REPAIR_SECONDS, lambda fleet: spares.update(find_voting_instances(fleet)))
    leader = fleet.leader()
    return (
        leader is not None
        and len(leader.raft.members.voters) == VOTERS
        and "entry-3" not in spares
    )


def find_voting_instances(fleet):
    """Return the instances that any node counts among the voters."""
    return {
        instance_of(voter)
        for node in fleet.nodes.values()
        for voter in node.raft.members.everyone
    }


def test_voter_may_be_lost_while_a_frozen_one_is_replaced():
    assert recovers_from_voter_loss_during_replacement()


def test_crashed_spare_is_not_made_a_voter():
    assert recovers_from_voter_loss_after_spare_loss()


def test_removal_before_the_addition_is_detected(monkeypatch):
    monkeypatch.setattr(repair, "plan_member_change", remove_first)
    assert not recovers_from_voter_loss_during_replacement()


def test_making_a_silent_spare_a_voter_is_detected(monkeypatch):
    monkeypatch.setattr(repair, "ABSENT_AFTER", float("inf"))
    assert not recovers_from_voter_loss_after_spare_loss()
