"""Orders that a control instance reads long after they were sent."""

import contextlib
import socket

import anyio
import pytest

from banyanshore.control import orders as orders_module
from banyanshore.control.process import Control
from banyanshore.core.standstill import CATCH_UP_SECONDS
from banyanshore.platform.control_api import make_control_api
from tests.control.instance import make_settings, wait_until_listening
from tests.gateway.deployment import ask
from tests.ports import free_ports
from tests.suspension import SuspendedMachine

pytestmark = pytest.mark.anyio

PATH = "/api/drain/b"
# Seconds of the longest freeze of a machine that deployments bear.
FREEZE_SECONDS = 6.0


@contextlib.asynccontextmanager
async def running_control(folder):
    """Yield the only control instance of a deployment, and its address."""
    address, peers = (f"127.0.0.1:{port}" for port in free_ports(2))
    control = Control(make_settings(folder, address, peers), make_control_api)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(control.run, stop, anyio.Event())
        await wait_until_listening(address)
        await until(lambda: control.node.raft.is_leader)
        yield control, address
        stop.set()


async def until(condition):
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.02)


async def order(address, method):
    status, _ = await ask(address, make_order(method, b"Connection: close\r\n"))
    return status


def make_order(method, headers=b""):
    """Return the bytes of an order."""
    line = f"{method} {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
    return line.encode() + headers + b"\r\n"


def send_unread(address, method):
    """Send an order that waits in the kernel's buffers; return the socket."""
    host, _, port = address.rpartition(":")
    sender = socket.create_connection((host, int(port)))
    sender.sendall(make_order(method))
    return sender


def is_in_service(control):
    rows = control.state.desired.document["data_centres"]
    return rows.get("b", {"in_service": True})["in_service"]


@pytest.mark.parametrize("is_closed", [True, False])
async def test_order_from_before_a_freeze_does_not_undo_a_later_one(
    tmp_path, monkeypatch, is_closed
):
    """A control instance that woke up undid an evacuation acknowledged since."""
    machine = SuspendedMachine(monkeypatch)
    async with running_control(tmp_path) as (control, address):
        assert await order(address, "POST") == 200
        assert not is_in_service(control)
        with send_unread(address, "DELETE") as sender:
            if is_closed:
                sender.close()
            machine.suspend(FREEZE_SECONDS)
            await anyio.sleep(0.5)
            assert not is_in_service(control)
            if not is_closed:
                sender.settimeout(1.0)
                assert sender.recv(100).startswith(b"HTTP/1.1 503 ")
        await anyio.sleep(CATCH_UP_SECONDS)
        # The operator's next try goes through.
        assert await order(address, "DELETE") == 200
        assert is_in_service(control)


async def test_order_whose_caller_leaves_before_it_is_proposed_has_no_effect(
    tmp_path, monkeypatch
):
    """The caller had asked another instance, and given a later order since."""
    async with running_control(tmp_path) as (control, address):
        assert await order(address, "POST") == 200
        wait = orders_module.Orders.wait_for_latest_version

        async def wait_longer(self, timeout):
            await anyio.sleep(0.4)
            return await wait(self, timeout)

        monkeypatch.setattr(
            orders_module.Orders, "wait_for_latest_version", wait_longer
        )
        sender = send_unread(address, "DELETE")
        await anyio.sleep(0.2)
        sender.close()
        await anyio.sleep(0.8)
        assert not is_in_service(control)


async def test_order_is_not_proposed_on_a_state_read_before_a_freeze(
    tmp_path, monkeypatch
):
    """After a freeze between its read and its proposal an order was made anew."""
    machine = SuspendedMachine(monkeypatch)
    async with running_control(tmp_path) as (control, address):
        assert await order(address, "POST") == 200
        wait = orders_module.Orders.wait_for_latest_version

        async def wait_frozen(self, timeout):
            version = await wait(self, timeout)
            machine.suspend(FREEZE_SECONDS)
            return version

        monkeypatch.setattr(
            orders_module.Orders, "wait_for_latest_version", wait_frozen
        )
        assert await order(address, "DELETE") == 503
        assert not is_in_service(control)
