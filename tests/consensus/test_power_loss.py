"""What a member has stored is on its disk when the call returns, without a later sync.

All machines may lose power right after a change was acknowledged. Only what was synced
is kept then, in the files whose names were synced with their folder.
"""

import os
import random

import pytest

from banyanshore.consensus.log import Snapshot
from banyanshore.consensus.messages import Members
from banyanshore.consensus.storage import Storage
from banyanshore.consensus.types import HardState
from tests.consensus.test_storage import entry

MEMBERS = Members(("a/1", "b/1", "c/1"))


class Disk:
    """A folder, and what of it would be left after a loss of power."""

    def __init__(self, folder, monkeypatch):
        self.folder = folder
        self._sync = os.fsync
        self._content_by_inode = {}
        self._inode_by_name = {}
        monkeypatch.setattr(os, "fsync", self._record_sync)

    def _record_sync(self, descriptor):
        self._sync(descriptor)
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if os.path.isdir(path):
            self._inode_by_name = {
                name: os.stat(os.path.join(path, name)).st_ino
                for name in os.listdir(path)
            }
            return
        with open(f"/proc/self/fd/{descriptor}", "rb") as stream:
            self._content_by_inode[os.fstat(descriptor).st_ino] = stream.read()

    def lose_power(self, folder):
        """Write what is left to another folder, and return that."""
        folder.mkdir()
        for name, inode in self._inode_by_name.items():
            content = self._content_by_inode.get(inode, b"")
            (folder / name).write_bytes(content)
        return folder


def check(disk, folder, expected):
    """Check what a member finds after a loss of power."""
    storage = Storage(disk.lose_power(folder))
    log = storage.log
    found = (
        log.snapshot.last_index,
        [log.term_at(index) for index in range(log.first_index, log.last_index + 1)],
        storage.hard_state,
        storage.disk_id,
    )
    storage.close()
    assert found == expected


@pytest.mark.parametrize("seed", range(20))
def test_stored_entries_votes_and_snapshots_outlast_a_loss_of_power(
    tmp_path, monkeypatch, seed
):
    source = random.Random(seed)
    (tmp_path / "disk").mkdir()
    disk = Disk(tmp_path / "disk", monkeypatch)
    storage = Storage(disk.folder)
    start, terms, term = 0, [], 1
    vote = HardState(0, "")
    for step in range(30):
        act = source.choice(["append", "append", "term", "truncate", "snapshot"])
        if act == "append":
            count = source.randint(1, 3)
            first = start + len(terms) + 1
            storage.append([entry(first + n, term) for n in range(count)])
            terms += [term] * count
        elif act == "term":
            term += 1
            vote = HardState(term, "b/1")
            storage.save_hard_state(vote)
        elif act == "truncate" and terms:
            kept = source.randrange(len(terms))
            storage.truncate_from(start + kept + 1)
            terms = terms[:kept]
        elif act == "snapshot":
            # Of the own log, or of a leader whose log is longer.
            start += source.randint(1, len(terms) + 2)
            terms = []
            storage.save_snapshot(Snapshot(start, term, MEMBERS, b"s"), [])
        expected = (start, terms, vote, storage.disk_id)
        check(disk, tmp_path / f"after-{step}", expected)
    storage.close()


def test_entry_that_is_not_synced_is_lost(tmp_path, monkeypatch):
    (tmp_path / "disk").mkdir()
    disk = Disk(tmp_path / "disk", monkeypatch)
    storage = Storage(disk.folder)
    storage.append([entry(1)])
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)
    storage.append([entry(2)])
    expected = (0, [1], HardState(0, ""), storage.disk_id)
    check(disk, tmp_path / "after", expected)
    storage.close()
