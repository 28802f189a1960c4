"""Write files durably and atomically, so that they survive a power failure."""

import os
from pathlib import Path


def replace_file(path, parts):
    """Replace the content of a file atomically; it is durable on return.

    :param path: path of the file.
    :param parts: bytes objects that are written one after another.
    :raises OSError: the disk is full or fails; the old content is kept.
    """
    path = Path(path)
    temporary_path = path.with_name(f"{path.name}.new")
    with open(temporary_path, "wb") as stream:
        stream.writelines(parts)
        stream.flush()
        os.fsync(stream.fileno())
    os.replace(temporary_path, path)
    sync_folder(path.parent)


def sync_folder(folder):
    """Flush a directory to disk, so that created and renamed files are durable.

    :raises OSError: the disk fails.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
