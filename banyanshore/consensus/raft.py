"""The consensus core: deterministic, without I/O.

The owner calls :meth:`Raft.tick` and :meth:`Raft.receive` with monotonic seconds and
gets the resulting work from :meth:`Raft.pop_ready`. It writes the durable part to
disk, only then sends the messages, and calls :meth:`Raft.mark_durable`.
"""

from banyanshore.consensus.following import Following
from banyanshore.consensus.leading import Leading
from banyanshore.consensus.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    JoinRequest,
    SnapshotReply,
    SnapshotRequest,
    TransferRequest,
    VoteReply,
    VoteRequest,
)
from banyanshore.consensus.types import HardState, RaftOptions, Ready, Role
from banyanshore.transport.codec import encode


class Raft(Leading, Following):
    """One member of the replicated log, with the rules of all roles."""

    def next_event_at(self):
        """Return the time at which :meth:`tick` must be called next."""
        if self.is_leader:
            return self.leadership.next_broadcast_at
        return self._election_at if self.is_voter else float("inf")

    def form(self, members, now):
        """Start the log with its first voters; the log must be empty."""
        assert self.log.last_index == 0
        self.term = max(self.term, 1)
        self._append(EntryKind.MEMBERS, encode(members))
        # There was no leader before, so nobody holds a lease. The first voter starts an
        # election at once.
        self._leader_contact_at = float("-inf")
        self._reset_election_timer(now)
        if self.member == members.voters[0]:
            self._election_at = now

    def tick(self, now):
        """Run what is due: heartbeats, elections, and stepping down."""
        if self.is_leader:
            self._tick_leader(now)
        elif self.is_voter and now >= self._election_at:
            self._start_pre_vote(now)

    def mark_durable(self, index):
        """Record that the entries up to an index are durable on this member's disk."""
        self._durable_index = min(index, self.log.last_index)
        if self.is_leader:
            self._advance_commit()

    def receive(self, now, message):
        """Handle a message of another member."""
        handler = _HANDLER_BY_MESSAGE[type(message)]
        term = getattr(message, "term", 0)
        if term > self.term and self._term_is_binding(message):
            self._become_follower(now, term)
        handler(self, now, message)

    def _term_is_binding(self, message):
        if isinstance(message, VoteRequest):
            return False
        return not (isinstance(message, VoteReply) and message.pre_vote)


_HANDLER_BY_MESSAGE = {
    VoteRequest: Raft._on_vote_request,
    VoteReply: Raft._on_vote_reply,
    TransferRequest: Raft._on_transfer_request,
    AppendRequest: Raft._on_append_request,
    AppendReply: Raft._on_append_reply,
    SnapshotRequest: Raft._on_snapshot_request,
    SnapshotReply: Raft._on_snapshot_reply,
    JoinRequest: Raft._on_join_request,
}
__all__ = ["HardState", "Raft", "RaftOptions", "Ready", "Role"]
