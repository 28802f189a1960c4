"""What is accepted survives the disks that may be lost, with all others without power.

Members keep what they have synced. Counted for each set that can accept an entry, each
set of lost disks, and each set that can elect a leader afterwards.
"""

from itertools import chain, combinations

import pytest

from banyanshore.consensus.messages import Members

VOTERS = {1: ("a", "b", "c"), 2: ("a", "b", "c", "d", "e")}


def subsets(members, largest=None):
    sizes = range((len(members) if largest is None else largest) + 1)
    return chain.from_iterable(combinations(members, size) for size in sizes)


def states(tolerated):
    """Return members outside an exchange and on both sides of one, with lost disks."""
    voters = VOTERS[tolerated]
    exchanged = (*voters[:-1], "new")
    joint = Members(exchanged, voters)
    return [
        (Members(voters), ()),
        (joint, ()),
        # The outgoing voter has lost its disk, which is why it is exchanged.
        (joint, (voters[-1],)),
        (Members(exchanged), ()),
    ]


CASES = [
    pytest.param(tolerated, members, lost, id=f"{tolerated}-{number}")
    for tolerated in VOTERS
    for number, (members, lost) in enumerate(states(tolerated))
]


@pytest.mark.parametrize(("tolerated", "members", "lost_before"), CASES)
def test_accepted_entry_is_known_to_each_later_leader(tolerated, members, lost_before):
    present = [name for name in members.everyone if name not in lost_before]
    accepting = [names for names in subsets(present) if members.has_quorum(names)]
    assert accepting
    for lost in subsets(present, tolerated - len(lost_before)):
        remaining = [name for name in present if name not in lost]
        electing = [names for names in subsets(remaining) if members.has_quorum(names)]
        assert electing, f"no leader without {lost}"
        for accepted_by in accepting:
            kept = set(accepted_by) - set(lost)
            # A voter that holds the entry votes only for one that holds it, too.
            assert all(kept & set(names) for names in electing)
