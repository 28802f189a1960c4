"""Leader side: lease, proposals, replication, reads and leadership transfer."""

from banyanshore.consensus.elections import Elections
from banyanshore.consensus.messages import (
    AppendRequest,
    EntryKind,
    Members,
    SnapshotRequest,
    TransferRequest,
)
from banyanshore.consensus.replication import (
    Leadership,
    PendingRead,
    Progress,
    build_append,
    build_snapshot_piece,
)
from banyanshore.consensus.types import FinishedRead, Role
from banyanshore.transport.codec import encode

# Number of entries that a learner may lack and still count as caught up.
CAUGHT_UP_ENTRIES = 64


def is_member_step(members, following):
    """Return whether a change of the members is safe as one entry of the log.

    A single voter may be added or removed. Any other change begins with an exchange, in
    which the former and the new voters decide together, and ends it with the new ones.

    >>> old, new = ("a/1", "b/1", "c/1"), ("a/2", "b/1", "c/1")
    >>> is_member_step(Members(old), Members(new))
    False
    >>> is_member_step(Members(old), Members(new, old))
    True
    >>> is_member_step(Members(new, old), Members(new))
    True
    >>> is_member_step(Members(new, old), Members(old))
    False
    """
    if not following.voters:
        return False
    if members.outgoing:
        return following == Members(members.voters)
    if following.outgoing:
        return following.outgoing == members.voters
    return len(set(following.voters) ^ set(members.voters)) == 1


