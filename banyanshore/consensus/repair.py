"""Decide when a voter is replaced: by its new self, or by another instance."""

from dataclasses import dataclass

from banyanshore.consensus.messages import Members, instance_of

# Seconds for which a voter's old disk must have been silent before it is replaced.
REPLACE_AFTER = 2.0
# Seconds of silence after which a member without a vote gets none: a few heartbeats.
LEARNER_SILENCE = 0.6


@dataclass(frozen=True)
class Learner:
    """A member without a vote that the leader replicates to."""

    member: str
    caught_up: bool


def plan_member_change(members, learners, voter_instances, silent_for_by_member):
    """Return the next members, one voter removed or added, or ``None``.

    A voter whose instance has come back with another disk, or is to have no vote any
    more, is removed once the member that takes its place has been added in a change of
    its own: both at once would let two majorities exist that share no member, and
    without the new one first, a further loss in between would end a log that a silent
    voter, cut off for a moment, could have kept alive.

    :param learners: the :class:`Learner` rows, in any order.
    :param voter_instances: instances that are to have a vote.
    :param silent_for_by_member: seconds since each voter was heard from.
    """
    voters_by_instance = {}
    for voter in members.voters:
        voters_by_instance.setdefault(instance_of(voter), []).append(voter)
    silent = [
        voter
        for voter in members.voters
        if silent_for_by_member.get(voter, 0.0) > REPLACE_AFTER
    ]
    superseded = [
        voter for voter in silent if len(voters_by_instance[instance_of(voter)]) > 1
    ]
    if superseded:
        return _without(members, superseded[0])
    for learner in sorted(learners, key=lambda item: item.member):
        instance = instance_of(learner.member)
        if not learner.caught_up or instance not in voter_instances:
            continue
        if all(old in silent for old in voters_by_instance.get(instance, ())):
            return Members(tuple(sorted((*members.voters, learner.member))))
    unwanted = [
        voter for voter in members.voters if instance_of(voter) not in voter_instances
    ]
    if unwanted and voters_by_instance.keys() >= set(voter_instances):
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
        raft.members, find_learners(raft, now), instances, find_silence(raft, now)
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
    instance that has caught up. Of more voters than wanted, the one goes that has been
    silent longest.

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
    elif len(voters) > target:
        wanted.discard(
            max(
                sorted(voters),
                key=lambda name: silent_for_by_member.get(voters[name], 0.0),
            )
        )
    elif spare and silent:
        wanted.discard(silent[0][1])
        wanted.add(spare[0])
    return frozenset(wanted)


def choose_voter_instances(raft, now, target):
    """Return what :func:`pick_voter_instances` says at a leader."""
    if not raft.is_leader:
        return frozenset(instance_of(voter) for voter in raft.members.voters)
    return pick_voter_instances(
        raft.members, find_learners(raft, now), find_silence(raft, now), target
    )


def find_learners(raft, now):
    """Return the :class:`Learner` rows of a leader.

    One that has fallen silent does not count as caught up: with its vote it would be
    one more loss.
    """
    return [
        Learner(
            member,
            raft.caught_up(member) and now - progress.heard_at < LEARNER_SILENCE,
        )
        for member, progress in raft.leadership.progress_by_member.items()
        if member not in raft.members.voters
    ]


def find_silence(raft, now):
    """Return the seconds since a leader has heard from each member."""
    table = raft.leadership.progress_by_member
    return {member: now - row.heard_at for member, row in table.items()}
