"""Replication state of a leader: progress of followers, rounds and pending reads."""

from dataclasses import field

from banyanshore.consensus.messages import AppendRequest, SnapshotRequest
from banyanshore.core.values import dataclass

# Largest size in bytes of the entries in one message.
MAX_APPEND_BYTES = 256 * 1024
# Size in bytes of a snapshot piece in one message.
SNAPSHOT_PIECE_BYTES = 32 * 1024
# Seconds without contact after which a leader stops replicating to a learner.
LEARNER_EXPIRY = 10.0


@dataclass
class Progress:
    """Progress of the replication to one member.

    :param acked_at: time at which the latest acknowledged round was sent.
    :param last_contact_at: time of the last contact.
    :param awaiting_until: time until which only heartbeats are sent, because the reply
        to entries or to a snapshot piece is outstanding.
    :param snapshot_index: last index of the snapshot that is being sent.
    :param snapshot_offset: next byte of that snapshot to send.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    acked_at: float = float("-inf")
    last_contact_at: float = float("-inf")
    awaiting_until: float = float("-inf")
    snapshot_index: int = 0
    snapshot_offset: int = 0


@dataclass(frozen=True)
class PendingRead:
    """A read that waits until a quorum has acknowledged a round."""

    context: int
    index: int
    round_number: int


@dataclass
class Leadership:
    """State of a leader during one term.

    :param first_index: index of the first entry of the term.
    :param sent_at_by_round: time at which each round was sent, oldest first.
    """

    started_at: float
    first_index: int
    round_number: int = 0
    next_broadcast_at: float = float("-inf")
    progress_by_member: dict = field(default_factory=dict)
    sent_at_by_round: dict = field(default_factory=dict)
    pending_reads: list = field(default_factory=list)

    def start_round(self, now):
        """Start a new broadcast round and record its time."""
        self.round_number += 1
        self.sent_at_by_round[self.round_number] = now
        if len(self.sent_at_by_round) > 1000:
            del self.sent_at_by_round[next(iter(self.sent_at_by_round))]

    def record_reply(self, member, round_number, now):
        """Record the contact with a member and the round that it has acknowledged."""
        progress = self.progress_by_member[member]
        progress.last_contact_at = now
        if round_number > progress.acked_round:
            sent_at = self.sent_at_by_round.get(round_number)
            progress.acked_round = round_number
            if sent_at is not None:
                progress.acked_at = max(progress.acked_at, sent_at)

    def quorum_value(self, members, own_member, own_value, attribute):
        """Return the greatest value that a quorum of the voters has reached.

        :param own_value: value of the leader, if it is a voter.
        :param attribute: attribute of :class:`Progress` with the other voters' values.
        """
        value_by_member = {
            member: getattr(progress, attribute)
            for member, progress in self.progress_by_member.items()
        }
        value_by_member[own_member] = own_value
        return members.quorum_value(value_by_member, float("-inf"))

    def drop_silent_learners(self, members, now):
        """Drop learners without contact for more than ``LEARNER_EXPIRY`` seconds."""
        for member, progress in list(self.progress_by_member.items()):
            silent = now - progress.last_contact_at > LEARNER_EXPIRY
            if member not in members.everyone and silent:
                del self.progress_by_member[member]


def build_append(log, term, sender, progress, commit_index, round_number, with_entries):
    """Return the next :class:`AppendRequest` for a member.

    :return: ``None`` if the entries for the member were compacted and it needs a
        snapshot.
    """
    previous_index = progress.next_index - 1
    previous_term = log.term_at(previous_index)
    if previous_term is None:
        return None
    entries = ()
    if with_entries and progress.next_index <= log.last_index:
        entries = log.slice(progress.next_index, log.last_index, MAX_APPEND_BYTES)
    return AppendRequest(
        term, sender, previous_index, previous_term, entries, commit_index, round_number
    )


def build_snapshot_piece(log, term, sender, progress, round_number):
    """Return the next piece of the log's snapshot for a member."""
    snapshot = log.snapshot
    if progress.snapshot_index != snapshot.last_index:
        progress.snapshot_index = snapshot.last_index
        progress.snapshot_offset = 0
    offset = progress.snapshot_offset
    data = snapshot.data[offset : offset + SNAPSHOT_PIECE_BYTES]
    return SnapshotRequest(
        term,
        sender,
        snapshot.last_index,
        snapshot.last_term,
        snapshot.members,
        offset,
        data,
        offset + len(data) >= len(snapshot.data),
        round_number,
    )
