"""The record on disk of the targets that have said that they leave."""

import errno

import anyio
import pytest

from banyanshore.control import leaving_store
from banyanshore.control.leaving_store import FILE_NAME, LeavingStore
from banyanshore.membership.feed import Registry
from banyanshore.membership.registry import Departure, TargetRow

pytestmark = pytest.mark.anyio


def make_row(number, state="draining", sequence=1):
    address = f"10.0.0.{number}:80"
    return TargetRow(f"t{number}", "s", address, "a", "", 4, state, 0.0, 7, sequence)


class Writes:
    """Count the writes of the file, and refuse those to a full disk."""

    def __init__(self, monkeypatch):
        self.count = 0
        self.is_full = False
        self._replace = leaving_store.replace_file
        monkeypatch.setattr(leaving_store, "replace_file", self.replace)

    def replace(self, path, parts):
        self.count += 1
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        self._replace(path, parts)


@pytest.fixture
def writes(monkeypatch):
    return Writes(monkeypatch)


async def save(folder, rows=(), departures=()):
    """Have rows and departures saved by a store, each by a task of its own."""
    registry = Registry()
    store = LeavingStore(folder, registry)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store.run)
        async with anyio.create_task_group() as callers:
            for row in rows:
                registry.record(0.0, row)
                callers.start_soon(store.save, [row])
            for departure in departures:
                registry.forget(0.0, departure)
                callers.start_soon(store.save, [departure])
        tasks.cancel_scope.cancel()


def load(folder):
    registry = Registry()
    LeavingStore(folder, registry).load(0.0)
    return registry


async def test_saved_targets_are_loaded_by_the_next_start(tmp_path):
    row, departure = make_row(1), Departure("target", "t2", 9, is_final=True)
    await save(tmp_path, [row], [departure])
    registry = load(tmp_path)
    assert registry.targets.rows() == [row]
    assert registry.final_departures() == (departure,)


async def test_hundreds_of_targets_that_leave_at_once_share_writes(tmp_path, writes):
    """One write each would keep the disk from the log for seconds."""
    rows = [make_row(number) for number in range(250)]
    with anyio.fail_after(5):
        await save(tmp_path, rows)
    assert len(load(tmp_path).targets.rows()) == 250
    assert writes.count <= 3


async def test_repeated_report_is_not_written_again(tmp_path, writes):
    registry = Registry()
    store = LeavingStore(tmp_path, registry)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store.run)
        for sequence in range(1, 6):
            row = make_row(1, sequence=sequence)
            registry.record(0.0, row)
            await store.save([row])
        tasks.cancel_scope.cancel()
    assert writes.count == 1


async def test_save_waits_until_a_full_disk_accepts_it(tmp_path, writes, monkeypatch):
    """It was acknowledged though the next start would not know of it."""
    monkeypatch.setattr(leaving_store, "RETRY_SECONDS", 0.02)
    writes.is_full = True
    with anyio.move_on_after(0.2) as scope:
        await save(tmp_path, [make_row(1)])
    assert scope.cancelled_caught
    assert not load(tmp_path).targets.rows()
    writes.is_full = False
    with anyio.fail_after(2):
        await save(tmp_path, [make_row(1)])
    assert load(tmp_path).targets.rows() == [make_row(1)]


@pytest.mark.parametrize("content", [b"", b"abc", b"\0" * 40])
async def test_damaged_file_does_not_keep_an_instance_from_starting(tmp_path, content):
    (tmp_path / FILE_NAME).write_bytes(content)
    assert not load(tmp_path).rows()