class Leading(Elections):
    """Operations and message handlers of a leader."""

    def has_lease(self, now):
        """Return whether no other leader can exist at this time."""
        if not self.is_leader:
            return False
        return now < self._quorum_contact_at(now) + self.options.lease_seconds

    def propose(self, now, data, kind=EntryKind.COMMAND):
        """Append and return an entry, or return ``None`` if this member has no lease.

        All entries proposed before the next :meth:`pop_ready` are sent together.
        """
        if not self.has_lease(now):
            return None
        self._has_proposals = True
        return self._append(kind, data)

    def propose_members(self, now, members):
        """Append a change of the members; return its entry or ``None`` if refused.

        It is refused if it isn't one of the steps of :func:`is_member_step`, and while
        an earlier change or the first entry of this leader is not yet committed.
        """
        settled = self.commit_index >= max(
            self.members_index, self.leadership.first_index if self.leadership else 0
        )
        if not settled or not is_member_step(self.members, members):
            return None
        return self.propose(now, encode(members), EntryKind.MEMBERS)

    def is_caught_up(self, member):
        """Return whether a member lacks at most ``CAUGHT_UP_ENTRIES`` entries.

        Return ``False`` also if the leader doesn't replicate to the member.
        """
        progress = self.leadership and self.leadership.progress_by_member.get(member)
        if not progress or not progress.match_index:
            return False
        return progress.match_index + CAUGHT_UP_ENTRIES >= self.log.last_index > 0

    def read(self, now, context):
        """Start a linearizable read, whose result comes in :attr:`Ready.reads`.

        :param context: number that identifies the read in its :class:`FinishedRead`.
        """
        if not self.has_lease(now) or self.commit_index < self.leadership.first_index:
            self._reads.append(FinishedRead(context, -1))
            return
        self._broadcast(now, with_entries=False)
        pending = PendingRead(context, self.commit_index, self.leadership.round_number)
        self.leadership.pending_reads.append(pending)
        self._finish_reads()

    def transfer(self, now):
        """Hand leadership over to a voter that has the complete log, if there is one.

        Used before a planned stop and before this member is removed.
        """
        if not self.is_leader:
            return
        table = self.leadership.progress_by_member
        active_voters = [
            voter
            for voter in self.members.voters
            if voter != self.member
            and now - table[voter].last_contact_at < self.options.election_timeout
        ]
        if not active_voters:
            return
        best = max(active_voters, key=lambda voter: (table[voter].match_index, voter))
        if table[best].match_index == self.log.last_index:
            self._send(best, TransferRequest(self.term, self.member))
            # Votes for the successor ignore the lease, so this member steps down now.
            self._become_follower(now, self.term)

    def _become_leader(self, now):
        self.role = Role.LEADER
        self.leader = self.member
        self.leadership = Leadership(now, self.log.last_index + 1)
        # The votes were granted some time after the election began, so they don't
        # start the lease; the first acknowledged round does.
        for voter in self.members.everyone:
            if voter != self.member:
                self._add_progress(voter, now)
        former = self.leadership.progress_by_member.get(self._followed)
        if former is not None:
            # The former leader has been silent since before this election.
            former.last_contact_at = self._leader_contact_at
        self._followed = ""
        self._append(EntryKind.NO_OP, b"")
        self._broadcast(now, with_entries=True)

    def _tick_leader(self, now):
        last_contact_at = max(self._quorum_contact_at(now), self.leadership.started_at)
        if now > last_contact_at + 2 * self.options.election_timeout:
            self._become_follower(now, self.term)
            return
        if now >= self.leadership.next_broadcast_at:
            self.leadership.drop_silent_learners(self.members, now)
            self._broadcast(now, with_entries=True)

    def _quorum_contact_at(self, now):
        return self.leadership.quorum_value(self.members, self.member, now, "acked_at")

    def _add_progress(self, member, now):
        table = self.leadership.progress_by_member
        table[member] = Progress(self.log.last_index + 1, last_contact_at=now)

    def _broadcast(self, now, with_entries):
        leadership = self.leadership
        leadership.start_round(now)
        leadership.next_broadcast_at = now + self.options.heartbeat_interval
        for voter in self.members.everyone:
            if voter != self.member and voter not in leadership.progress_by_member:
                self._add_progress(voter, now)
        for member in leadership.progress_by_member:
            self._replicate(now, member, with_entries)

    def _before_ready(self, now):
        if self._has_proposals and self.is_leader:
            self._replicate_proposals(now)
        self._has_proposals = False

    def _replicate_proposals(self, now):
        for member, progress in self.leadership.progress_by_member.items():
            if now >= progress.awaiting_until:
                self._replicate(now, member, with_entries=True)

    def _replicate(self, now, member, with_entries):
        progress = self.leadership.progress_by_member[member]
        may_send_data = with_entries and now >= progress.awaiting_until
        round_number = self.leadership.round_number
        request = build_append(
            self.log,
            self.term,
            self.member,
            progress,
            self.commit_index,
            round_number,
            may_send_data,
        )
        if request is None and may_send_data:
            request = build_snapshot_piece(
                self.log, self.term, self.member, progress, round_number
            )
        elif request is None:
            # A heartbeat at index 0 confirms no entries but shows that a leader exists.
            request = AppendRequest(self.term, self.member, 0, 0, (), 0, round_number)
        carries_data = isinstance(request, SnapshotRequest) or request.entries
        if carries_data:
            progress.awaiting_until = now + 4 * self.options.heartbeat_interval
        self._send(member, request)

    def is_replicated(self, index):
        """Return whether all members that this leader sends entries have them.

        :param index: index of the last entry; ``True`` for a member that doesn't lead.
        """
        if self.leadership is None:
            return True
        progress = self.leadership.progress_by_member.values()
        return all(row.match_index >= index for row in progress)

    def _on_append_reply(self, now, reply):
        progress = self._progress_of(reply)
        if progress is None:
            return
        self.leadership.record_reply(reply.sender, reply.round_number, now)
        if reply.success:
            if reply.match_index > progress.match_index:
                progress.match_index = reply.match_index
                progress.awaiting_until = float("-inf")
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        elif progress.match_index < reply.match_index < progress.next_index:
            progress.next_index = reply.match_index
            progress.awaiting_until = float("-inf")
        self._advance_commit()
        self._finish_reads()
        if progress.next_index <= self.log.last_index and (
            now >= progress.awaiting_until
        ):
            self._replicate(now, reply.sender, with_entries=True)

    def _on_snapshot_reply(self, now, reply):
        progress = self._progress_of(reply)
        if progress is None:
            return
        self.leadership.record_reply(reply.sender, reply.round_number, now)
        self._finish_reads()
        if reply.last_index != progress.snapshot_index:
            return
        if reply.next_offset >= len(self.log.snapshot.data):
            progress.match_index = max(progress.match_index, reply.last_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit()
        elif reply.next_offset == progress.snapshot_offset:
            # A duplicate reply must not start a second stream of pieces.
            return
        progress.snapshot_offset = reply.next_offset
        progress.awaiting_until = float("-inf")
        self._replicate(now, reply.sender, with_entries=True)

    def _progress_of(self, reply):
        if not self.is_leader or reply.term != self.term:
            return None
        return self.leadership.progress_by_member.get(reply.sender)

    def _advance_commit(self):
        quorum_index = self.leadership.quorum_value(
            self.members, self.member, self._durable_index, "match_index"
        )
        # Only entries of the leader's own term are committed by counting replicas.
        if (
            quorum_index > self.commit_index
            and self.log.term_at(quorum_index) == self.term
        ):
            self.commit_index = quorum_index
            # Send the commit index at the next tick, not with the next heartbeat.
            self.leadership.next_broadcast_at = float("-inf")

    def _finish_reads(self):
        leadership = self.leadership
        quorum_round = leadership.quorum_value(
            self.members, self.member, leadership.round_number, "acked_round"
        )
        still_pending = []
        for read in leadership.pending_reads:
            if quorum_round >= read.round_number:
                self._reads.append(FinishedRead(read.context, read.index))
            else:
                still_pending.append(read)
        leadership.pending_reads = still_pending

    def _fail_reads(self):
        for read in self.leadership.pending_reads:
            self._reads.append(FinishedRead(read.context, -1))

    def _on_join_request(self, now, request):
        if not self.is_leader:
            return
        progress = self.leadership.progress_by_member.get(request.sender)
        if progress is None:
            self._add_progress(request.sender, now)
            self._replicate(now, request.sender, with_entries=True)
        elif request.sender not in self.members.everyone:
            # Only replies count for a voter: one that the leader can't reach is silent.
            progress.last_contact_at = now
