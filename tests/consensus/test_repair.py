"""Replacement of voters when the settings don't name them."""

import pytest

from banyanshore.consensus.leading import is_member_step
from banyanshore.consensus.messages import Members
from banyanshore.consensus.repair import (
    Learner,
    plan_member_change,
    plan_voter_instances,
)

VOTERS = Members(("a/1", "b/1", "c/1"))


def plan_instances(members=VOTERS, learners=(), silent=(), target=3):
    silence = {voter: 9.0 if voter in silent else 0.1 for voter in members.voters}
    return plan_voter_instances(members, learners, silence, target)


def apply_all_changes(members, learners, silent, target=3):
    """Return the members after all changes, each a safe step."""
    silence = dict.fromkeys(silent, 9.0)
    for _ in range(6):
        instances = plan_voter_instances(members, learners, silence, target)
        left = [row for row in learners if row.member not in members.voters]
        changed = plan_member_change(members, left, instances, silence)
        if changed is None:
            break
        assert is_member_step(members, changed)
        assert len(set(changed.voters) - set(members.voters)) <= 1
        members = changed
    return set(members.voters)


def test_voters_are_kept_without_a_learner_to_replace_them():
    assert plan_instances(silent=("c/1",)) == {"a", "b", "c"}
    assert plan_instances(learners=[Learner("d/1", True)]) == {"a", "b", "c"}
    behind = [Learner("d/1", False)]
    assert plan_instances(learners=behind, silent=("c/1",)) == {"a", "b", "c"}


def test_caught_up_instance_replaces_a_lost_voter():
    learners = [Learner("d/1", True)]
    assert plan_instances(learners=learners, silent=("c/1",)) == {"a", "b", "d"}
    assert apply_all_changes(VOTERS, learners, ("c/1",)) == {"a/1", "b/1", "d/1"}


def test_voter_is_replaced_by_its_own_instance_with_a_new_disk():
    learners = [Learner("c/2", True)]
    assert apply_all_changes(VOTERS, learners, ("c/1",)) == {"a/1", "b/1", "c/2"}


def test_silent_voter_is_removed_first_if_there_are_too_many():
    four = Members(("a/1", "b/1", "c/1", "d/1"))
    assert plan_instances(four, silent=("c/1",)) == {"a", "b", "d"}
    # All voters reply again, and one of them is still removed.
    assert len(plan_instances(four)) == 3


def test_one_learner_replaces_only_one_of_two_silent_voters():
    learners = [Learner("d/1", True)]
    assert (
        len(apply_all_changes(VOTERS, learners, ("b/1", "c/1")) & {"b/1", "c/1"}) == 1
    )


@pytest.mark.parametrize(("target", "count"), [(3, 3), (5, 5), (7, 6)])
def test_voters_are_added_up_to_the_target_number(target, count):
    learners = [Learner(f"{name}/1", True) for name in "def"]
    assert len(apply_all_changes(VOTERS, learners, (), target)) == count
