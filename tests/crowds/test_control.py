"""A control instance stays within its memory and descriptors, whatever callers do."""

import contextlib
import sys

import pytest
import yaml

from tests.control.instance import wait_until_listening
from tests.crowds.checks import (
    MEMORY_MB,
    SILENT_CALLERS,
    ServedProcess,
    check_crowd,
    few_descriptors,
)
from tests.crowds.contents import Call, ahead, in_chunks, with_length
from tests.deployment import Process
from tests.ports import free_ports
from tests.registrations import make_registration

pytestmark = pytest.mark.anyio

PUT = Call("PUT /api/config")
NO_CALL = Call("GET /none")


def make_heartbeat():
    """Return a heartbeat of a target as a request."""
    body = make_registration(1)
    call = Call("PUT /api/replicas/i-1", ("connection: close",))
    return call.head(f"content-length: {len(body)}") + body


@contextlib.asynccontextmanager
async def serving_control(folder):
    """Run a control instance; yield the :class:`ServedProcess`."""
    port, peer_port = free_ports(2)
    address = f"127.0.0.1:{port}"
    path = folder / "control.yaml"
    path.write_text(
        yaml.safe_dump(
            {
                "role": "control",
                "instance": "core-1",
                "data_centre": "a",
                "control_bind": address,
                "peers_bind": f"127.0.0.1:{peer_port}",
                "peer_port": peer_port,
                "seeds": [address],
                "data_dir": str(folder / "data"),
                "memory_mb": MEMORY_MB,
            }
        )
    )
    command = [sys.executable, "-m", "banyanshore.daemon", f"--settings={path}"]
    with few_descriptors():
        process = Process("control", command, folder)
    try:
        await wait_until_listening(address)
        yield ServedProcess(process, address, [port], make_heartbeat())
    finally:
        process.kill()


@pytest.mark.parametrize("make", [with_length, in_chunks])
async def test_bodies_that_stop_short_of_their_end_stay_within_memory(tmp_path, make):
    """Each body had a bound, and their sum had none."""
    async with serving_control(tmp_path) as served:
        await check_crowd(served, make(PUT))


async def test_requests_ahead_of_unread_answers_stay_within_memory(tmp_path):
    """What callers sent ahead grew with the system's buffers."""
    async with serving_control(tmp_path) as served:
        await check_crowd(served, ahead(NO_CALL))


async def test_silent_connections_leave_descriptors_for_others(tmp_path):
    """Connections without a request took all descriptors."""
    async with serving_control(tmp_path) as served:
        await check_crowd(served, b"", SILENT_CALLERS)
