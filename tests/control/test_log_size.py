"""The room that the log takes on the disks of control instances."""

import base64
import random

import anyio
import pytest

from banyanshore.control.process import Control
from banyanshore.core.exceptions import UnavailableError
from banyanshore.state.document import empty_document
from tests.control.instance import make_settings, refuse
from tests.ports import free_ports

pytestmark = pytest.mark.anyio

CHANGES = 90
TEXT_BYTES = 750_000
# Half of the smallest disk of the users' deployments.
MOST_BYTES = 64 * 1024 * 1024


def make_tables(number, source):
    """Return the tables of a declaration whose text hardly compresses."""
    text = base64.b64encode(source.randbytes(TEXT_BYTES)).decode()
    declaration = {"number": number, "source": text}
    return {**empty_document(), "declarations": {"operator": declaration}}


def folder_bytes(folder):
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


async def declare(control, number, tables):
    names = ("services", "routes", "workspaces", "limits", "declarations")
    with anyio.fail_after(10):
        while True:
            try:
                await control.orders.declare(number, {n: tables[n] for n in names})
                return
            except UnavailableError:
                await anyio.sleep(0.05)


@pytest.mark.parametrize("instances", [1, 3])
async def test_large_declarations_do_not_fill_the_disks_of_all_voters(
    tmp_path, instances
):
    """The log was compacted by the number of its entries, whatever their size."""
    (peer_port,) = free_ports(1)
    seeds = [f"127.0.0.{71 + i}:{free_ports(1)[0]}" for i in range(instances)]
    folders = [tmp_path / str(number) for number in range(instances)]
    source = random.Random(1)
    async with anyio.create_task_group() as tasks:
        controls = []
        for address, folder in zip(seeds, folders, strict=True):
            peers = f"{address.partition(':')[0]}:{peer_port}"
            settings = make_settings(folder, address, peers, seeds)
            control = Control(settings, lambda orders, feed: refuse)
            control.orders = None
            tasks.start_soon(control.run, anyio.Event(), anyio.Event())
            controls.append(control)
        with anyio.fail_after(15):
            while any(control.orders is None for control in controls):
                await anyio.sleep(0.05)
        most = 0
        for number in range(1, CHANGES + 1):
            tables = make_tables(number, source)
            await declare(controls[number % instances], number, tables)
            most = max(most, *map(folder_bytes, folders))
        assert most < MOST_BYTES, most
        for control in controls:
            with anyio.fail_after(10):
                while control.state.version < CHANGES:
                    await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
