"""What an order asks of the log before it is accepted."""

import anyio
import pytest

from banyanshore.control.orders import Orders
from banyanshore.core.exceptions import UnavailableError
from banyanshore.platform.declaration import decode_declaration
from banyanshore.state import StateHolder, StateMachine
from banyanshore.telemetry.control import ControlMetrics
from tests.platform.test_declaration import encoded

pytestmark = pytest.mark.anyio


class Log:
    """Apply commands at once, and record what is asked.

    :param applies_here: whether the instance that orders learns of changes at once.
    """

    def __init__(self, applies_here=True):
        self.machine = StateMachine()
        self.state = StateHolder()
        self.applies_here = applies_here
        self.asked = []
        self.orders = Orders(self.state, self, ControlMetrics())

    def learn(self):
        self.state.apply_desired(self.machine.desired_state())

    async def read_version(self, timeout):
        self.asked.append("read")
        self.learn()
        return self.machine.version

    async def propose(self, command, timeout):
        self.asked.append("propose")
        outcome = self.machine.find_outcome(command)
        if outcome is None:
            outcome = self.machine.apply(self.machine.version + 1, 1, command)
        if self.applies_here:
            self.learn()
        return outcome


def declaration(number):
    return decode_declaration(encoded(lambda document: document.update(version=number)))


async def test_numbered_orders_are_proposed_without_a_read():
    """Each trip to the leader and the voters took 0.3 s on a link full of weights."""
    log = Log()
    assert await log.orders.set_model_version("m", 2)
    assert await log.orders.declare(*declaration(3))
    assert log.asked == ["propose", "propose"]


async def test_numbers_held_here_are_in_force_without_a_quorum():
    log = Log()
    await log.orders.set_model_version("m", 2)
    await log.orders.declare(*declaration(3))
    log.asked.clear()
    for version in (1, 2):
        assert not await log.orders.set_model_version("m", version)
    for number in (2, 3):
        assert not await log.orders.declare(*declaration(number))
    assert log.asked == []


async def test_order_on_an_outdated_version_is_made_anew():
    """Another instance has accepted orders that have not arrived here."""
    log = Log()
    elsewhere = Log()
    elsewhere.machine = log.machine
    await elsewhere.orders.set_model_version("m", 2)
    await elsewhere.orders.declare(*declaration(5))
    # A later one than what is in force, then earlier ones.
    assert await log.orders.set_model_version("m", 3)
    assert log.asked == ["propose", "read", "propose"]
    document = log.machine.document
    assert document["rollouts"]["m"] == {"version": 3}
    assert document["declarations"]["operator"]["number"] == 5


async def test_earlier_number_never_replaces_a_later_one():
    log = Log()
    elsewhere = Log()
    elsewhere.machine = log.machine
    await elsewhere.orders.set_model_version("m", 7)
    await elsewhere.orders.declare(*declaration(9))
    assert not await log.orders.set_model_version("m", 6)
    assert log.asked == ["propose", "read"]
    log.state = log.orders._state = StateHolder()
    assert not await log.orders.declare(*declaration(8))
    document = log.machine.document
    assert document["rollouts"]["m"] == {"version": 7}
    assert document["declarations"]["operator"]["number"] == 9


async def test_orders_without_a_number_ask_a_quorum_first():
    """An instance that is behind would answer that an undone order is in force."""
    log = Log()
    for in_service in (False, True):
        log.asked.clear()
        assert await log.orders.set_in_service("b", in_service, 1e12)
        assert log.asked == ["read", "propose"]


async def test_order_is_not_accepted_without_a_quorum(monkeypatch):
    log = Log()

    async def refuse(command, timeout):
        await anyio.lowlevel.checkpoint()
        raise UnavailableError("no quorum")

    monkeypatch.setattr(log, "propose", refuse)
    with pytest.raises(UnavailableError):
        await log.orders.set_model_version("m", 2)
    assert log.state.version == 0


async def test_log_tells_how_often_an_order_was_proposed(caplog):
    """What an order that is accepted late waited for wasn't in its line."""
    caplog.set_level("INFO")
    log = Log()
    elsewhere = Log()
    elsewhere.machine = log.machine
    await elsewhere.orders.set_model_version("m", 2)
    await log.orders.set_model_version("m", 3)
    await log.orders.set_model_version("m", 3)
    lines = [record for record in caplog.records if hasattr(record, "order")]
    assert [line.message for line in lines] == [
        "order accepted",
        "order accepted",
        "order already in force",
    ]
    assert [line.proposals for line in lines[:2]] == [1, 2]
    assert lines[1].bytes == len('{"rollouts":{"m":{"version":3}}}')
    assert not hasattr(lines[2], "proposals")
