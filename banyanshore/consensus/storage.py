"""Durable state of a member under one data folder.

``identity`` holds the id of the disk, ``vote`` the term and the vote, ``snapshot`` the
last snapshot and ``log`` the entries after it. The first three are replaced atomically.
Each record of the log stores how many bytes of the file were synced when it was
written. This distinguishes a torn tail, which was never acknowledged, from corruption
of acknowledged records.
"""

import fcntl
import os
import struct
import uuid
import zlib
from pathlib import Path

from banyanshore.consensus.log import EMPTY_SNAPSHOT, Log, Snapshot
from banyanshore.consensus.types import HardState
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.files import replace_file, sync_folder
from banyanshore.core.values import dataclass
from banyanshore.transport.codec import CodecError, decode, encode

# Length of the payload, CRC-32 of all that follows, number of bytes synced before.
_RECORD_HEADER = struct.Struct("<IIQ")
_CHECKSUM = struct.Struct("<I")
# Size of the file by which the room on the disk is checked, in bytes.
PROBE_BYTES = 64 * 1024


class StorageError(BanyanshoreError):
    """Raised for a data folder that can't be read or written."""


@dataclass(frozen=True)
class Record:
    """One record of the log file and its position.

    :param synced_before: bytes of the file that were synced before it was written.
    """

    entry: object
    start: int
    end: int
    synced_before: int


