"""Replacing voters where no settings name them."""

import pytest

from banyanshore.consensus.messages import Members
from banyanshore.consensus.repair import (
    Learner,
    pick_voter_instances,
    plan_member_change,
)

VOTERS = Members(("a/1", "b/1", "c/1"))


def pick(members=VOTERS, learners=(), silent=(), target=3):
    silence = {voter: 9.0 if voter in silent else 0.1 for voter in members.voters}
    return pick_voter_instances(members, learners, silence, target)


def settle(members, learners, silent, target=3):
    """Return the members after all changes, each of one voter."""
    silence = dict.fromkeys(silent, 9.0)
    for _ in range(6):
        instances = pick_voter_instances(members, learners, silence, target)
        left = [row for row in learners if row.member not in members.voters]
        changed = plan_member_change(members, left, instances, silence)
        if changed is None:
            break
        assert len(set(changed.voters) ^ set(members.voters)) == 1
        members = changed
    return set(members.voters)


def test_voters_stay_while_nobody_can_take_a_place():
    assert pick(silent=("c/1",)) == {"a", "b", "c"}
    assert pick(learners=[Learner("d/1", True)]) == {"a", "b", "c"}
    behind = [Learner("d/1", False)]
    assert pick(learners=behind, silent=("c/1",)) == {"a", "b", "c"}


def test_instance_at_a_new_address_takes_the_place_of_a_lost_voter():
    learners = [Learner("d/1", True)]
    assert pick(learners=learners, silent=("c/1",)) == {"a", "b", "d"}
    assert settle(VOTERS, learners, ("c/1",)) == {"a/1", "b/1", "d/1"}


def test_voter_with_another_disk_takes_its_own_place():
    learners = [Learner("c/2", True)]
    assert settle(VOTERS, learners, ("c/1",)) == {"a/1", "b/1", "c/2"}


def test_silent_voter_goes_last_and_none_is_kept_beyond_the_target():
    four = Members(("a/1", "b/1", "c/1", "d/1"))
    assert pick(four, silent=("c/1",)) == {"a", "b", "d"}
    # All answer: the one that was silent has come back.
    assert len(pick(four)) == 3


def test_only_one_of_two_silent_voters_is_given_up_for_one_learner():
    learners = [Learner("d/1", True)]
    assert len(settle(VOTERS, learners, ("b/1", "c/1")) & {"b/1", "c/1"}) == 1


@pytest.mark.parametrize(("target", "count"), [(3, 3), (5, 5), (7, 6)])
def test_voters_grow_to_the_number_that_bears_the_losses(target, count):
    learners = [Learner(f"{name}/1", True) for name in "def"]
    assert len(settle(VOTERS, learners, (), target)) == count
