"""Run the consensus core of one instance: timers, disk, network, state machine.

A single task owns the core. In each iteration it passes the queued messages and
requests to the core, writes the core's output to disk in a worker thread, and only then
sends messages and applies entries. Proposals that arrive meanwhile are handled together
in the next iteration and share one sync to disk.
"""

import logging
import random
import time

import anyio

from banyanshore.consensus.formation import Formation
from banyanshore.consensus.log import Snapshot
from banyanshore.consensus.log_clock import LogClock
from banyanshore.consensus.messages import (
    EntryKind,
    FormationStatus,
    JoinRequest,
    instance_of,
)
from banyanshore.consensus.proposals import (
    Proposal,
    PublishedRead,
    QueuedRead,
    Transfer,
    VersionRead,
    Waiter,
)
from banyanshore.consensus.raft import Raft, RaftOptions, Ready
from banyanshore.consensus.repair import (
    find_learners,
    find_silent_seconds,
    next_members,
    next_voter_instances,
    should_hand_over,
)
from banyanshore.consensus.rpc import RaftMessage
from banyanshore.consensus.storage import StorageError
from banyanshore.consensus.waiters import Waiters
from banyanshore.core.exceptions import NotAcceptedError, OutcomeUnknownError
from banyanshore.core.values import dataclass
from banyanshore.state.commands import TimedCommand
from banyanshore.transport.codec import decode, encode

logger = logging.getLogger(__name__)

# Seconds between the messages of a member whose log is not formed or that has no vote.
JOIN_INTERVAL = 0.3


@dataclass(frozen=True)
class NodeStatus:
    """Status of a member in the status document for operators.

    :param voters: voters of the last accepted change. A later one may be lost with the
        leader that proposed it.
    """

    member: str
    role: str
    term: int
    leader: str
    voters: tuple
    last_index: int
    commit_index: int
    failure: str


