"""Follower side of replication: storing entries and snapshots of the leader."""

from banyanshore.consensus.elections import Elections
from banyanshore.consensus.log import Snapshot
from banyanshore.consensus.messages import AppendReply, EntryKind, SnapshotReply


class Following(Elections):
    """Message handlers of a follower."""

    def _on_append_request(self, now, request):
        if request.term < self.term:
            self._reply_append(request, False, self.log.last_index + 1)
            return
        self._follow(now, request)
        if (
            request.previous_index == 0
            and request.previous_term == 0
            and not (request.entries)
        ):
            self._reply_append(request, False, self.log.last_index + 1)
            return
        if not self._log_matches(request.previous_index, request.previous_term):
            self._reply_append(request, False, self._next_index_to_try(request))
            return
        self._store_entries(request.entries)
        match_index = request.previous_index + len(request.entries)
        self.commit_index = max(
            self.commit_index, min(request.commit_index, match_index)
        )
        self._reply_append(request, True, match_index)

    def _follow(self, now, request):
        self._become_follower(now, request.term, request.sender)
        self._leader_contact_at = now
        self._followed = request.sender
        self._reset_election_timer(now)

    def _log_matches(self, index, term):
        # Entries covered by the snapshot are committed, so every leader has them.
        return index < self.log.first_index - 1 or self.log.term_at(index) == term

    def _next_index_to_try(self, request):
        if request.previous_index > self.log.last_index:
            return self.log.last_index + 1
        term = self.log.term_at(request.previous_index)
        first = self.log.first_index_of_term(term, request.previous_index)
        return max(first, self.commit_index + 1)

    def _store_entries(self, entries):
        for entry in entries:
            if entry.index < self.log.first_index:
                continue
            known_term = self.log.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                self._truncate(entry.index)
            self.log.append(entry)
            if entry.kind == EntryKind.MEMBERS:
                self._adopt_members()

    def _truncate(self, index):
        assert index > self.commit_index, "a committed entry would be dropped"
        self.log.truncate_from(index)
        if index <= self._durable_index:
            earlier = self._truncate_from or index
            self._truncate_from = min(earlier, index)
            self._durable_index = index - 1
        self._adopt_members()

    def _reply_append(self, request, success, match_index):
        reply = AppendReply(
            self.term, self.member, success, match_index, request.round_number
        )
        self._send(request.sender, reply)

    def _on_snapshot_request(self, now, request):
        if request.term < self.term:
            self._reply_append(request, False, self.log.last_index + 1)
            return
        self._follow(now, request)
        if request.last_index <= self.commit_index:
            self._reply_append(request, True, self.commit_index)
            return
        next_offset = self._store_piece(request)
        reply = SnapshotReply(
            self.term,
            self.member,
            request.last_index,
            next_offset,
            request.round_number,
        )
        self._send(request.sender, reply)

    def _store_piece(self, request):
        key = (request.last_index, request.last_term)
        if self._snapshot_pieces is None or self._snapshot_pieces[0] != key:
            self._snapshot_pieces = (key, bytearray())
        buffer = self._snapshot_pieces[1]
        if request.offset == len(buffer):
            buffer += request.data
            if request.done:
                self._install_snapshot(request, bytes(buffer))
                self._snapshot_pieces = None
        return len(buffer)

    def _install_snapshot(self, request, data):
        snapshot = Snapshot(
            request.last_index, request.last_term, request.members, data
        )
        self.log.compact(snapshot)
        self._received_snapshot = snapshot
        self._truncate_from = 0
        self._durable_index = max(
            min(self._durable_index, self.log.last_index), snapshot.last_index
        )
        self.commit_index = max(self.commit_index, snapshot.last_index)
        self.applied_index = max(self.applied_index, snapshot.last_index)
        self._adopt_members()
