"""Test the local order that takes a cut-off data centre out of service."""

import errno
import os
import stat

import pytest

from banyanshore.entry.local_orders import LocalOrders


@pytest.fixture
def synced(monkeypatch):
    """Record whether each fsync was of a file or of a folder, in order."""
    kinds = []
    fsync = os.fsync

    def record(descriptor):
        mode = os.fstat(descriptor).st_mode
        kinds.append("folder" if stat.S_ISDIR(mode) else "file")
        fsync(descriptor)

    monkeypatch.setattr(os, "fsync", record)
    return kinds


def test_order_is_durable_once_given(tmp_path, synced):
    orders = LocalOrders("liege-a", tmp_path)
    number = orders.take_out_of_service()
    # Without the fsync of the folder, a power cut can lose the file's name.
    assert synced == ["file", "folder"]
    assert LocalOrders("liege-a", tmp_path).number == number


def test_order_applies_when_the_disk_is_full(tmp_path, monkeypatch, caplog):
    def fail(descriptor):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    orders = LocalOrders("liege-a", tmp_path)
    monkeypatch.setattr(os, "fsync", fail)
    orders.take_out_of_service()
    assert orders.is_out_of_service
    assert "No space left" in caplog.text