class Storage:
    """The data folder of one member, locked by one process at a time.

    :param folder: path of the data folder, created if it is missing.
    :raises StorageError: the folder is in use, damaged or not writable.
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self._offset_by_index = {}
        self._log_file = None
        self._log_length = 0
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock_file = open(self.folder / "lock", "w")  # noqa: SIM115
        except OSError as error:
            raise self._io_error("open", error) from error
        self._lock()
        self.disk_id = self._load_disk_id()
        self.hard_state = HardState(*self._read_value("vote", (0, "")))
        self.log = self._load_log()

    @staticmethod
    def check_writable(folder):
        """Write and remove a file of the size of a large record.

        :raises StorageError: the disk refuses the write.
        """
        path = Path(folder) / "probe"
        try:
            replace_file(path, (bytes(PROBE_BYTES),))
            path.unlink()
        except OSError as error:
            raise _io_error(folder, "probe", error) from error

    def save_hard_state(self, hard_state):
        """Make the term and the vote durable."""
        self._write_value("vote", (hard_state.term, hard_state.voted_for))

    def append(self, entries):
        """Make entries durable that follow those on disk."""
        if not entries:
            return
        start = self._log_length
        parts = []
        offset = start
        for entry in entries:
            record = _pack_record(entry, start)
            self._offset_by_index[entry.index] = offset
            offset += len(record)
            parts.append(record)
        try:
            self._write_at(start, b"".join(parts))
        except OSError as error:
            self._undo_append(start)
            raise self._io_error("append", error) from error
        self._log_length = offset

    def truncate_from(self, index):
        """Drop the entry at an index and all that follow it from disk."""
        offset = self._offset_by_index.get(index)
        if offset is None:
            return
        try:
            os.ftruncate(self._log_file.fileno(), offset)
            os.fsync(self._log_file.fileno())
        except OSError as error:
            raise self._io_error("truncate", error) from error
        self._log_length = offset
        for known in [known for known in self._offset_by_index if known >= index]:
            del self._offset_by_index[known]

    def save_snapshot(self, snapshot, remaining_entries):
        """Make a snapshot durable, then rewrite the log with the remaining entries."""
        value = (
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members,
            snapshot.data,
        )
        self._write_value("snapshot", value)
        self._rewrite_log(remaining_entries)

    def close(self):
        """Close the files and release the lock."""
        if self._log_file is not None:
            self._log_file.close()
        self._lock_file.close()

    def _lock(self):
        try:
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise StorageError(
                f"{self.folder} is in use by another process; give each instance a "
                "data_dir of its own",
                step="lock",
            ) from None

    def _load_disk_id(self):
        disk_id = self._read_value("identity", None)
        if disk_id is None:
            if (self.folder / "log").exists() or (self.folder / "vote").exists():
                raise self._corruption("identity", "is missing beside a log")
            disk_id = uuid.uuid4().hex[:12]
            self._write_value("identity", disk_id)
        return disk_id

    def _load_log(self):
        value = self._read_value("snapshot", None)
        snapshot = EMPTY_SNAPSHOT if value is None else Snapshot(*value)
        path = self.folder / "log"
        try:
            existed = path.exists()
            self._log_file = open(path, "r+b" if existed else "w+b")  # noqa: SIM115
            if not existed:
                sync_folder(self.folder)
            content = self._log_file.read()
        except OSError as error:
            raise self._io_error("open-log", error) from error
        records = self._cut_torn_tail(content)
        entries = []
        for record in records:
            self._offset_by_index[record.entry.index] = record.start
            if record.entry.index > snapshot.last_index:
                entries.append(record.entry)
        self._check_sequence(snapshot, entries)
        return Log(snapshot, entries)

    def _cut_torn_tail(self, content):
        records, end = _read_records(content)
        if end < len(content):
            if _has_synced_record_after(content, end):
                raise self._corruption("log", f"is corrupt at byte {end}")
            try:
                os.ftruncate(self._log_file.fileno(), end)
                os.fsync(self._log_file.fileno())
            except OSError as error:
                raise self._io_error("cut-tail", error) from error
        self._log_length = end
        return records

    def _check_sequence(self, snapshot, entries):
        expected = snapshot.last_index + 1
        for entry in entries:
            if entry.index != expected:
                raise self._corruption(
                    "log", f"holds entry {entry.index} where {expected} should be"
                )
            expected += 1

    def _write_at(self, offset, data):
        descriptor = self._log_file.fileno()
        written = 0
        while written < len(data):
            written += os.pwrite(descriptor, data[written:], offset + written)
        os.fsync(descriptor)

    def _undo_append(self, length):
        for index, offset in list(self._offset_by_index.items()):
            if offset >= length:
                del self._offset_by_index[index]
        try:
            os.ftruncate(self._log_file.fileno(), length)
        except OSError:
            # The torn tail is cut when the log is loaded again.
            return

    def _rewrite_log(self, entries):
        offsets = {}
        length = 0
        records = []
        for entry in entries:
            record = _pack_record(entry, 0)
            offsets[entry.index] = length
            length += len(record)
            records.append(record)
        try:
            replace_file(self.folder / "log", records)
            self._log_file.close()
            self._log_file = open(self.folder / "log", "r+b")  # noqa: SIM115
        except OSError as error:
            raise self._io_error("rewrite-log", error) from error
        self._offset_by_index = offsets
        self._log_length = length

    def _read_value(self, name, default):
        try:
            content = (self.folder / name).read_bytes()
        except FileNotFoundError:
            return default
        except OSError as error:
            raise self._io_error(f"read-{name}", error) from error
        try:
            (checksum,) = _CHECKSUM.unpack_from(content)
            body = content[_CHECKSUM.size :]
            if checksum != zlib.crc32(body):
                raise self._corruption(name, "has a wrong checksum")
            return decode(body)
        except (struct.error, CodecError):
            raise self._corruption(name, "can't be read") from None

    def _write_value(self, name, value):
        body = encode(value)
        checksum = _CHECKSUM.pack(zlib.crc32(body))
        try:
            replace_file(self.folder / name, (checksum, body))
        except OSError as error:
            raise self._io_error(f"write-{name}", error) from error

    def _io_error(self, step, error):
        return _io_error(self.folder, step, error)

    def _corruption(self, name, detail):
        return StorageError(
            f"{self.folder / name} {detail}; move the folder away and start again: "
            "this instance then comes back without a vote and is brought up to date "
            "by the others",
            step="load",
        )


def _io_error(folder, step, error):
    return StorageError(
        f"{folder}: {error.strerror or error}; check the disk's space and rights, then "
        "start again",
        step=step,
    )


def _pack_record(entry, synced_before):
    payload = encode(entry)
    rest = struct.pack("<Q", synced_before) + payload
    return _RECORD_HEADER.pack(len(payload), zlib.crc32(rest), synced_before) + payload


def _read_record(content, start):
    body_start = start + _RECORD_HEADER.size
    if body_start > len(content):
        return None
    length, checksum, synced_before = _RECORD_HEADER.unpack_from(content, start)
    end = body_start + length
    if length == 0 or end > len(content):
        return None
    if zlib.crc32(content[start + 8 : end]) != checksum:
        return None
    return Record(decode(content[body_start:end]), start, end, synced_before)


def _read_records(content):
    records = []
    end = 0
    while (record := _read_record(content, end)) is not None:
        records.append(record)
        end = record.end
    return records, end


def _has_synced_record_after(content, bad_offset):
    # Look for a complete record after the bad offset that was written when the bad
    # offset had already been synced.
    for start in range(bad_offset + 1, len(content) - _RECORD_HEADER.size):
        record = _read_record(content, start)
        if record is not None and record.synced_before > bad_offset:
            return True
    return False
