"""Measure the replicated log: commands a second, and recovery time by its length.

Voters run in one process with real disks and codecs. Messages are passed in memory, so
the figures cover the Raft core, the state machine and the disk without the network.
"""

import random
import tempfile
import time
from pathlib import Path

from banyanshore.consensus.log import Snapshot
from banyanshore.consensus.messages import Entry, EntryKind, Members
from banyanshore.consensus.raft import Raft, RaftOptions
from banyanshore.consensus.storage import Storage
from banyanshore.state import ClaimCommand, PatchCommand, StateMachine
from banyanshore.transport import decode, encode
from benchmarks.report import Report, fit_slope

BATCHES = (1, 8, 32, 128)
LENGTHS = (500, 2000, 8000, 32000)
PEAK_CHANGES = 760 / 86_400
ROUNDS = 30


class LocalVoter:
    """A voter with a real data folder."""

    def __init__(self, folder, instance):
        self.storage = Storage(folder)
        self.machine = StateMachine()
        self.raft = Raft(
            RaftOptions(),
            f"{instance}/{self.storage.disk_id}",
            self.storage.hard_state,
            self.storage.log,
            random.Random(instance),
            0.0,
        )
        self.inbox = []

    def step(self, now, by_member):
        """Process the inbox, persist new entries, send messages, and apply commits."""
        inbox, self.inbox = self.inbox, []
        for message in inbox:
            self.raft.receive(now, message)
        self.raft.tick(now)
        while not (ready := self.raft.pop_ready(now)).is_empty:
            if ready.hard_state:
                self.storage.save_hard_state(ready.hard_state)
            self.storage.append(ready.entries)
            for envelope in ready.messages:
                data = encode(envelope.message)
                by_member[envelope.to].inbox.append(decode(data))
            for entry in ready.committed:
                if entry.kind == EntryKind.COMMAND:
                    self.machine.apply(entry.index, entry.term, decode(entry.data))
            self.raft.mark_durable(self.raft.log.last_index)


class LocalCluster:
    """Three voters that are stepped round-robin."""

    def __init__(self, folder):
        self.voters = [
            LocalVoter(Path(folder) / name, name) for name in ("a", "b", "c")
        ]
        self.by_member = {voter.raft.member: voter for voter in self.voters}
        self.now = 0.0
        members = Members(tuple(sorted(self.by_member)))
        for voter in self.voters:
            voter.raft.form(members, 0.0)
        while not any(voter.raft.is_leader for voter in self.voters):
            self.step(0.05)
        for _ in range(10):
            self.step()
        self.leader = next(voter for voter in self.voters if voter.raft.is_leader)

    def step(self, seconds=0.001):
        """Advance the clock and step each voter once."""
        self.now += seconds
        for voter in self.voters:
            voter.step(self.now, self.by_member)

    def apply_all(self, commands):
        """Propose commands as a batch and step until the leader has applied all."""
        for command in commands:
            entry = self.leader.raft.propose(self.now, encode(command))
        while self.leader.raft.applied_index < entry.index:
            self.step()


def make_patch(number, version):
    """Return a small patch."""
    patch = b'{"workspaces":{"w":{"priority":%d}}}' % (number % 10)
    return PatchCommand(f"p{number}", version, patch, 0.0)


def make_claim(number):
    """Return a claim of a unique key."""
    return ClaimCommand("w", "orders", f"k{number}", b"d" * 32, f"a{number}", 60.0)


def run():
    """Return the report."""
    report = Report("log")
    add_throughput(report)
    add_recovery(report)
    return report


def add_throughput(report):
    """Measure commands a second by batch size."""
    heads = ["command", "together", "a second", "ms each batch"]
    for kind in ("patch", "claim"):
        for batch in BATCHES:
            with tempfile.TemporaryDirectory() as folder:
                rate, each = measure_rate(folder, kind, batch)
            report.add_row(
                "Commands through three voters", heads, kind, batch, rate, each
            )
            if batch == 1:
                report.add_bound(
                    f"{kind}: one by one, a second",
                    rate,
                    PEAK_CHANGES * 100,
                    "a hundred times 760 a day",
                    at_least=True,
                )


def measure_rate(folder, kind, batch):
    """Return commands a second and milliseconds a batch."""
    cluster = LocalCluster(folder)
    number = version = 0
    began_at = time.perf_counter()
    for _ in range(ROUNDS):
        commands = []
        for _ in range(batch):
            if kind == "patch":
                commands.append(make_patch(number, version))
                version += 1
            else:
                commands.append(make_claim(number))
            number += 1
        cluster.apply_all(commands)
    seconds = time.perf_counter() - began_at
    return number / seconds, 1000 * seconds / ROUNDS


def add_recovery(report):
    """Measure the start of a voter by the length of its log."""
    heads = ["entries in the log", "start s", "with a snapshot s"]
    times = []
    for length in LENGTHS:
        with tempfile.TemporaryDirectory() as folder:
            write_log(folder, length)
            without_snapshot = time_start(folder)
            compact(folder)
            with_snapshot = time_start(folder)
        times.append(without_snapshot)
        report.add_row(
            "Start of a voter", heads, length, without_snapshot, with_snapshot
        )
    line = fit_slope(LENGTHS, times)
    report.add_row(
        "Slope of the start",
        ["s per 1,000 entries", "standard error", "at none"],
        1000 * line.slope,
        1000 * line.spread,
        line.intercept,
    )


def write_log(folder, length):
    """Write a log of claims."""
    storage = Storage(folder)
    entries = [
        Entry(index, 1, int(EntryKind.COMMAND), encode(make_claim(index)))
        for index in range(1, length + 1)
    ]
    for start in range(0, length, 500):
        storage.append(entries[start : start + 500])
    storage.close()


def time_start(folder):
    """Return the seconds to load a folder and apply its log."""
    began_at = time.perf_counter()
    storage = Storage(folder)
    machine = StateMachine()
    if storage.log.snapshot.last_index:
        machine.restore(storage.log.snapshot.data)
    for index in range(storage.log.first_index, storage.log.last_index + 1):
        entry = storage.log.get(index)
        machine.apply(entry.index, entry.term, decode(entry.data))
    seconds = time.perf_counter() - began_at
    storage.close()
    return seconds


def compact(folder):
    """Replace the log by a snapshot of the state."""
    storage = Storage(folder)
    machine = StateMachine()
    log = storage.log
    for index in range(log.first_index, log.last_index + 1):
        machine.apply(index, 1, decode(log.get(index).data))
    members = Members(("a/1",))
    snapshot = Snapshot(log.last_index, log.last_term, members, machine.snapshot())
    storage.save_snapshot(snapshot, [])
    storage.close()
