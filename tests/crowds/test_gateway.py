"""A gateway stays within its memory and its descriptors, whatever callers do."""

import contextlib

import pytest

from tests.crowds.checks import (
    MEMORY_MB,
    SILENT_CALLERS,
    ServedProcess,
    check_callers_in_turn,
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

# Bytes of an answer that the system takes at once.
LONG_BYTES = 2_000_000
# Callers whose bodies don't end, and the bytes that each one sends.
ENDLESS_CALLERS = 12
ENDLESS_BYTES = 8_000_000

POST = Call("POST /p", ("request-id: id-2", "authorization: Bearer key"))
READY = Call("GET /ready")
LONG = Call("GET /p?long", ("request-id: id-1", "authorization: Bearer key"))
LONG_ANSWER = b"HTTP/1.1 200 OK\r\nreplica-signature: s\r\nrequest-id: id-1\r\n"
LONG_ANSWER += b"content-length: %d\r\n\r\n" % LONG_BYTES + bytes(LONG_BYTES)
NO_ROUTE = Call("GET /none", ("request-id: id-3",), "none.example")
NO_ROUTE_POST = Call("POST /none", ("request-id: id-4",), "none.example")


async def answer_unless_post(stream):
    """Answer a request without a body; hang with the others."""
    data = await read_request(stream)
    if data.startswith(b"POST"):
        await hang(stream)
    elif b"/p?long" in data:
        await stream.send(LONG_ANSWER)
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


async def test_long_answers_that_are_left_unread_stay_within_memory(tmp_path):
    """What the system had taken of them was counted only if they had waited."""
    async with serving_gateway(tmp_path) as served:
        await check_callers_in_turn(served, LONG.head())


async def test_bodies_without_end_at_no_route_leave_room_for_others(tmp_path):
    """They counted as held while they were discarded, and couldn't be stopped."""
    async with serving_gateway(tmp_path) as served:
        content = in_chunks(NO_ROUTE_POST, ENDLESS_BYTES)
        await check_crowd(served, content, ENDLESS_CALLERS)


@pytest.mark.parametrize("bind", ["callers_bind", "ready_bind"])
async def test_silent_connections_leave_descriptors_for_others(tmp_path, bind):
    """Connections without a request took all descriptors."""
    async with serving_gateway(tmp_path, bind) as served:
        await check_crowd(served, b"", SILENT_CALLERS)
