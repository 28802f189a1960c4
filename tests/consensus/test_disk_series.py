"""Disks are lost one after the other, each as soon as the last one counts as replaced.

A deployment may lose as many disks at once as it tolerates losses. An instance that is
back counts as lost for a fixed time after its start, and no longer.
"""

import os
from dataclasses import replace

import pytest

from banyanshore.consensus import repair
from banyanshore.consensus.node import JOIN_INTERVAL
from banyanshore.consensus.raft import Raft, RaftOptions
from tests.consensus.cluster import Cluster, Faults
from tests.consensus.test_replacement_schedules import FleetNode

SCHEDULES = int(os.environ.get("BANYANSHORE_SCHEDULES", "20"))
# Seconds for which an instance counts as lost after it is back, the shortest that
# deployments allow.
CATCH_UP_SECONDS = 4.0
# Seconds in which an instance is down, and in which its process starts.
DOWN_SECONDS, START_SECONDS = 0.1, 0.6
LOSSES = 9


class SeriesNode(FleetNode):
    """A control instance that does what is periodic as often as the product does."""

    next_announcement_at = next_check_at = 0.0

    def announce(self):
        if self.cluster.now >= self.next_announcement_at:
            self.next_announcement_at = self.cluster.now + JOIN_INTERVAL
            self.send_join_messages()

    def change_members(self, now):
        if now >= self.next_check_at:
            self.next_check_at = now + self.cluster.options.heartbeat_interval
            voters, repair_voters = self.cluster.size, repair.next_voter_instances
            instances = repair_voters(self.raft, now, voters)
            members = repair.next_members(self.raft, now, instances)
            if members:
                self.raft.propose_members(now, members)


class SeriesCluster(Cluster):
    """Control instances with the timing of the default settings."""

    node_class = SeriesNode

    def __init__(self, seed, size, faults=None):
        self.seeds = [f"entry-{number}" for number in range(size)]
        self.size = size
        super().__init__(seed, size, faults)
        self.options = RaftOptions(1.0, 0.25, 0.05)
        for node in self.nodes.values():
            node.raft.options = self.options

    def write(self, cluster):
        leader = self.any_leader()
        if leader and self.random.random() < 0.3:
            self.patch(leader)

    def lose_disks(self, nodes):
        for node in nodes:
            node.crash()
            node.disk = node.new_disk()
        self.run(DOWN_SECONDS + START_SECONDS, self.write)
        for node in nodes:
            node.start()

    def pick_nodes(self, count):
        """Return nodes to lose, with the leader among them in two thirds of cases."""
        nodes = self.random.sample(list(self.nodes.values()), count)
        leader = self.leader()
        if leader and leader not in nodes and self.random.random() < 0.6:
            nodes[0] = leader
        return nodes


def run_series(seed, size, faults=None):
    cluster = SeriesCluster(seed, size, faults)
    cluster.run(8.0, cluster.write)
    for _ in range(LOSSES):
        cluster.lose_disks(cluster.pick_nodes(size // 2))
        cluster.run(CATCH_UP_SECONDS - START_SECONDS, cluster.write)
    cluster.run(8.0)
    cluster.check_converged()
    accepted = len(cluster.acked_version_by_request)
    cluster.patch(cluster.leader())
    cluster.run(1.0)
    assert len(cluster.acked_version_by_request) == accepted + 1, "the log has ended"


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_disks_lost_in_series_do_not_end_the_log_of_three_voters(seed):
    """No manifest was acknowledged or read back after a second lost disk."""
    run_series(seed, 3)


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_disks_lost_two_at_a_time_do_not_end_the_log_of_five_voters(seed):
    """No manifest was acknowledged or read back after a second pair of lost disks."""
    run_series(100 + seed, 5)


def is_detected(faults=None):
    for seed in range(SCHEDULES):
        try:
            run_series(seed, 3, faults)
        except AssertionError:
            return True
    return False


def test_waiting_for_long_silence_of_a_lost_disk_is_detected(monkeypatch):
    monkeypatch.setattr(repair, "ABSENT_AFTER", CATCH_UP_SECONDS)
    assert is_detected()


class NeverJoins(Raft):
    """Don't ask the leader for replication after the loss of the disk."""

    needs_join_request = False


def test_leaving_a_new_disk_without_a_vote_is_detected():
    assert is_detected(Faults(raft_class=NeverJoins))


def test_disk_lost_again_during_its_exchange_does_not_end_the_log():
    """Between the addition of a new disk and its removal three of four had to live.

    The former disk and the one added were of the same instance, so only one instance
    was lost, and the log ended.
    """
    cluster = SeriesCluster(1, 3)
    cluster.run(8.0, cluster.write)
    leader = cluster.leader()
    lost = next(node for node in cluster.nodes.values() if node is not leader)
    cluster.lose_disks([lost])
    while lost.disk.identity not in leader.raft.members.voters:
        cluster.run(0.02)
    assert leader.raft.members_index > leader.raft.commit_index
    cluster.lose_disks([lost])
    cluster.run(CATCH_UP_SECONDS)
    assert leader.raft.members.voters == tuple(
        sorted(node.disk.identity for node in cluster.nodes.values())
    )
    assert cluster.patch(leader) is not None


def test_new_leader_counts_the_silence_of_the_former_one_from_its_last_message():
    """A new leader waited as long again before it replaced the lost leader."""
    cluster = SeriesCluster(2, 3)
    cluster.run(8.0)
    former = cluster.leader()
    former.crash()
    lost_at = cluster.now
    while (leader := cluster.leader()) is None:
        cluster.run(0.02)
    silence = repair.find_silent_seconds(leader.raft, leader.clock())
    assert silence[former.disk.identity] >= 0.9 * (cluster.now - lost_at) - 0.3


def test_one_of_two_candidates_with_the_same_log_yields():
    """Two survivors of three split the vote repeatedly."""
    cluster = SeriesCluster(4, 3)
    cluster.run(8.0)
    former = cluster.leader()
    former.crash()
    cluster.run(1.1)
    survivors = [node for node in cluster.nodes.values() if node.up]
    for node in survivors:
        node.raft._election_at = node.clock()
    cluster.run(0.4)
    assert len(survivors) == 2
    assert cluster.leader() is not None
    assert {node.raft.term for node in survivors} == {former.raft.term + 1}


def test_split_vote_is_repeated_before_a_whole_election_timeout():
    cluster = SeriesCluster(3, 3)
    raft = cluster.nodes["entry-0"].raft
    raft.form(cluster.first_members(), 100.0)
    raft.options = replace(cluster.options, election_timeout=10.0)
    raft._start_election(100.0)
    assert 103.0 <= raft.next_event_at() <= 110.0
