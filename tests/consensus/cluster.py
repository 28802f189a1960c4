"""Voters in one process under a seeded schedule of faults, with invariant checks."""

import heapq
import random
from dataclasses import dataclass, field

from banyanshore.consensus.formation import Formation
from banyanshore.consensus.log import EMPTY_SNAPSHOT, Log, Snapshot
from banyanshore.consensus.log_clock import LogClock
from banyanshore.consensus.messages import (
    EntryKind,
    JoinRequest,
    Members,
    instance_of,
)
from banyanshore.consensus.raft import HardState, Raft, RaftOptions
from banyanshore.consensus.repair import next_members, should_hand_over
from banyanshore.state import (
    ClaimCommand,
    ClaimStatus,
    PatchCommand,
    PatchStatus,
    StateMachine,
    TimedCommand,
)
from banyanshore.transport import decode, encode

STEP_SECONDS = 0.02


@dataclass
class Disk:
    """The disk of a member, with all that survives a power failure."""

    identity: str
    hard_state: HardState = HardState()
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: dict = field(default_factory=dict)
    # An injected bug: writes are acknowledged but not synced.
    skip_sync: bool = False

    def save(self, ready, log):
        if self.skip_sync:
            return
        if ready.hard_state:
            self.hard_state = ready.hard_state
        if ready.truncate_from:
            for index in [i for i in self.entries if i >= ready.truncate_from]:
                del self.entries[index]
        if ready.snapshot:
            self.compact(log)
        for entry in ready.entries:
            self.entries[entry.index] = entry

    def compact(self, log):
        self.snapshot = log.snapshot
        self.entries = {
            index: log.get(index)
            for index in range(log.first_index, log.last_index + 1)
        }

    def load(self):
        first = self.snapshot.last_index + 1
        entries = []
        while (entry := self.entries.get(first + len(entries))) is not None:
            entries.append(entry)
        return Log(self.snapshot, entries)


