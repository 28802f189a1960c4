"""Declarations of megabytes that arrive at once."""

import json

import anyio
import pytest

from banyanshore.core.clock import boottime_now
from banyanshore.platform.control_api import LARGE_BODY_BYTES, ControlApi
from tests.platform.test_declaration import DECLARATION

pytestmark = pytest.mark.anyio


class Orders:
    """Take a while for each declaration, and count those in progress."""

    def __init__(self):
        self.numbers = []
        self.active = 0
        self.most_active = 0

    async def declare(self, number, tables):
        self.active += 1
        self.most_active = max(self.most_active, self.active)
        await anyio.sleep(0.05)
        self.active -= 1
        self.numbers.append(number)


class Exchange:
    """A declaration of some size, whose caller may leave."""

    method = b"PUT"
    path = "/api/config"
    connected_at = 0.0

    def __init__(self, number, size):
        document = {**DECLARATION, "version": number, "padding": "x" * size}
        self.arrived_after = boottime_now()
        self.status = None
        self.left = anyio.Event()
        self._body = json.dumps(document).encode()

    async def read_body(self):
        return self._body

    async def respond(self, status, headers=(), body=b""):
        self.status = status

    async def run_while_connected(self, work):
        is_done = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_for_end, tasks.cancel_scope)
            await work()
            is_done = True
            tasks.cancel_scope.cancel()
        return is_done

    async def _wait_for_end(self, scope):
        await self.left.wait()
        scope.cancel()


@pytest.mark.parametrize(("size", "most"), [(LARGE_BODY_BYTES, 1), (0, 8)])
async def test_large_declarations_are_handled_one_at_a_time(size, most):
    """Eight at once took an instance to 225 MB of 296."""
    orders = Orders()
    api = ControlApi(orders, None)
    exchanges = [Exchange(number, size) for number in range(8)]
    async with anyio.create_task_group() as tasks:
        for exchange in exchanges:
            tasks.start_soon(api.handle, exchange)
    assert orders.most_active == most
    assert sorted(orders.numbers) == list(range(8))
    assert {exchange.status for exchange in exchanges} == {200}


async def test_small_declaration_does_not_wait_for_large_ones():
    orders = Orders()
    api = ControlApi(orders, None)
    async with anyio.create_task_group() as tasks:
        for number in range(1, 8):
            tasks.start_soon(api.handle, Exchange(number, LARGE_BODY_BYTES))
        await anyio.sleep(0.01)
        await api.handle(Exchange(100, 0))
        assert 100 in orders.numbers[:3]


async def test_declaration_whose_caller_leaves_while_it_waits_is_dropped():
    """It would be handled after its caller has sent it to another instance."""
    orders = Orders()
    api = ControlApi(orders, None)
    first, second, third = (Exchange(n, LARGE_BODY_BYTES) for n in range(3))
    async with anyio.create_task_group() as tasks:
        for exchange in (first, second, third):
            tasks.start_soon(api.handle, exchange)
            await anyio.sleep(0)
        await anyio.sleep(0.01)
        # The first one is being handled, and goes on.
        first.left.set()
        second.left.set()
    assert orders.numbers == [0, 2]
    assert second.status is None
