"""Declarations that follow each other at several control instances."""

import random
from types import SimpleNamespace

import pytest

from banyanshore.control.orders import Orders
from banyanshore.core.clock import boottime_now
from banyanshore.gateway.screening import Screening
from banyanshore.platform.control_api import ControlApi
from banyanshore.platform.declaration import decode_declaration
from banyanshore.routing.caller_requests import CallerRequest
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
        call = SimpleNamespace(
            body=body, arrived_after=boottime_now(), connected_at=0.0
        )
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


NO_KEY, TAKEN_KEY, OTHER_KEY = "", "k1", "k9"


def change_workspaces(rows):
    """Return a change of the declaration; ``None`` leaves the list out."""

    def change(document):
        del document["tenants"]
        if rows is not None:
            document["tenants"] = rows

    return change


WITH_KEY = [{"name": "w", "apiKeys": [TAKEN_KEY]}]
WITH_OTHER_KEY = [{"name": "v", "apiKeys": [OTHER_KEY]}]


@pytest.mark.parametrize(
    "declared",
    [
        [WITH_KEY, []],
        [WITH_KEY, None],
        [WITH_KEY, [{"name": "w", "apiKeys": []}]],
        [WITH_KEY, [{"name": "w"}], []],
        [WITH_KEY, [], None, []],
        [[], WITH_KEY, []],
        [None, WITH_KEY, None],
        [WITH_KEY, [], WITH_OTHER_KEY],
    ],
)
async def test_no_request_runs_with_a_key_that_was_taken_away(declared):
    """All requests ran, also without a key, once the last workspace was removed."""
    log = Log(3)
    for version, rows in enumerate(declared, 1):
        change = change_workspaces(rows)

        def declare(document, version=version, change=change):
            change(document)
            document["version"] = version

        assert await log.declare(version % 3, encoded(declare)) == (200, {})
    for state in log.states:
        screening = Screening(4.5, 2.5)
        screening.use(state.desired.document)
        for key in (NO_KEY, TAKEN_KEY):
            assert screen(screening, key).status == 401
        if declared[-1] == WITH_OTHER_KEY:
            assert screen(screening, OTHER_KEY).workspace.name == "v"


@pytest.mark.parametrize("rows", [[], None])
async def test_requests_need_no_key_before_there_was_one(rows):
    log = Log(1)
    await log.declare(0, encoded(change_workspaces(rows)))
    screening = Screening(4.5, 2.5)
    screening.use(log.states[0].desired.document)
    assert screen(screening, NO_KEY).workspace.name == ""


def screen(screening, key):
    path = f"{ROUTE['pathPrefix']}1"
    host = ROUTE["hostname"]
    request = CallerRequest("id-1", b"GET", path.encode(), path, host, key, 1.0)
    return screening.screen(request, 0.1)


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