class Node:
    """One instance with its process, disk and clock."""

    def __init__(self, cluster, instance):
        self.cluster = cluster
        self.instance = instance
        self.rate = cluster.random.uniform(0.97, 1.03)
        self.offset = cluster.random.uniform(0, 1000)
        self.generation = 0
        self.disk = self.new_disk()
        self.up = False
        self.frozen_until = -1.0

    def new_disk(self):
        self.generation += 1
        identity = f"{self.instance}/{self.generation}"
        if self.cluster.faults.same_disk_identity:
            identity = f"{self.instance}/1"
        return Disk(identity, skip_sync=self.cluster.faults.skip_sync)

    def clock(self):
        return self.offset + self.rate * self.cluster.now

    def start(self):
        self.up = True
        self.inbox = []
        self.waiting = {}
        self.reads = {}
        self.machine = StateMachine()
        log = self.disk.load()
        if log.snapshot.last_index:
            self.machine.restore(log.snapshot.data)
        self.raft = self.cluster.faults.raft_class(
            self.cluster.options,
            self.disk.identity,
            self.disk.hard_state,
            log,
            random.Random(self.cluster.random.random()),
            self.clock(),
        )
        self.log_clock = self.cluster.faults.log_clock_class()
        self.formation = Formation(self.disk.identity, self.cluster.instances)
        if self.cluster.faults.same_disk_identity and log.last_index == 0:
            # Without disk ids, a member with an empty disk forms the log again.
            self.raft.form(self.cluster.first_members(), self.clock())

    def crash(self):
        self.up = False

    def step(self):
        now = self.clock()
        raft = self.raft
        inbox, self.inbox = self.inbox, []
        if self.cluster.now < self.frozen_until:
            self.inbox = inbox
            return
        for sender, message in inbox:
            if type(message).__name__ == "FormationStatus":
                self.on_formation(message, now)
            elif sender not in ("", raft.member):
                raft.receive(now, message)
        self.announce()
        raft.tick(now)
        self.change_members(now)
        self.process_ready(now)

    def on_formation(self, status, now):
        if self.raft.log.last_index == 0:
            members = self.formation.receive(status)
            if members is not None:
                self.raft.form(members, now)

    def announce(self):
        if self.cluster.random.random() <= 0.05:
            self.send_join_messages()

    def send_join_messages(self):
        for instance in self.cluster.instances:
            if instance != self.instance:
                self.send(instance, self.formation.status(self.raft))
                if self.raft.needs_join_request:
                    self.send(instance, JoinRequest(self.raft.member))

    def change_members(self, now):
        if should_hand_over(self.raft, self.cluster.instances):
            self.raft.transfer(now)
        members = next_members(self.raft, now, self.cluster.instances)
        if members:
            self.raft.propose_members(now, members)

    def process_ready(self, now):
        while True:
            ready = self.raft.pop_ready(now)
            if ready.is_empty:
                return
            self.disk.save(ready, self.raft.log)
            if ready.snapshot:
                self.machine.restore(ready.snapshot.data)
            for envelope in ready.messages:
                self.send(instance_of(envelope.to), envelope.message, envelope.to)
            for entry in ready.committed:
                self.apply(entry)
            for read in ready.reads:
                self.finish_read(read)
            self.raft.mark_durable(self.raft.log.last_index)
            self.cluster.check_leader(self)

    def apply(self, entry):
        self.cluster.check_committed(self, entry)
        if entry.kind == EntryKind.COMMAND:
            timed = decode(entry.data)
            before = self.machine.version
            outcome = self.machine.apply(entry.index, entry.term, timed)
            assert self.machine.version >= before
            # The fastest clock runs 3% too fast.
            assert self.machine.now <= 1.03 * self.cluster.now, "log time ran ahead"
            command = timed.command
            if self.waiting.pop((entry.index, entry.term), None):
                self.cluster.on_outcome(command, outcome)
        if self.raft.applied_index - self.raft.log.snapshot.last_index > 60:
            self.compact()

    def compact(self):
        # The machine has applied only up to the current entry. Compact after the
        # step, when it has applied all committed entries.
        self.cluster.compact_later.append(self)

    def compact_now(self):
        log = self.raft.log
        index = self.raft.applied_index
        if not self.up or index <= log.snapshot.last_index:
            return
        members, _ = log.members_at(index)
        data = self.machine.snapshot()
        self.raft.compact(Snapshot(index, log.term_at(index), members, data))
        if not self.disk.skip_sync:
            self.disk.compact(log)

    def finish_read(self, read):
        minimum_version = self.reads.pop(read.context, None)
        if minimum_version is not None and read.index >= 0:
            assert self.machine.version >= minimum_version, "a stale read"
            self.cluster.reads_done += 1

    def send(self, instance, message, to=""):
        self.cluster.send(self, instance, message, to)


@dataclass(frozen=True)
class Faults:
    """Bugs injected into the code under test, to prove that the checks detect them."""

    raft_class: type = Raft
    log_clock_class: type = LogClock
    skip_sync: bool = False
    same_disk_identity: bool = False
    machine_grants_all: bool = False


