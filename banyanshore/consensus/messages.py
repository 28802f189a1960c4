"""Messages between members, and the entries of the log.

A member is named ``INSTANCE/DISK``. An instance that comes back with an empty disk is a
new member without a vote, because it has lost its log and the votes that it cast.
"""

import enum

from banyanshore.transport.codec import message


class EntryKind(enum.IntEnum):
    """Kind of a log entry."""

    COMMAND = 0
    NO_OP = 1
    MEMBERS = 2


@message(20)
class Entry:
    """One entry of the log.

    :param data: an encoded command, or an encoded :class:`Members`.
    """

    index: int
    term: int
    kind: int
    data: bytes


@message(21)
class Members:
    """The voters, sorted by name.

    While a voter is exchanged for another one, each decision needs a majority of the
    voters before the exchange and a majority of those after it (joint consensus).

    :param outgoing: voters before the exchange; empty while there is none.
    """

    voters: tuple
    outgoing: tuple = ()

    @property
    def everyone(self):
        """Return the voters before and after the exchange, sorted by name.

        >>> Members(("a/2", "b/1"), ("a/1", "b/1")).everyone
        ('a/1', 'a/2', 'b/1')
        """
        if not self.outgoing:
            return self.voters
        return tuple(sorted({*self.voters, *self.outgoing}))

    def has_quorum(self, granted):
        """Return whether a set of members can decide.

        >>> Members(("a/2", "b/1", "c/1"), ("a/1", "b/1", "c/1")).has_quorum(
        ...     {"a/2", "b/1"}
        ... )
        False
        """
        return self.quorum_value(dict.fromkeys(granted, 1), 0) == 1

    def quorum_value(self, value_by_member, default):
        """Return the greatest value that members who can decide have reached.

        :param default: value of members that aren't listed.

        >>> Members(("a/1", "b/1", "c/1")).quorum_value({"a/1": 7, "b/1": 5}, 0)
        5
        """
        groups = (self.voters, self.outgoing) if self.outgoing else (self.voters,)
        return min(_majority_value(group, value_by_member, default) for group in groups)


def _majority_value(group, value_by_member, default):
    if not group:
        return default
    values = sorted(value_by_member.get(member, default) for member in group)
    return values[(len(values) - 1) // 2]


@message(22)
class VoteRequest:
    """Ask for a vote, or with ``pre_vote`` whether a vote would be granted.

    :param transfer: whether the leader itself asked for this election, so that its
        lease doesn't prevent the vote.
    """

    term: int
    sender: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


@message(23)
class VoteReply:
    """Answer a :class:`VoteRequest`.

    :param term: term of the request if granted, otherwise the sender's own term.
    """

    term: int
    sender: str
    granted: bool
    pre_vote: bool


@message(24)
class AppendRequest:
    """Replicate entries, or send a heartbeat if there are none.

    :param round_number: number of the leader's broadcast, echoed in the reply.
    """

    term: int
    sender: str
    previous_index: int
    previous_term: int
    entries: tuple
    commit_index: int
    round_number: int


@message(25)
class AppendReply:
    """Answer an :class:`AppendRequest` or a :class:`SnapshotRequest`.

    :param match_index: index up to which the logs match if ``success``, otherwise the
        next index to try.
    """

    term: int
    sender: str
    success: bool
    match_index: int
    round_number: int


@message(26)
class SnapshotRequest:
    """Carry one piece of a snapshot to a member whose next entries were compacted.

    :param offset: position of ``data`` in the snapshot, in bytes.
    :param done: whether this is the last piece.
    """

    term: int
    sender: str
    last_index: int
    last_term: int
    members: Members
    offset: int
    data: bytes
    done: bool
    round_number: int


@message(27)
class SnapshotReply:
    """Acknowledge the first ``next_offset`` bytes of a snapshot."""

    term: int
    sender: str
    last_index: int
    next_offset: int
    round_number: int


@message(28)
class JoinRequest:
    """Ask the leader to replicate to the sender, usually a member without a vote."""

    sender: str


@message(29)
class TransferRequest:
    """Ask a voter with a complete log to start an election immediately."""

    term: int
    sender: str


@message(30)
class FormationStatus:
    """Report to the other instances whether the sender already has a log.

    :param members: ``None`` while the sender's log is empty; the first members, or none
        once they have changed.
    """

    sender: str
    members: Members | None


def instance_of(member):
    """Return the instance part of a member name.

    >>> instance_of("entry-1/5f0c")
    'entry-1'
    """
    return member.partition("/")[0]
