"""Test which instances a state client asks: the leader, then the voters."""

from dataclasses import dataclass

import pytest

from banyanshore.conf.sections import ConsensusSettings, EntryPeer
from banyanshore.consensus.rpc import (
    ProposalStatus,
    ProposeReply,
    ProposeRequest,
    ReadReply,
)
from banyanshore.core.exceptions import NotAcceptedError, UnavailableError
from banyanshore.entry.state_client import StateClient

pytestmark = pytest.mark.anyio

VOTERS = ["entry-1", "entry-2", "entry-3"]
PEERS = [
    EntryPeer(instance=name, data_centre="a", address=name, voter=name in VOTERS)
    for name in [*VOTERS, "entry-4"]
]


@dataclass
class FakeSettings:
    """Settings of an entry that isn't a voter."""

    instance = "entry-4"
    entries = PEERS
    consensus = ConsensusSettings(proposal_timeout=1.0)


class FakeVoter:
    """A voter, reachable or not, and the link to it."""

    def __init__(self, name, asked):
        self.name = name
        self.asked = asked
        self.is_open = True
        self.is_failing = False
        self.reply = ProposeReply(ProposalStatus.NOT_ACCEPTED, detail="not a leader")

    async def get_connection(self, timeout):
        self.asked.append(self.name)
        if not self.is_open:
            raise UnavailableError("not connected", step="connect", peer=self.name)
        return self

    async def call(self, body, timeout, in_pieces=False):
        if isinstance(body, ProposeRequest):
            return self.reply
        return ReadReply(self.reply.outcome, self.reply.leader)


class Group:
    """Three voters and the state client of another entry."""

    def __init__(self, leader_hint):
        self.asked = []
        self.by_name = {name: FakeVoter(name, self.asked) for name in VOTERS}
        self.client = StateClient(FakeSettings, self, None, lambda: leader_hint)

    def get(self, address, peer):
        return self.by_name[address]

    def make_leader(self, name):
        self.by_name[name].reply = ProposeReply(ProposalStatus.APPLIED, "done")

    def disconnect(self, name):
        self.by_name[name].is_open = False
        self.by_name[name].is_failing = True


async def test_unreachable_voter_is_skipped():
    group = Group("entry-1")
    group.disconnect("entry-1")
    group.make_leader("entry-3")
    assert await group.client.propose("command") == "done"
    assert "entry-1" not in group.asked


async def test_leader_named_by_a_voter_is_asked_next():
    group = Group("")
    for name in VOTERS[:2]:
        group.by_name[name].reply = ProposeReply(
            ProposalStatus.NOT_ACCEPTED, leader="entry-3"
        )
    group.make_leader("entry-3")
    assert await group.client.read(1.0) == "done"
    assert group.asked[1] == "entry-3"
    assert len(group.asked) == 2


async def test_voters_are_asked_when_the_known_leader_is_stale():
    # It answers and names itself as leader, although it no longer leads.
    group = Group("entry-1")
    group.by_name["entry-1"].reply = ProposeReply(
        ProposalStatus.NOT_ACCEPTED, leader="entry-1"
    )
    group.make_leader("entry-2")
    assert await group.client.propose("command") == "done"


async def test_all_voters_are_tried_when_none_is_reachable():
    group = Group("entry-1")
    for name in VOTERS:
        group.disconnect(name)
    with pytest.raises(NotAcceptedError):
        await group.client.propose("command")
    assert set(group.asked) == set(VOTERS)
