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
            self.cut: 0.01,
            self.cut_one_way: 0.01,
            self.mend: 0.03,
            self.lose_disk: 0.004,
            self.noise: 0.01,
            self.rival_elections: 0.01,
        }

    def __call__(self, cluster):
        for act, probability in self.actions.items():
            if self.random.random() < probability:
                act()
        if self.random.random() < self.call_rate:
            node = cluster.any_leader()
            if node and cluster.now >= node.frozen_until:
                call = self.random.choice([cluster.patch, cluster.claim, cluster.read])
                call(node)

    def pick(self):
        return self.random.choice(list(self.cluster.nodes.values()))

    def crash(self):
        self.pick().crash()

    def restart(self):
        node = self.pick()
        if not node.up:
            node.start()

    def freeze(self):
        self.pick().frozen_until = self.cluster.now + self.random.uniform(0.2, 3)

    def cut(self):
        one = self.pick().instance
        for other in self.cluster.instances:
            self.cluster.blocked |= {(one, other), (other, one)}

    def cut_one_way(self):
        self.cluster.blocked.add((self.pick().instance, self.pick().instance))

    def mend(self):
        self.cluster.blocked.clear()

    def noise(self):
        self.cluster.loss = self.random.choice([0, 0, 0.05, 0.3])
        self.cluster.duplication = self.random.choice([0, 0, 0.2])
        self.cluster.max_delay = self.random.choice([0.02, 0.05, 0.4])

    def rival_elections(self):
        """Expire the election timers of all non-leaders in the same step."""
        for node in self.cluster.nodes.values():
            if node.up:
                node.raft._election_at = node.clock()

    def lose_disk(self):
        node = self.pick()
        if self.lose_disks and self.may_lose(node):
            node.crash()
            node.disk = node.new_disk()

    def may_lose(self, lost):
        """Allow the loss of a disk only while the others hold a quorum.

        To be sure, all instances must be voters that agree on the members.
        """
        leader = self.cluster.leader()
        if leader is None or leader is lost:
            return False
        voters = leader.raft.members.voters
        settled = leader.raft.commit_index >= leader.raft.members_index
        living = {node.disk.identity for node in self.cluster.nodes.values()}
        whole = all(voter in living for voter in voters)
        applied = all(
            node.raft.members.voters == voters and node.raft.commit_index > 0
            for node in self.cluster.nodes.values()
        )
        full = len(voters) == len(self.cluster.instances)
        return settled and whole and applied and full
