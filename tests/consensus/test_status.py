"""What the status of a member tells operators."""

import time

from banyanshore.consensus.messages import Entry, EntryKind, Members
from banyanshore.consensus.node import ConsensusNode
from banyanshore.consensus.storage import Storage
from banyanshore.control.process import LogSettings
from banyanshore.state import StateMachine
from banyanshore.transport.codec import encode
from tests.control.instance import make_settings

ADDRESS = "127.0.0.1:1"


def make_node(folder):
    settings = make_settings(folder, ADDRESS, "127.0.0.1:2")
    storage = Storage(folder)
    log_settings = LogSettings(settings)
    return ConsensusNode(log_settings, storage, StateMachine(), None, lambda: None)


def commit(raft):
    while not raft.pop_ready(time.monotonic()).is_empty:
        raft.mark_durable(raft.log.last_index)


def test_voters_in_the_status_are_those_of_an_accepted_change(tmp_path):
    """An entry was killed on a change that only it knew of, and no quorum was left."""
    node = make_node(tmp_path)
    raft = node.raft
    now = time.monotonic()
    raft.form(Members((raft.member,)), now)
    raft.tick(now + 60.0)
    commit(raft)
    assert raft.is_leader
    changed = Members(tuple(sorted((raft.member, "127.0.0.2:1/other"))))
    assert raft.propose_members(now + 60.0, changed)
    assert raft.members == changed
    assert node.status().voters == (raft.member,)


def test_voters_in_the_status_are_the_former_ones_until_an_exchange_has_ended(tmp_path):
    """A second voter was stopped during an exchange, and no quorum was left."""
    node = make_node(tmp_path)
    raft = node.raft
    now = time.monotonic()
    raft.form(Members((raft.member,)), now)
    raft.tick(now + 60.0)
    commit(raft)
    exchange = Members((raft.member,), (raft.member, "127.0.0.2:1/other"))
    raft.log.append(
        Entry(raft.log.last_index + 1, raft.term, EntryKind.MEMBERS, encode(exchange))
    )
    raft.commit_index = raft.log.last_index
    assert node.status().voters == exchange.outgoing
