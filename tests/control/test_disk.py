"""Recovery of a control instance from a temporary disk failure."""

import errno
import os

import anyio
import pytest

from banyanshore.consensus import log_runner
from banyanshore.control.process import Control
from banyanshore.core.exceptions import UnavailableError
from tests.control.instance import make_settings, refuse
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
    monkeypatch.setattr(log_runner, "DISK_RETRY_SECONDS", 0.05)
    address, peers = (f"127.0.0.1:{port}" for port in free_ports(2))
    settings = make_settings(tmp_path, address, peers)
    stop = anyio.Event()
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


class FullDisks:
    """The data folders whose disks refuse every write."""

    def __init__(self, monkeypatch):
        self.folders = set()
        for name in ("fsync", "pwrite"):
            monkeypatch.setattr(os, name, self._refusing(getattr(os, name)))

    def _refusing(self, write):
        def write_or_refuse(descriptor, *arguments):
            path = os.readlink(f"/proc/self/fd/{descriptor}")
            if any(path.startswith(str(folder)) for folder in self.folders):
                raise OSError(errno.ENOSPC, "No space left on device")
            return write(descriptor, *arguments)

        return write_or_refuse


def start_control(tasks, address, seeds, peer_port, folder):
    peers_bind = f"{address.partition(':')[0]}:{peer_port}"
    settings = make_settings(folder, address, peers_bind, seeds)
    control = Control(settings, lambda orders, feed: refuse)
    stop = anyio.Event()
    tasks.start_soon(control.run, stop, stop)
    return control


async def test_instance_whose_disk_is_full_does_not_take_part(tmp_path, monkeypatch):
    """Its log was reopened while the disk refused writes, again and again."""
    monkeypatch.setattr(log_runner, "DISK_RETRY_SECONDS", 0.05)
    disks = FullDisks(monkeypatch)
    port, peer_port = free_ports(2)
    address = f"127.0.0.1:{port}"
    async with anyio.create_task_group() as tasks:
        control = start_control(tasks, address, [address], peer_port, tmp_path)
        await anyio.sleep(0.1)
        await make_order(control, 2)
        disks.folders.add(tmp_path)
        with pytest.raises(UnavailableError):
            await control.orders.set_model_version("m", 3)
        roles = set()
        for _ in range(100):
            roles.add(control.node.status().role)
            await anyio.sleep(0.01)
        assert roles == {"failed"}
        disks.folders.clear()
        await make_order(control, 3)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("instances", [3, 5])
async def test_changes_are_accepted_after_all_disks_were_full_in_turn(
    instances, tmp_path, monkeypatch
):
    """Two disks were never full at the same time."""
    disks = FullDisks(monkeypatch)
    (peer_port,) = free_ports(1)
    seeds = [f"127.0.0.{31 + i}:{free_ports(1)[0]}" for i in range(instances)]
    folders = [tmp_path / str(number) for number in range(instances)]
    async with anyio.create_task_group() as tasks:
        controls = [
            start_control(tasks, address, seeds[:3], peer_port, folder)
            for address, folder in zip(seeds, folders, strict=True)
        ]
        await anyio.sleep(0.1)
        await make_order(controls[0], 2)
        version = 2
        for folder in folders:
            disks.folders = {folder}
            with anyio.move_on_after(3.0):
                while True:
                    version += 1
                    await make_order(controls[version % instances], version)
                    await anyio.sleep(0.1)
            disks.folders = set()
            await anyio.sleep(0.5)
        for control in controls:
            version += 1
            await make_order(control, version, seconds=4.0)
        tasks.cancel_scope.cancel()
