"""Leader election: pre-vote, votes, and stepping down."""

from banyanshore.consensus.member import RETRY_SPREAD, Member
from banyanshore.consensus.messages import VoteReply, VoteRequest
from banyanshore.consensus.types import Role


class Elections(Member):
    """Message handlers and transitions of candidates and voters."""

    def _start_pre_vote(self, now):
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self._votes = {self.member}
        self._set_retry_timer(now)
        self._ask_for_votes(self.term + 1, pre_vote=True)
        self._count_votes(now)

    def _start_election(self, now, transfer=False):
        self.role = Role.CANDIDATE
        self.leader = ""
        self.term += 1
        self.voted_for = self.member
        self._votes = {self.member}
        self._set_retry_timer(now)
        self._ask_for_votes(self.term, pre_vote=False, transfer=transfer)
        self._count_votes(now)

    def _ask_for_votes(self, term, pre_vote, transfer=False):
        request = VoteRequest(
            term,
            self.member,
            self.log.last_index,
            self.log.last_term,
            pre_vote,
            transfer,
        )
        for voter in self.members.everyone:
            if voter != self.member:
                self._send(voter, request)

    def _count_votes(self, now):
        if not self.members.has_quorum(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now)
        else:
            self._become_leader(now)

    def _on_vote_request(self, now, request):
        granted = self._may_vote(now, request)
        if granted and not request.pre_vote:
            if request.term > self.term:
                self._become_follower(now, request.term)
            self.voted_for = request.sender
            self._reset_election_timer(now)
        elif granted:
            self._yield_to_candidate(now)
        term = request.term if granted else self.term
        self._send(
            request.sender, VoteReply(term, self.member, granted, request.pre_vote)
        )

    def _yield_to_candidate(self, now):
        """Delay an own candidacy, so that it doesn't split the vote."""
        if self.role is Role.PRE_CANDIDATE:
            self.role = Role.FOLLOWER
        delay = RETRY_SPREAD[0] * self.options.election_timeout
        self._election_at = max(self._election_at, now + delay)

    def _may_vote(self, now, request):
        if request.term < self.term:
            return False
        if not request.transfer and self._leader_may_have_lease(now):
            return False
        own_log = (self.log.last_term, self.log.last_index)
        candidate_log = (request.last_term, request.last_index)
        if candidate_log < own_log:
            return False
        if request.pre_vote:
            # Of two candidates with the same log only one yields to the other.
            is_rival = self.role is Role.PRE_CANDIDATE and candidate_log == own_log
            yields = not is_rival or request.sender < self.member
            return yields and request.term > self.term
        if request.term == self.term:
            return self.voted_for in ("", request.sender) and not self.is_leader
        return True

    def _leader_may_have_lease(self, now):
        if self.is_leader:
            return self.has_lease(now)
        return now < self._leader_contact_at + self.options.election_timeout

    def _on_vote_reply(self, now, reply):
        expected = {
            Role.PRE_CANDIDATE: (True, self.term + 1),
            Role.CANDIDATE: (False, self.term),
        }.get(self.role)
        if expected == (reply.pre_vote, reply.term) and reply.granted:
            self._votes.add(reply.sender)
            self._count_votes(now)
        elif reply.term > self.term and not reply.granted:
            self._become_follower(now, reply.term)

    def _on_transfer_request(self, now, request):
        if request.term == self.term and self.is_voter and not self.is_leader:
            self._start_election(now, transfer=True)

    def _become_follower(self, now, term, leader=""):
        if self.is_leader:
            self._fail_reads()
            self._reset_election_timer(now)
        self.role = Role.FOLLOWER
        self.leadership = None
        self.leader = leader
        if term > self.term:
            self.term = term
            self.voted_for = ""