class ConsensusNode:
    """The member of the replicated log that runs in this instance.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param storage: the :class:`~banyanshore.consensus.storage.Storage`.
    :param machine: the state machine, in its initial state.
    :param send: async callable given an instance and the :class:`RaftMessage` to send.
    :param on_applied: callable called after commands were applied.
    :param find_instances: callable that returns the other instances that may become
        members, or ``None`` if the settings name the voters. Any of these instances may
        replace a lost voter.
    """

    def __init__(
        self, settings, storage, machine, send, on_applied, find_instances=None
    ):
        self._settings = settings.consensus
        self._instance = settings.instance
        self._voter_instances = [
            peer.instance for peer in settings.entries if peer.voter
        ]
        self._find_instances = find_instances
        self._storage = storage
        self._machine = machine
        self._send = send
        self._on_applied = on_applied
        self._inbox_sender, self._inbox = anyio.create_memory_object_stream(10_000)
        self._waiters = Waiters()
        self._next_join_at = 0.0
        self._next_repair_at = 0.0
        self._failure = ""
        if storage.log.snapshot.last_index:
            machine.restore(storage.log.snapshot.data)
        member = f"{self._instance}/{storage.disk_id}"
        self.raft = Raft(
            RaftOptions(
                self._settings.election_timeout,
                self._settings.heartbeat_interval,
                self._settings.clock_skew,
            ),
            member,
            storage.hard_state,
            storage.log,
            random.Random(member + str(time.time_ns())),
            time.monotonic(),
        )
        self._formation = Formation(member, self._voter_instances)
        self._clock = LogClock()

    @property
    def leader_instance(self):
        """Return the instance of the known leader, or an empty string."""
        return instance_of(self.raft.leader)

    def status(self):
        """Return the :class:`NodeStatus`."""
        raft = self.raft
        accepted_members, _ = raft.log.members_at(raft.commit_index)
        return NodeStatus(
            raft.member,
            "failed" if self._failure else raft.role.value,
            raft.term,
            self.leader_instance,
            # The former voters are needed until the exchange has ended.
            accepted_members.outgoing or accepted_members.voters,
            raft.log.last_index,
            raft.commit_index,
            self._failure,
        )

    async def receive(self, message):
        """Queue a :class:`RaftMessage` of another instance for the core."""
        if self._failure or message.to not in ("", self.raft.member):
            return
        await self._inbox_sender.send(message.body)

    async def propose(self, command, timeout):
        """Propose a command; return its outcome once it is committed and applied.

        :raises NotAcceptedError: the command was not accepted and never will be.
        :raises OutcomeUnknownError: the command may or may not be accepted.
        """
        waiter = Waiter(anyio.Event())
        self._check_running("propose")
        await self._inbox_sender.send(Proposal(command, waiter))
        return await self._wait(waiter, timeout, "propose")

    async def read(self, timeout):
        """Return the published state, linearizably."""
        return await self._read(PublishedRead, timeout)

    async def read_version(self, timeout):
        """Return the number of the current version, linearizably."""
        return await self._read(VersionRead, timeout)

    async def _read(self, kind, timeout):
        waiter = Waiter(anyio.Event())
        self._check_running("read")
        await self._inbox_sender.send(kind(waiter))
        return await self._wait(waiter, timeout, "read")

    async def transfer_leadership(self):
        """Hand leadership over before a planned stop, if this member leads."""
        if self.raft.is_leader and not self._failure:
            waiter = Waiter(anyio.Event())
            await self._inbox_sender.send(Transfer(waiter))
            await self._wait(waiter, self._settings.proposal_timeout, "transfer")

    async def run(self):
        """Run the member until cancelled, or until its disk fails."""
        try:
            if self.raft.log.last_index == 0:
                self._form(self._formation.decide())
            while True:
                await self._run_once()
        except StorageError as error:
            self._failure = str(error)
            logger.critical("this instance stops voting: %s", error)
            self._fail_waiters()
        finally:
            self._storage.close()

    def _check_running(self, step):
        if self._failure:
            raise NotAcceptedError(f"the log has stopped: {self._failure}", step=step)

    async def _wait(self, waiter, timeout, step):
        with anyio.move_on_after(timeout):
            await waiter.done.wait()
        if not waiter.done.is_set():
            raise OutcomeUnknownError(f"no quorum within {timeout:g} s", step=step)
        if waiter.error is not None:
            raise waiter.error
        return waiter.outcome

    async def _run_once(self):
        now = time.monotonic()
        next_at = min(
            self.raft.next_event_at(), self._next_join_at, self._next_repair_at
        )
        with anyio.move_on_after(max(0.0, next_at - now)):
            self._handle(await self._inbox.receive())
        while True:
            try:
                self._handle(self._inbox.receive_nowait())
            except anyio.WouldBlock:
                break
        now = time.monotonic()
        self.raft.tick(now)
        await self._send_join_messages(now)
        self._change_members(now)
        await self._process_ready()

    def _handle(self, item):
        now = time.monotonic()
        if isinstance(item, Proposal):
            self._start_proposal(now, item)
        elif isinstance(item, QueuedRead):
            self.raft.read(now, self._waiters.add_read(item))
        elif isinstance(item, Transfer):
            self.raft.transfer(now)
            item.waiter.resolve()
        elif isinstance(item, FormationStatus):
            if self.raft.log.last_index == 0:
                self._form(self._formation.receive(item))
        else:
            self.raft.receive(now, item)

    def _form(self, members):
        if members is not None:
            logger.info("forming the log", extra={"voters": list(members.voters)})
            self.raft.form(members, time.monotonic())

    def _start_proposal(self, now, proposal):
        if self.raft.is_leader:
            # Without an entry, which would cross the links to all voters in vain.
            outcome = self._machine.find_outcome(proposal.command)
            if outcome is not None:
                proposal.waiter.resolve(outcome)
                return
        at = self._clock.read(now, self.raft.term, self._machine.now)
        data = encode(TimedCommand(at, proposal.command))
        entry = self.raft.propose(now, data)
        if entry is None:
            error = NotAcceptedError(
                "this instance does not lead a quorum", step="propose"
            )
            proposal.waiter.resolve(error=error)
            return
        self._waiters.add_proposal(entry, proposal.waiter)

    async def _send_join_messages(self, now):
        if now < self._next_join_at:
            return
        self._next_join_at = now + JOIN_INTERVAL
        if self.raft.is_voter and self.raft.commit_index > 1:
            # The log has been formed, so the other voters can learn of it later.
            self._next_join_at = now + 10 * JOIN_INTERVAL
        instances = set(self._voter_instances)
        if self._find_instances is not None:
            instances.update(self._find_instances())
        for instance in sorted(instances - {self._instance}):
            await self._send(
                instance, RaftMessage("", self._formation.status(self.raft))
            )
            if self.raft.needs_join_request:
                await self._send(
                    instance, RaftMessage("", JoinRequest(self.raft.member))
                )

    def _change_members(self, now):
        # An exchange is ended as soon as it is committed.
        if now < self._next_repair_at and not self.raft.members.outgoing:
            return
        self._next_repair_at = now + self._settings.heartbeat_interval
        voter_instances = self._voter_instances
        if self._find_instances is not None:
            voter_count = 2 * self._settings.tolerated_losses + 1
            voter_instances = next_voter_instances(self.raft, now, voter_count)
        if should_hand_over(self.raft, voter_instances):
            logger.info("handing leadership over: this instance will lose its vote")
            self.raft.transfer(now)
        members = next_members(self.raft, now, voter_instances)
        if members and self.raft.propose_members(now, members):
            logger.info("changing voters", extra=self._explain_change(now, members))

    def _explain_change(self, now, members):
        """Return the fields of the log record of a change of the members."""
        return {
            "voters": list(members.voters),
            "outgoing": list(members.outgoing),
            "silent_s": {
                member: round(seconds, 3)
                for member, seconds in find_silent_seconds(self.raft, now).items()
            },
            "learners": [row.member for row in find_learners(self.raft, now)],
        }

    async def _process_ready(self):
        while True:
            ready = self.raft.pop_ready(time.monotonic())
            if ready.is_empty:
                return
            last_index = self.raft.log.last_index
            if ready.hard_state or ready.snapshot or ready.entries:
                await anyio.to_thread.run_sync(self._save, ready)
            self.raft.mark_durable(last_index)
            for envelope in ready.messages:
                instance = instance_of(envelope.to)
                await self._send(instance, RaftMessage(envelope.to, envelope.message))
            self._apply(ready)
            await self._compact()

    def _save(self, ready: Ready):
        if ready.hard_state:
            self._storage.save_hard_state(ready.hard_state)
        if ready.snapshot:
            self._storage.save_snapshot(ready.snapshot, self._entries_in_memory())
            return
        if ready.truncate_from:
            self._storage.truncate_from(ready.truncate_from)
        self._storage.append(ready.entries)

    def _entries_in_memory(self):
        log = self.raft.log
        return [log.get(i) for i in range(log.first_index, log.last_index + 1)]

    def _apply(self, ready):
        if ready.snapshot:
            self._machine.restore(ready.snapshot.data)
        for entry in ready.committed:
            outcome = None
            if entry.kind == EntryKind.COMMAND:
                outcome = self._machine.apply(
                    entry.index, entry.term, decode(entry.data)
                )
            self._waiters.finish_entry(entry, outcome)
        for read in ready.reads:
            self._waiters.finish_read(read, self._machine)
        if ready.snapshot or ready.committed:
            self._on_applied()

    async def _compact(self):
        log = self.raft.log
        index = self.raft.applied_index
        if not self._must_compact(log, index):
            return
        members, _ = log.members_at(index)
        snapshot = Snapshot(
            index, log.term_at(index), members, self._machine.snapshot()
        )
        self.raft.compact(snapshot)
        # The rewritten log file holds only the entries that were already durable; the
        # later ones are appended as usual with the next Ready.
        durable = [
            entry for entry in self._entries_in_memory() if self.raft.is_durable(entry)
        ]
        await anyio.to_thread.run_sync(self._storage.save_snapshot, snapshot, durable)

    def _must_compact(self, log, index):
        """Return whether a snapshot has to replace the entries up to an index.

        Load pattern: each of many changes carries a large declaration. The log would
        fill the disks of all voters at once. A member that lags behind a snapshot is
        sent the snapshot in place of the few entries that it lacks.
        """
        settings = self._settings
        if index - log.snapshot.last_index >= settings.snapshot_every_entries:
            return True
        # Writing a snapshot must not cost more than writing the entries that it
        # replaces.
        limit = max(settings.snapshot_every_bytes, 2 * len(log.snapshot.data))
        if index == log.snapshot.last_index or log.data_bytes < limit:
            return False
        return log.data_bytes >= 2 * limit or self.raft.is_replicated(index)

    def _fail_waiters(self):
        self._waiters.fail_all(
            OutcomeUnknownError(f"the log has stopped: {self._failure}")
        )
        while True:
            try:
                item = self._inbox.receive_nowait()
            except anyio.WouldBlock:
                return
            if isinstance(item, (Proposal, QueuedRead)):
                item.waiter.resolve(error=NotAcceptedError("the log has stopped"))
