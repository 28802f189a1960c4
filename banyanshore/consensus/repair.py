"""Decide when a voter is replaced: by its new self, or by another instance."""

from dataclasses import dataclass

from banyanshore.consensus.messages import Members, instance_of

# Seconds for which a voter's old disk must have been silent before it is replaced.
REPLACE_AFTER = 2.0


@dataclass(frozen=True)
class Learner:
    """A member without a vote that the leader replicates to."""

    member: str
    caught_up: bool


def plan_member_change(members, learners, voter_instances, silent_for_by_member):
    """Return the next members, one voter removed or added, or ``None``.

    A voter whose instance has come back with another disk, or is to have no vote any
    more, is removed once the member that takes its place has caught up, and that one
    is added in a change of its own: both at once would let two majorities exist that
    share no member. While an unwanted voter still answers, it goes last.

    :param learners: the :class:`Learner` rows, in any order.
    :param voter_instances: instances that are to have a vote.
    :param silent_for_by_member: seconds since each voter was heard from.
    """
    voter_by_instance = {instance_of(voter): voter for voter in members.voters}
    unwanted = [
        voter
        for instance, voter in sorted(voter_by_instance.items())
        if instance not in voter_instances
    ]
    silent = [
        voter
        for voter in members.voters
        if silent_for_by_member.get(voter, 0.0) > REPLACE_AFTER
    ]
    for learner in sorted(learners, key=lambda item: item.member):
        instance = instance_of(learner.member)
        if not learner.caught_up or instance not in voter_instances:
            continue
        old = voter_by_instance.get(instance)
        lost = [voter for voter in unwanted if voter in silent]
        if old is not None and old in silent:
            return _without(members, old)
        if old is None and lost:
            return _without(members, lost[0])
        if old is None:
            return Members(tuple(sorted((*members.voters, learner.member))))
    if unwanted and voter_by_instance.keys() >= set(voter_instances):
        return _without(members, unwanted[0])
    return None


def _without(members, removed):
    return Members(tuple(voter for voter in members.voters if voter != removed))


def next_members(raft, now, instances):
    """Return the members that a leader should propose now, or ``None``.

    :param raft: the :class:`~banyanshore.consensus.raft.Raft`.
    :param instances: instances that are to have a voter each.
    """
    if not raft.is_leader:
        return None
    members = plan_member_change(
        raft.members, find_learners(raft), instances, find_silence(raft, now)
    )
    if members is not None and raft.member not in members.voters:
        # It hands its leadership over first, see :func:`should_hand_over`.
        return None
    return members


def should_hand_over(raft, instances):
    """Tell whether a leader that is to have no vote any more should stop leading."""
    is_wanted = instance_of(raft.member) in instances
    return raft.is_leader and not is_wanted and len(raft.members.voters) > 1


def pick_voter_instances(members, learners, silent_for_by_member, target):
    """Return the instances that are to have a vote, where no settings name them.

    The voters keep their votes, but for one that has fallen silent while an instance
    without a vote has caught up: that one takes its place. A vacant place goes to any
    instance that has caught up.

    :param learners: the :class:`Learner` rows, in any order.
    :param silent_for_by_member: seconds since each voter was heard from.
    :param target: number of voters to have.
    """
    voters = {instance_of(voter): voter for voter in members.voters}
    learning = {instance_of(learner.member) for learner in learners}
    spare = sorted(
        {instance_of(learner.member) for learner in learners if learner.caught_up}
        - voters.keys()
    )
    # One that comes back with another disk is replaced by itself.
    silent = sorted(
        (-silent_for_by_member.get(voter, 0.0), instance)
        for instance, voter in voters.items()
        if instance not in learning
        and silent_for_by_member.get(voter, 0.0) > REPLACE_AFTER
    )
    wanted = set(voters)
    if spare and len(voters) < target:
        wanted.add(spare[0])
    elif spare and silent:
        wanted.discard(silent[0][1])
        wanted.add(spare[0])
    return frozenset(wanted)


def choose_voter_instances(raft, now, target):
    """Return what :func:`pick_voter_instances` says at a leader."""
    if not raft.is_leader:
        return frozenset(instance_of(voter) for voter in raft.members.voters)
    return pick_voter_instances(
        raft.members, find_learners(raft), find_silence(raft, now), target
    )


def find_learners(raft):
    """Return the :class:`Learner` rows of a leader."""
    return [
        Learner(member, raft.caught_up(member))
        for member in raft.leadership.progress_by_member
        if member not in raft.members.voters
    ]


def find_silence(raft, now):
    """Return the seconds since a leader has heard from each member."""
    table = raft.leadership.progress_by_member
    return {member: now - row.heard_at for member, row in table.items()}
