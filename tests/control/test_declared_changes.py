"""Declarations that follow each other at several control instances."""

import random
from types import SimpleNamespace

import pytest

from banyanshore.control.orders import Orders
from banyanshore.core.clock import boottime_now
from banyanshore.platform.control_api import ControlApi
from banyanshore.platform.declaration import decode_declaration
from banyanshore.state import StateHolder, StateMachine
from banyanshore.telemetry.control import ControlMetrics
from tests.platform.test_declaration import ROUTE, encoded

pytestmark = pytest.mark.anyio


class Log:
    """A log that accepts commands at once, and its control instances."""

    def __init__(self, instances):
        self.machine = StateMachine()
        self.states = [StateHolder() for _ in range(instances)]
        self.apis = [
            ControlApi(Orders(state, self, ControlMetrics()), None)
            for state in self.states
        ]

    async def read_version(self, timeout):
        return self.machine.version

    async def propose(self, command, timeout):
        outcome = self.machine.apply(self.machine.version + 1, 1, command)
        for state in self.states:
            state.apply_desired(self.machine.desired_state())
        return outcome

    async def declare(self, instance, body):
        call = SimpleNamespace(body=body, arrived_after=boottime_now())
        return await self.apis[instance]._put_config(call)


def make_routes(values):
    """Return a change of the declaration to routes with some values."""
    routes = [
        {**ROUTE, "pathPrefix": f"/{number}/", "priority": value}
        for number, value in values.items()
    ]
    return lambda document: document.update(routes=routes)


@pytest.mark.parametrize("seed", range(20))
async def test_state_holds_what_was_declared_last(seed):
    """Rows are reused from one declaration to the next."""
    log = Log(3)
    source = random.Random(seed)
    for version in range(1, 25):
        numbers = source.sample(range(8), source.randint(1, 8))
        values = {number: source.randint(0, 2) for number in numbers}
        change = make_routes(values)

        def declare(document, version=version, change=change):
            change(document)
            document["version"] = version

        body = encoded(declare)
        status, _ = await log.declare(source.randrange(3), body)
        assert status == 200
        _, tables = decode_declaration(body)
        for state in log.states:
            document = state.desired.document
            assert all(document[name] == tables[name] for name in tables)


async def test_unchanged_routes_are_shared_with_the_state():
    """Comparing all routes in depth took 20 ms among 3,000."""
    log = Log(1)
    for version in (1, 2):
        await log.declare(0, encoded(lambda d, v=version: d.update(version=v)))
    decoded = log.apis[0]._declarations.decode(encoded())[1]
    rows = log.states[0].desired.document["routes"]
    assert rows
    for key, row in rows.items():
        assert decoded["routes"][key] is row


async def test_declaration_of_the_largest_body_is_accepted():
    """Some 3,270 routes were refused as too many, a quarter of the largest body."""
    log = Log(1)
    route_bytes = len(encoded(make_routes({0: 1}))) - len(encoded(make_routes({})))
    count = 4 * 1024 * 1024 // (route_bytes + 8)
    body = encoded(make_routes(dict.fromkeys(range(count), 1)))
    assert 0.9 < len(body) / (4 * 1024 * 1024) <= 1
    assert await log.declare(0, body) == (200, {})
    assert len(log.states[0].desired.document["routes"]) == count
