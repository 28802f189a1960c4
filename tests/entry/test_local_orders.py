"""The local order by which a data centre that is cut off is taken out."""

import errno
import os
import stat

import pytest

from banyanshore.entry.local_orders import LocalOrders


@pytest.fixture
def synced(monkeypatch):
    """Kinds of what was synced, in order."""
    kinds = []
    fsync = os.fsync

    def record(descriptor):
        mode = os.fstat(descriptor).st_mode
        kinds.append("folder" if stat.S_ISDIR(mode) else "file")
        fsync(descriptor)

    monkeypatch.setattr(os, "fsync", record)
    return kinds


def test_order_lasts_once_it_is_given(tmp_path, synced):
    orders = LocalOrders("liege-a", tmp_path)
    number = orders.take_out_of_service()
    # Without the second sync a power cut can take the file's name away.
    assert synced == ["file", "folder"]
    assert LocalOrders("liege-a", tmp_path).number == number


def test_order_holds_though_the_disk_is_full(tmp_path, monkeypatch, caplog):
    def fail(descriptor):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    orders = LocalOrders("liege-a", tmp_path)
    monkeypatch.setattr(os, "fsync", fail)
    orders.take_out_of_service()
    assert orders.is_out_of_service
    assert "No space left" in caplog.text
