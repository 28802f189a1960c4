"""An entry stays within its memory and its descriptors, whatever callers do."""

import contextlib

import pytest

from tests.crowds.checks import (
    MEMORY_MB,
    SILENT_CALLERS,
    ServedProcess,
    check_crowd,
    few_descriptors,
)
from tests.crowds.contents import Call, ahead, in_chunks, with_length
from tests.deployment import Deployment

pytestmark = pytest.mark.anyio

POST = Call("POST /services/orders/x")
NO_PATH = Call("GET /none")
HEALTH = Call("GET /healthz", ("connection: close",))


@contextlib.asynccontextmanager
async def serving_entry():
    """Run an entry; yield the :class:`ServedProcess`."""
    with Deployment({"a": "north"}, ["a"], [0], memory_mb=MEMORY_MB) as deployment:
        with few_descriptors():
            deployment.start_entries()
        deployment.wait_for_leader()
        port = deployment.http_port["entry-1"]
        process = deployment.processes["entry-1"]
        yield ServedProcess(process, f"127.0.0.1:{port}", [port], HEALTH.head())


@pytest.mark.parametrize("make", [with_length, in_chunks])
async def test_bodies_that_stop_short_of_their_end_stay_within_memory(make):
    """Each body had a bound, and their sum had none."""
    async with serving_entry() as served:
        await check_crowd(served, make(POST))


async def test_requests_ahead_of_unread_answers_stay_within_memory():
    """What callers sent ahead grew with the system's buffers."""
    async with serving_entry() as served:
        await check_crowd(served, ahead(NO_PATH))


async def test_silent_connections_leave_descriptors_for_others():
    """Connections without a request took all descriptors."""
    async with serving_entry() as served:
        await check_crowd(served, b"", SILENT_CALLERS)
