"""An agent stays within its memory and its descriptors, whatever callers do."""

import contextlib

import pytest

from tests.control.instance import wait_until_listening
from tests.crowds.checks import (
    MEMORY_MB,
    SILENT_CALLERS,
    ServedProcess,
    check_crowd,
    few_descriptors,
)
from tests.crowds.contents import Call, ahead, in_chunks, with_length
from tests.deployment import Deployment
from tests.ports import free_ports

pytestmark = pytest.mark.anyio

POST = Call("POST /metrics")
NO_PATH = Call("GET /none")
METRICS = Call("GET /metrics", ("connection: close",))


@contextlib.asynccontextmanager
async def serving_agent():
    """Run an agent that serves its metrics; yield the :class:`ServedProcess`."""
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"
    with Deployment({"a": "north"}, ["a"], [0]) as deployment:
        deployment.start_entries()
        deployment.wait_for_leader()
        # Started before the limit is lowered, which holds for the agent alone.
        deployment.start_fake("a-1-target", "plain")
        options = {"memory_mb": MEMORY_MB, "metrics_bind": address}
        with few_descriptors():
            agent = deployment.start_agent("a-1", "a", "orders", "plain", **options)
        await wait_until_listening(address)
        yield ServedProcess(agent, address, [port], METRICS.head())


@pytest.mark.parametrize("make", [with_length, in_chunks])
async def test_bodies_that_stop_short_of_their_end_stay_within_memory(make):
    """Each body had a bound, and their sum had none."""
    async with serving_agent() as served:
        await check_crowd(served, make(POST))


@pytest.mark.parametrize("call", [METRICS, NO_PATH], ids=["metrics", "no-path"])
async def test_requests_ahead_of_unread_answers_stay_within_memory(call):
    """What callers sent ahead grew with the system's buffers."""
    async with serving_agent() as served:
        await check_crowd(served, ahead(Call(call.method)))


async def test_silent_connections_leave_descriptors_for_others():
    """Connections without a request took all descriptors."""
    async with serving_agent() as served:
        await check_crowd(served, b"", SILENT_CALLERS)
