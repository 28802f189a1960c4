"""Plan the replacement of lost voters and other changes of the voters.

A voter is replaced by the same instance with a new disk, or by another instance.
"""

from banyanshore.consensus.messages import Members, instance_of
from banyanshore.core.values import dataclass

# Seconds without contact after which another instance may replace a voter.
REPLACE_AFTER = 2.0
# Seconds without contact after which a member is taken for absent: a few heartbeats.
# A learner is then not made a voter, and a voter is replaced by its own instance, which
# has joined with a new disk.
ABSENT_AFTER = 0.6


@dataclass(frozen=True)
class Learner:
    """A member without a vote that the leader replicates to.

    :param is_caught_up: whether it can become a voter now.
    """

    member: str
    is_caught_up: bool


def plan_member_change(members, learners, voter_instances, silent_seconds_by_member):
    """Return the members after the next change, or ``None``.

    A voter that is to be replaced is exchanged for its successor, and until the
    exchange is committed the majority of before decides as well. An addition before the
    removal would need the successor for each decision in between, so a deployment that
    tolerates one loss could not bear the loss of the successor as well. A removal
    before the addition would lose the quorum with the next voter that fails.

    :param learners: the :class:`Learner` rows, in any order.
    :param voter_instances: instances that should have a vote.
    :param silent_seconds_by_member: seconds since the last contact with each voter.
    """
    if members.outgoing:
        return Members(members.voters)
    absent = {
        voter
        for voter in members.voters
        if silent_seconds_by_member.get(voter, 0.0) > ABSENT_AFTER
    }
    voters_by_instance = {}
    for voter in members.voters:
        voters_by_instance.setdefault(instance_of(voter), []).append(voter)
    superseded = [
        voter
        for voter in members.voters
        if voter in absent and len(voters_by_instance[instance_of(voter)]) > 1
    ]
    if superseded:
        # A log of an earlier version, which added a new disk before it removed the old
        # one.
        return _without(members, superseded[0])
    unwanted = [
        voter for voter in members.voters if instance_of(voter) not in voter_instances
    ]
    for learner in sorted(learners, key=lambda item: item.member):
        instance = instance_of(learner.member)
        if not learner.is_caught_up or instance not in voter_instances:
            continue
        former = voters_by_instance.get(instance)
        if former is None:
            return _exchange(members, unwanted[:1], learner.member)
        if absent.issuperset(former):
            return _exchange(members, former, learner.member)
    if unwanted and voters_by_instance.keys() >= set(voter_instances):
        return _without(members, unwanted[0])
    return None


def _exchange(members, leaving, joining):
    voters = tuple(sorted({*members.voters, joining}.difference(leaving)))
    return Members(voters, members.voters if leaving else ())


def _without(members, removed):
    return Members(tuple(voter for voter in members.voters if voter != removed))


def next_members(raft, now, instances):
    """Return the members that a leader should propose now, or ``None``.

    :param raft: the :class:`~banyanshore.consensus.raft.Raft`.
    :param instances: instances that should have a vote.
    """
    if not raft.is_leader:
        return None
    members = plan_member_change(
        raft.members,
        find_learners(raft, now),
        instances,
        find_silent_seconds(raft, now),
    )
    if members is not None and raft.member not in members.voters:
        # The leader has to hand over first, see :func:`should_hand_over`.
        return None
    return members


def should_hand_over(raft, instances):
    """Return whether this member leads but should no longer have a vote.

    The only voter keeps leading.
    """
    keeps_vote = instance_of(raft.member) in instances
    return raft.is_leader and not keeps_vote and len(raft.members.voters) > 1


def plan_voter_instances(members, learners, silent_seconds_by_member, voter_count):
    """Return the instances that should have a vote if the settings don't name them.

    The current voters stay, with one change at a time. If there are too few, an
    instance that has caught up is added. If there are too many, the one that has been
    silent for longest is removed. Otherwise, the one that has been silent for longest,
    for more than ``REPLACE_AFTER`` seconds, is replaced by an instance that has caught
    up.

    :param learners: the :class:`Learner` rows, in any order.
    :param silent_seconds_by_member: seconds since the last contact with each voter.
    :param voter_count: intended number of voters.
    """
    voters = {instance_of(voter): voter for voter in members.voters}
    learner_instances = {instance_of(learner.member) for learner in learners}
    spares = sorted(
        {instance_of(learner.member) for learner in learners if learner.is_caught_up}
        - voters.keys()
    )
    # An instance that came back with a new disk replaces itself, so it isn't listed.
    silent = sorted(
        (-silent_seconds_by_member.get(voter, 0.0), instance)
        for instance, voter in voters.items()
        if instance not in learner_instances
        and silent_seconds_by_member.get(voter, 0.0) > REPLACE_AFTER
    )
    chosen = set(voters)
    if spares and len(voters) < voter_count:
        chosen.add(spares[0])
    elif len(voters) > voter_count:
        chosen.discard(
            max(
                sorted(voters),
                key=lambda name: silent_seconds_by_member.get(voters[name], 0.0),
            )
        )
    elif spares and silent:
        chosen.discard(silent[0][1])
        chosen.add(spares[0])
    return frozenset(chosen)


def next_voter_instances(raft, now, voter_count):
    """Return the instances that should have a vote; at a follower, the current ones.

    See :func:`plan_voter_instances`.
    """
    if not raft.is_leader:
        return frozenset(instance_of(voter) for voter in raft.members.voters)
    return plan_voter_instances(
        raft.members,
        find_learners(raft, now),
        find_silent_seconds(raft, now),
        voter_count,
    )


def find_learners(raft, now):
    """Return the :class:`Learner` rows of a leader.

    A silent learner doesn't count as caught up: as a voter it would be one more lost
    voter.
    """
    return [
        Learner(
            member,
            raft.is_caught_up(member) and now - progress.acked_at < ABSENT_AFTER,
        )
        for member, progress in raft.leadership.progress_by_member.items()
        if member not in raft.members.everyone
    ]


def find_silent_seconds(raft, now):
    """Return the seconds since a leader's last contact with each other member."""
    table = raft.leadership.progress_by_member
    return {member: now - row.last_contact_at for member, row in table.items()}
