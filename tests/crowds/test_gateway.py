"""A gateway stays within its memory and its descriptors, whatever callers do."""

import contextlib

import pytest

from tests.crowds.checks import (
    MEMORY_MB,
    SILENT_CALLERS,
    ServedProcess,
    check_crowd,
    few_descriptors,
)
from tests.crowds.contents import (
    Call,
    ahead,
    in_chunks,
    whole,
    with_length,
)
from tests.gateway.deployment import COMPLETE, hang, make_request, read_request
from tests.http.raw import scripted_server
from tests.stopping.process import GatewayProcess

pytestmark = pytest.mark.anyio

POST = Call("POST /p", ("request-id: id-2", "authorization: Bearer key"))
READY = Call("GET /ready")
NO_ROUTE = Call("GET /none", ("request-id: id-3",), "none.example")


async def answer_unless_post(stream):
    """Answer a request without a body; hang with the others."""
    data = await read_request(stream)
    if data.startswith(b"POST"):
        await hang(stream)
    elif data:
        await stream.send(COMPLETE)


@contextlib.asynccontextmanager
async def serving_gateway(folder, bind="callers_bind"):
    """Run a gateway with a target; yield the :class:`ServedProcess`.

    :param bind: setting with the address that the crowd calls.
    """
    async with scripted_server(answer_unless_post) as target:
        with few_descriptors():
            gateway = GatewayProcess(folder, [target.address], {"memory_mb": MEMORY_MB})
        try:
            await gateway.wait_until_serving()
            binds = [gateway.settings[f"{name}_bind"] for name in ("callers", "ready")]
            ports = [int(address.rpartition(":")[2]) for address in binds]
            yield ServedProcess(
                gateway.process,
                gateway.settings[bind],
                ports,
                make_request(),
                gateway.address,
            )
        finally:
            gateway.kill()


@pytest.mark.parametrize("make", [with_length, in_chunks])
async def test_bodies_that_stop_short_of_their_end_stay_within_memory(tmp_path, make):
    """Each body had a bound, and their sum had none."""
    async with serving_gateway(tmp_path) as served:
        await check_crowd(served, make(POST))


async def test_whole_bodies_at_a_target_that_hangs_stay_within_memory(tmp_path):
    """Each body had a bound, and their sum had none."""
    async with serving_gateway(tmp_path) as served:
        await check_crowd(served, whole(POST))


@pytest.mark.parametrize("call", [READY, NO_ROUTE], ids=["ready", "no-route"])
async def test_requests_ahead_of_unread_answers_stay_within_memory(tmp_path, call):
    """What callers sent ahead grew with the system's buffers."""
    async with serving_gateway(tmp_path) as served:
        await check_crowd(served, ahead(call))


async def test_requests_ahead_at_the_ready_address_stay_within_memory(tmp_path):
    """What callers sent ahead grew with the system's buffers."""
    async with serving_gateway(tmp_path, "ready_bind") as served:
        await check_crowd(served, ahead(READY))


@pytest.mark.parametrize("bind", ["callers_bind", "ready_bind"])
async def test_silent_connections_leave_descriptors_for_others(tmp_path, bind):
    """Connections without a request took all descriptors."""
    async with serving_gateway(tmp_path, bind) as served:
        await check_crowd(served, b"", SILENT_CALLERS)
