"""Proposals whose outcome the leader knows without an entry in the log."""

import json
import random

import anyio
import pytest

from banyanshore.consensus.node import ConsensusNode
from banyanshore.consensus.storage import Storage
from banyanshore.control.process import LogSettings
from banyanshore.state import PatchCommand, PatchStatus, StateMachine
from banyanshore.state.commands import UNCONDITIONAL
from banyanshore.state.compressed_commands import compress_command
from tests.control.instance import make_settings

pytestmark = pytest.mark.anyio

ADDRESS = "127.0.0.1:1"


def patch(request_id, base, priority=1, bulk=0):
    key = random.Random(bulk).randbytes(bulk).hex()
    document = {"workspaces": {"w": {"priority": priority, "keys": [key]}}}
    return PatchCommand(request_id, base, json.dumps(document).encode(), 0.0)


async def send(instance, message):
    """Drop a message: the member is the only one."""


def make_node(folder):
    settings = make_settings(folder, ADDRESS, "127.0.0.1:2")
    return ConsensusNode(
        LogSettings(settings), Storage(folder), StateMachine(), send, lambda: None
    )


async def test_outdated_patch_takes_no_entry(tmp_path):
    """Each repetition of a declaration crossed the links to all voters, in vain."""
    node = make_node(tmp_path)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.run)
        with anyio.fail_after(20):
            while not node.raft.is_leader:
                await anyio.sleep(0.02)
        first = patch("first", 0, bulk=8000)
        accepted = await node.propose(compress_command(first), 5.0)
        assert accepted.status == PatchStatus.ACCEPTED
        last_index = node.raft.log.last_index
        # Sent again after a lost answer, compressed or not; and one against version 0.
        assert await node.propose(first, 5.0) == accepted
        assert await node.propose(compress_command(first), 5.0) == accepted
        outdated = await node.propose(patch("second", 0, bulk=8000), 5.0)
        assert (outdated.status, outdated.version) == (PatchStatus.CONFLICT, 1)
        assert node.raft.log.last_index == last_index
        # What may still be accepted takes an entry.
        second = await node.propose(patch("second", 1), 5.0)
        assert second.status == PatchStatus.ACCEPTED
        assert node.raft.log.last_index == last_index + 1
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(30))
def test_known_outcome_is_that_of_applying(seed):
    source = random.Random(seed)
    machine = StateMachine()
    known = 0
    for index in range(1, 80):
        base = source.choice([UNCONDITIONAL, *range(machine.version + 2)])
        request_id = f"r{source.randrange(20)}"
        command = patch(request_id, base, source.randrange(3))
        outcome = machine.find_outcome(command)
        # Others may be decided before it.
        if source.random() < 0.3:
            machine.apply(index, 1, patch(f"x{index}", machine.version))
        applied = machine.apply(index, 1, command)
        if outcome is not None:
            known += 1
            assert applied.status == outcome.status
            if applied.status == PatchStatus.ACCEPTED:
                assert applied == outcome
    assert known
