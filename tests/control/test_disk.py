"""Recovery of a control instance from a temporary disk failure."""

import errno
import os

import anyio
import pytest

from banyanshore.conf.loader import parse_settings
from banyanshore.control import process as control_process
from banyanshore.control.process import Control
from banyanshore.core.exceptions import UnavailableError
from tests.ports import free_ports

pytestmark = pytest.mark.anyio


async def make_order(control, version, seconds=8.0):
    with anyio.fail_after(seconds):
        while True:
            try:
                return await control.orders.set_model_version("m", version)
            except UnavailableError:
                await anyio.sleep(0.05)


async def test_log_is_reopened_once_the_disk_accepts_writes(tmp_path, monkeypatch):
    """A full disk stopped the log of an instance permanently, which lost its vote."""
    monkeypatch.setattr(control_process, "DISK_RETRY_SECONDS", 0.05)
    address, peers = (f"127.0.0.1:{port}" for port in free_ports(2))
    settings = parse_settings(
        {
            "role": "control",
            "instance": "core-1",
            "data_centre": "a",
            "control_bind": address,
            "peers_bind": peers,
            "peer_port": int(peers.rpartition(":")[2]),
            "seeds": [address],
            "data_dir": str(tmp_path),
        }
    )
    stop = anyio.Event()

    async def refuse(exchange):
        await exchange.respond(404)

    control = Control(settings, lambda orders, feed: refuse)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(control.run, stop, stop)
        await anyio.sleep(0.1)
        await make_order(control, 2)

        def fail(*arguments):
            raise OSError(errno.ENOSPC, "No space left on device")

        with monkeypatch.context() as full:
            full.setattr(os, "fsync", fail)
            with pytest.raises(UnavailableError):
                await control.orders.set_model_version("m", 3)
            await anyio.sleep(0.3)
        await make_order(control, 3)
        assert control.state.desired.document["rollouts"]["m"] == {"version": 3}
        assert control.machine.version >= 2
        stop.set()
