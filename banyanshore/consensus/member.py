"""State of a member in any role, and the output for its owner."""

import abc

from banyanshore.consensus.messages import Entry, EntryKind
from banyanshore.consensus.types import Envelope, HardState, Ready, Role

# Shortest and longest delay of an election after a split vote, in election timeouts.
RETRY_SPREAD = (0.3, 1.0)


class Member(abc.ABC):
    """One member of the replicated log; the rules of each role are in subclasses.

    :param options: the :class:`~banyanshore.consensus.types.RaftOptions`.
    :param member: own name, ``INSTANCE/DISK``.
    :param hard_state: the :class:`~banyanshore.consensus.types.HardState` on disk.
    :param log: the :class:`~banyanshore.consensus.log.Log` on disk.
    :param random: random number generator for election timeouts.
    :param now: monotonic seconds.
    """

    def __init__(self, options, member, hard_state, log, random, now):
        self.options = options
        self.member = member
        self.log = log
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = log.snapshot.last_index
        self.applied_index = log.snapshot.last_index
        self.leadership = None
        self.members, self.members_index = log.members_at(log.last_index)
        self._random = random
        # A restarted member doesn't know when it last received a message from a
        # leader, and assumes that this was just now: a lease may still be running.
        self._leader_contact_at = now
        # The leader that this member followed last, until it leads itself.
        self._followed = ""
        self._election_at = 0.0
        self._votes = set()
        self._durable_index = log.last_index
        self._saved_hard_state = hard_state
        self._truncate_from = 0
        self._received_snapshot = None
        self._snapshot_pieces = None
        self._has_proposals = False
        self._messages = []
        self._reads = []
        self._reset_election_timer(now)

    @property
    def is_leader(self):
        """Return whether this member leads its term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self):
        """Return whether this member is a voter according to its own log."""
        return self.member in self.members.everyone

    @property
    def needs_join_request(self):
        """Return whether this member has to ask a leader for replication.

        That includes a voter without a leader: it may have been removed while it was
        partitioned, and then its own log still lists it as a voter.
        """
        return not self.is_voter or not self.leader

    def compact(self, snapshot):
        """Replace applied entries by a snapshot of the resulting state."""
        self.log.compact(snapshot)

    def is_durable(self, entry):
        """Return whether an entry is known to be durable on this member's disk."""
        return entry.index <= self._durable_index

    def pop_ready(self, now):
        """Return the pending work as a :class:`Ready` and clear it."""
        self._before_ready(now)
        hard_state = HardState(self.term, self.voted_for)
        changed = hard_state if hard_state != self._saved_hard_state else None
        self._saved_hard_state = hard_state
        first_new = min(self._durable_index, self.log.last_index) + 1
        if self._truncate_from:
            first_new = min(first_new, self._truncate_from)
        first_new = max(first_new, self.log.first_index)
        entries = tuple(
            self.log.get(index) for index in range(first_new, self.log.last_index + 1)
        )
        committed = tuple(
            self.log.get(index)
            for index in range(self.applied_index + 1, self.commit_index + 1)
        )
        ready = Ready(
            changed,
            self._received_snapshot,
            self._truncate_from,
            entries,
            tuple(self._messages),
            committed,
            tuple(self._reads),
        )
        self.applied_index = self.commit_index
        self._received_snapshot = None
        self._truncate_from = 0
        self._messages = []
        self._reads = []
        return ready

    def _reset_election_timer(self, now):
        timeout = self.options.election_timeout
        self._election_at = now + timeout * (1 + self._random.random())

    def _set_retry_timer(self, now):
        """Schedule the next election of a candidate.

        No leader can have a lease, so a split vote is repeated sooner than the first
        election; the delays are spread so that two candidates don't split it again.
        """
        delay = self.options.election_timeout * self._random.uniform(*RETRY_SPREAD)
        self._election_at = now + delay

    def _append(self, kind, data):
        entry = Entry(self.log.last_index + 1, self.term, int(kind), data)
        self.log.append(entry)
        if kind == EntryKind.MEMBERS:
            self._adopt_members()
        return entry

    def _adopt_members(self):
        self.members, self.members_index = self.log.members_at(self.log.last_index)

    @abc.abstractmethod
    def has_lease(self, now):
        """Return whether no other leader can exist at this time."""

    @abc.abstractmethod
    def _become_leader(self, now):
        """Become the leader of the current term."""

    @abc.abstractmethod
    def _fail_reads(self):
        """Fail the pending reads because this member is no longer the leader."""

    @abc.abstractmethod
    def _before_ready(self, now):
        """Queue messages that go out with the next :class:`Ready`."""

    def _send(self, member, message):
        self._messages.append(Envelope(member, message))
