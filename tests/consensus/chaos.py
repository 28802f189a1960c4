"""Random faults of a cluster of voters during random client calls."""


class Chaos:
    """Inject random faults and make random client calls at each step."""

    def __init__(self, cluster, lose_disks=True):
        self.cluster = cluster
        self.random = cluster.random
        self.lose_disks = lose_disks
        # Probability of a client call at each step.
        self.call_rate = 0.6
        self.actions = {
            self.crash: 0.008,
            self.restart: 0.05,
            self.freeze: 0.008,
            self.partition: 0.01,
            self.block_one_direction: 0.01,
            self.unblock_links: 0.03,
            self.lose_disk: 0.004,
            self.degrade_network: 0.01,
            self.expire_election_timers: 0.01,
            self.start_elections: 0.01,
        }

    def __call__(self, cluster):
        for action, probability in self.actions.items():
            if self.random.random() < probability:
                action()
        if self.random.random() < self.call_rate:
            node = cluster.any_leader()
            if node and cluster.now >= node.frozen_until:
                call = self.random.choice([cluster.patch, cluster.claim, cluster.read])
                call(node)

    def pick_node(self):
        return self.random.choice(list(self.cluster.nodes.values()))

    def crash(self):
        self.pick_node().crash()

    def restart(self):
        node = self.pick_node()
        if not node.up:
            node.start()

    def freeze(self):
        self.pick_node().frozen_until = self.cluster.now + self.random.uniform(0.2, 3)

    def partition(self):
        one = self.pick_node().instance
        for other in self.cluster.instances:
            self.cluster.blocked |= {(one, other), (other, one)}

    def block_one_direction(self):
        self.cluster.blocked.add((self.pick_node().instance, self.pick_node().instance))

    def unblock_links(self):
        self.cluster.blocked.clear()

    def degrade_network(self):
        self.cluster.loss = self.random.choice([0, 0, 0.05, 0.3])
        self.cluster.duplication = self.random.choice([0, 0, 0.2])
        self.cluster.max_delay = self.random.choice([0.02, 0.05, 0.4])

    def expire_election_timers(self):
        """Expire the election timers of all non-leaders in the same step."""
        for node in self.cluster.nodes.values():
            if node.up:
                node.raft._election_at = node.clock()

    def start_elections(self):
        """Have all voters without a leader be candidates in the same step.

        Candidates yield to each other before the vote, so it is rarely split otherwise.
        """
        for node in self.cluster.nodes.values():
            if node.up and node.raft.is_voter and not node.raft.leader:
                node.raft._start_election(node.clock())

    def lose_disk(self):
        node = self.pick_node()
        if self.lose_disks and self.may_lose_disk(node):
            node.crash()
            node.disk = node.new_disk()

    def may_lose_disk(self, lost):
        """Allow the loss of a disk only while the others hold a quorum.

        To be sure, all instances must be voters that agree on the members.
        """
        leader = self.cluster.leader()
        if leader is None or leader is lost:
            return False
        members = leader.raft.members
        voters = members.everyone
        settled = leader.raft.commit_index >= leader.raft.members_index
        live_disks = {node.disk.identity for node in self.cluster.nodes.values()}
        all_alive = all(voter in live_disks for voter in voters)
        all_agree = all(
            node.raft.members == members and node.raft.commit_index > 0
            for node in self.cluster.nodes.values()
        )
        all_vote = len(voters) == len(self.cluster.instances)
        return settled and all_alive and all_agree and all_vote
