"""Staging of chunks at the target while a transfer goes on."""

import anyio
import pytest

from tests.loader.test_driver import Engine
from tests.loader.test_versions_in_a_row import ALL, CHUNKS, make_loader

pytestmark = pytest.mark.anyio


class SlowEngine(Engine):
    """An engine that stages a chunk only once it may."""

    def __init__(self):
        super().__init__()
        self.may_stage = anyio.Event()
        self.begun = []

    async def stage(self, model, index, data):
        self.begun.append(index)
        await self.may_stage.wait()
        await super().stage(model, index, data)


def make_transfer(monkeypatch):
    monkeypatch.setattr("tests.loader.test_versions_in_a_row.Engine", SlowEngine)
    loader = make_loader(ALL >> 2, 0)
    return loader, loader.carried.get(2)


async def store(transfer, *indices):
    for index in indices:
        await transfer._store_chunk(index, CHUNKS[2][index : index + 1])


async def test_next_chunk_arrives_while_one_is_staged(monkeypatch):
    """The link was idle for the time of the staging, a tenth of a transfer."""
    loader, transfer = make_transfer(monkeypatch)
    async with anyio.create_task_group() as transfer._tasks:
        with anyio.fail_after(1):
            await store(transfer, 8, 9)
        await anyio.sleep(0.02)
        assert loader.engine.begun == [8]
        loader.engine.may_stage.set()
    assert loader.engine.staged == dict.fromkeys((8, 9), b"\x02")


async def test_chunk_that_arrives_as_the_last_one_is_staged_ends_no_loader(monkeypatch):
    """A second task staged the same chunk, and removed it from an empty queue."""
    loader, transfer = make_transfer(monkeypatch)
    loader.engine.may_stage.set()
    arriving = iter([9])

    def on_stage():
        for index in arriving:
            transfer._tasks.start_soon(store, transfer, index)

    loader.engine.on_stage = on_stage
    async with anyio.create_task_group() as transfer._tasks:
        await store(transfer, 8)
        await anyio.sleep(0.02)
    assert loader.engine.begun == [8, 9]


async def test_transfer_that_is_given_up_ends_what_it_stages_and_stages_no_more(
    monkeypatch,
):
    """A chunk would arrive at the target beside those of the next version."""
    loader, transfer = make_transfer(monkeypatch)
    staging = loader.target.staging
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_group, transfer, tasks)
        await anyio.sleep(0.02)
        await store(transfer, 8, 9)
        await anyio.sleep(0.02)
        transfer._tasks.cancel_scope.cancel()
        await anyio.sleep(0.02)
        assert staging.lock.locked()
        loader.engine.may_stage.set()
    assert not staging.lock.locked()
    assert loader.engine.begun == [8]
    assert loader.engine.staged == {8: b"\x02"}


async def run_group(transfer, tasks):
    async with anyio.create_task_group() as transfer._tasks:
        await anyio.sleep_forever()
