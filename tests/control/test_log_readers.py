"""Commands are compressed only if all voters can read them."""

from dataclasses import replace

import pytest

from banyanshore.control.log_readers import LogReaders
from banyanshore.control.orders import Orders
from banyanshore.membership.feed import CONTROL_ROLE, Departure, MemberRow, Registry
from banyanshore.platform.declaration import decode_declaration
from banyanshore.state import StateHolder, StateMachine
from banyanshore.state.compressed_commands import CompressedCommand
from banyanshore.telemetry.control import ControlMetrics
from tests.control.test_declared_changes import make_routes
from tests.platform.test_declaration import encoded

pytestmark = pytest.mark.anyio

VOTERS = ("10.0.0.1:8000", "10.0.0.2:8000", "10.0.0.3:8000")
# Routes of a declaration that is compressed.
ROUTES = 200


def make_row(instance, decompresses=True):
    return MemberRow(
        instance, CONTROL_ROLE, "a", "r", instance, 1, 1, decompresses=decompresses
    )


def make_readers(rows):
    registry = Registry()
    for row in rows:
        registry.record(0.0, row)
    return registry, LogReaders(registry, lambda: set(VOTERS))


def test_all_voters_have_to_read_compressed_commands():
    rows = [make_row(voter) for voter in VOTERS]
    assert make_readers(rows)[1].all_decompress()
    assert not make_readers([*rows[:2], make_row(VOTERS[2], False)])[1].all_decompress()
    # A voter that has told nothing of itself yet may be of an earlier build.
    assert not make_readers(rows[:2])[1].all_decompress()


def test_voter_that_is_away_is_known_from_its_last_row():
    registry, readers = make_readers([make_row(voter) for voter in VOTERS])
    assert readers.all_decompress()
    assert registry.forget(1.0, Departure("member", VOTERS[2], 1))
    assert readers.all_decompress()
    # It comes back as an earlier build.
    earlier = replace(make_row(VOTERS[2], False), incarnation=2)
    registry.record(2.0, earlier)
    assert not readers.all_decompress()


def test_nothing_is_compressed_before_the_log_is_formed():
    assert not LogReaders(Registry(), set).all_decompress()


class Log:
    """Apply commands at once, and keep them."""

    def __init__(self):
        self.machine = StateMachine()
        self.state = StateHolder()
        self.commands = []

    async def read_version(self, timeout):
        return self.machine.version

    async def propose(self, command, timeout):
        self.commands.append(command)
        outcome = self.machine.apply(self.machine.version + 1, 1, command)
        self.state.apply_desired(self.machine.desired_state())
        return outcome


@pytest.mark.parametrize("may_compress", [False, True])
async def test_large_declaration_is_compressed_if_all_read_it(may_compress):
    log = Log()
    orders = Orders(log.state, log, ControlMetrics(), lambda: may_compress)
    body = encoded(make_routes(dict.fromkeys(range(ROUTES), 1)))
    assert await orders.declare(*decode_declaration(body))
    (command,) = log.commands
    assert isinstance(command, CompressedCommand) == may_compress
    assert len(log.state.desired.document["routes"]) == ROUTES
