"""The data folder: torn tails are cut, corruption is refused, errors lose no data."""

import errno
import os

import pytest

from banyanshore.consensus.log import Snapshot
from banyanshore.consensus.messages import Entry, EntryKind, Members
from banyanshore.consensus.storage import Storage, StorageError
from banyanshore.consensus.types import HardState


def entry(index, term=1, size=20):
    return Entry(index, term, int(EntryKind.COMMAND), b"x" * size)


def fill(folder, count=10):
    storage = Storage(folder)
    for index in range(1, count + 1):
        storage.append([entry(index)])
    storage.close()


def last_index(folder):
    storage = Storage(folder)
    try:
        return storage.log.last_index
    finally:
        storage.close()


def test_entries_vote_and_identity_survive_a_restart(tmp_path):
    storage = Storage(tmp_path)
    storage.save_hard_state(HardState(7, "b/1"))
    storage.append([entry(1), entry(2, 7)])
    disk_id = storage.disk_id
    storage.close()
    again = Storage(tmp_path)
    assert again.hard_state == HardState(7, "b/1")
    assert again.log.last_term == 7
    assert again.disk_id == disk_id


@pytest.mark.parametrize("cut", range(1, 40, 3))
def test_torn_tail_is_cut(tmp_path, cut):
    fill(tmp_path)
    path = tmp_path / "log"
    os.truncate(path, path.stat().st_size - cut)
    assert last_index(tmp_path) == 9
    # The next entry is appended in place of the torn one.
    storage = Storage(tmp_path)
    storage.append([entry(10, 2)])
    storage.close()
    assert last_index(tmp_path) == 10


def test_garbage_after_the_last_record_is_cut(tmp_path):
    fill(tmp_path)
    with open(tmp_path / "log", "ab") as stream:
        stream.write(b"\0" * 300)
    assert last_index(tmp_path) == 10


@pytest.mark.parametrize("position", [3, 60, 200])
def test_corruption_before_synced_records_is_refused(tmp_path, position):
    fill(tmp_path)
    content = bytearray((tmp_path / "log").read_bytes())
    content[position] ^= 0xFF
    (tmp_path / "log").write_bytes(content)
    with pytest.raises(StorageError, match="move the folder away"):
        Storage(tmp_path)


def test_corrupt_snapshot_is_refused(tmp_path):
    storage = Storage(tmp_path)
    storage.append([entry(1)])
    storage.save_snapshot(Snapshot(1, 1, Members(("a/1",)), b"state"), [])
    storage.close()
    content = bytearray((tmp_path / "snapshot").read_bytes())
    content[-1] ^= 0xFF
    (tmp_path / "snapshot").write_bytes(content)
    with pytest.raises(StorageError, match="wrong checksum"):
        Storage(tmp_path)


def test_missing_identity_with_an_existing_log_is_refused(tmp_path):
    fill(tmp_path)
    (tmp_path / "identity").unlink()
    with pytest.raises(StorageError, match="identity"):
        Storage(tmp_path)


def test_crash_between_snapshot_and_log_keeps_both_readable(tmp_path, monkeypatch):
    storage = Storage(tmp_path)
    storage.append([entry(index) for index in range(1, 6)])

    def crash(entries):
        raise KeyboardInterrupt

    monkeypatch.setattr(storage, "_rewrite_log", crash)
    with pytest.raises(KeyboardInterrupt):
        storage.save_snapshot(Snapshot(3, 1, Members(("a/1",)), b"s"), [])
    storage.close()
    again = Storage(tmp_path)
    assert again.log.snapshot.last_index == 3
    assert again.log.last_index == 5


def test_truncated_entries_do_not_come_back(tmp_path):
    fill(tmp_path, 5)
    storage = Storage(tmp_path)
    storage.truncate_from(4)
    storage.append([entry(4, 3)])
    storage.close()
    again = Storage(tmp_path)
    assert again.log.last_index == 4
    assert again.log.term_at(4) == 3


def test_full_disk_raises_an_error_and_keeps_earlier_entries(tmp_path, monkeypatch):
    fill(tmp_path, 5)
    storage = Storage(tmp_path)
    real = os.pwrite

    def full(descriptor, data, offset):
        if len(data) < 100:
            raise OSError(errno.ENOSPC, "No space left on device")
        return real(descriptor, data[:60], offset)

    monkeypatch.setattr(os, "pwrite", full)
    with pytest.raises(StorageError, match="No space left"):
        storage.append([entry(6, size=60)])
    storage.close()
    monkeypatch.undo()
    assert last_index(tmp_path) == 5


def test_folder_in_use_is_refused(tmp_path):
    storage = Storage(tmp_path)
    with pytest.raises(StorageError, match="in use by another process"):
        Storage(tmp_path)
    storage.close()