class Cluster:
    """Nodes, their network and the schedule, all determined by one seed."""

    node_class = Node

    def __init__(self, seed, size=3, faults=None):
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.options = RaftOptions(0.5, 0.08, 0.05)
        self.now = 0.0
        self.instances = [f"entry-{number}" for number in range(size)]
        self.nodes = {}
        for name in self.instances:
            self.nodes[name] = self.node_class(self, name)
        self.queue = []
        self.sent = 0
        self.blocked = set()
        self.compact_later = []
        self.committed_by_index = {}
        self.leader_by_term = {}
        self.acked_version_by_request = {}
        self.attempt_by_key = {}
        self.highest_acked_version = 0
        self.reads_done = 0
        self.loss = self.duplication = 0.0
        self.max_delay = 0.02
        for node in self.nodes.values():
            node.start()

    def first_members(self):
        return Members(tuple(f"{name}/1" for name in self.instances))

    def send(self, node, instance, message, to):
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            if (node.instance, instance) in self.blocked:
                continue
            at = self.now + self.random.uniform(0.001, self.max_delay)
            self.sent += 1
            data = encode(message)
            item = (at, self.sent, node.raft.member, instance, to, data)
            heapq.heappush(self.queue, item)

    def run(self, seconds, action=None):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.deliver()
            if action:
                action(self)
            for node in self.nodes.values():
                if node.up:
                    node.step()
            for node in self.compact_later:
                node.compact_now()
            self.compact_later.clear()

    def deliver(self):
        while self.queue and self.queue[0][0] <= self.now:
            _, _, sender, instance, to, data = heapq.heappop(self.queue)
            node = self.nodes.get(instance)
            if node is not None and node.up and to in ("", node.raft.member):
                node.inbox.append((sender, decode(data)))

    # Clients.

    def leader(self):
        leaders = [n for n in self.nodes.values() if n.up and n.raft.is_leader]
        return max(leaders, key=lambda n: n.raft.term, default=None)

    def any_leader(self):
        leaders = [n for n in self.nodes.values() if n.up and n.raft.is_leader]
        return self.random.choice(leaders) if leaders else None

    def propose(self, node, command):
        now = node.clock()
        at = node.log_clock.read(now, node.raft.term, node.machine.now)
        entry = node.raft.propose(now, encode(TimedCommand(at, command)))
        if entry is not None:
            node.waiting[(entry.index, entry.term)] = True
        return entry

    def patch(self, node):
        request_id = f"patch-{self.random.getrandbits(48):x}"
        name = f"w{self.random.randrange(5)}"
        patch = b'{"workspaces":{"%s":{"priority":%d}}}' % (
            name.encode(),
            self.random.randrange(9),
        )
        command = PatchCommand(request_id, node.machine.version, patch, self.now)
        return self.propose(node, command)

    def claim(self, node):
        key = f"key-{self.random.randrange(30)}"
        attempt = f"attempt-{self.random.getrandbits(48):x}"
        command = ClaimCommand("w", "s", key, b"d", attempt, 1.0)
        return self.propose(node, command)

    def read(self, node):
        context = self.random.getrandbits(48)
        node.reads[context] = self.highest_acked_version
        node.raft.read(node.clock(), context)

    # Invariants.

    def check_leader(self, node):
        if node.raft.is_leader:
            known = self.leader_by_term.setdefault(node.raft.term, node.raft.member)
            assert known == node.raft.member, f"two leaders in term {node.raft.term}"

    def check_committed(self, node, entry):
        known = self.committed_by_index.setdefault(entry.index, entry)
        assert known == entry, f"logs differ at committed index {entry.index}"

    def on_outcome(self, command, outcome):
        if isinstance(command, PatchCommand):
            if outcome.status == PatchStatus.ACCEPTED:
                self.acked_version_by_request[command.request_id] = outcome.version
                self.highest_acked_version = max(
                    self.highest_acked_version, outcome.version
                )
        elif outcome.status == ClaimStatus.GRANTED:
            holder = self.attempt_by_key.setdefault(command.key, command.attempt)
            assert holder == command.attempt, f"two runs of {command.key}"

    def heal(self):
        self.blocked.clear()
        self.loss = self.duplication = 0.0
        # With round trips longer than the lease, no leader could have a lease.
        self.max_delay = 0.02
        for node in self.nodes.values():
            node.frozen_until = -1.0
            if not node.up:
                node.start()

    def check_converged(self):
        leader = self.leader()
        assert leader is not None, "no leader after healing"
        versions = list(self.acked_version_by_request.values())
        assert len(versions) == len(set(versions)), "a version number was used twice"
        for request_id, version in self.acked_version_by_request.items():
            known = leader.machine._patch_by_request_id.get(request_id)
            assert known is not None, f"accepted patch {request_id} was lost"
            assert known.outcome.version == version
        states = {n.machine.snapshot() for n in self.nodes.values()}
        assert len(states) == 1, "states differ after healing"
