"""Measure the processor time, memory and traffic of processes."""

import re
import time
from dataclasses import dataclass
from pathlib import Path

_METRIC = re.compile(r"^banyanshore_peer_(\w+)_bytes (\S+)$", re.MULTILINE)


@dataclass(frozen=True)
class Usage:
    """Resource usage of one process up to a point in time.

    :param at: that time, from :func:`time.monotonic`.
    :param cpu_seconds: processor time.
    :param memory_bytes: private resident memory.
    :param bytes_sent: bytes sent to peers.
    :param bytes_received: bytes received from peers.
    """

    at: float
    cpu_seconds: float
    memory_bytes: int
    bytes_sent: float = 0.0
    bytes_received: float = 0.0


@dataclass(frozen=True)
class Rate:
    """Resource usage between two points in time, with traffic in bytes a second."""

    core_percent: float
    memory_bytes: int
    sent: float
    received: float


def read_usage(pid, metrics_text=""):
    """Return the :class:`Usage` of a process."""
    # In nanoseconds; the ticks in "stat" are too coarse for an idle process.
    nanoseconds = sum(
        int(path.read_text().split()[0])
        for path in Path(f"/proc/{pid}/task").glob("*/schedstat")
    )
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    private = sum(
        int(amount) for amount in re.findall(r"^Private_\w+:\s+(\d+)", rollup, re.M)
    )
    found = {name: float(value) for name, value in _METRIC.findall(metrics_text)}
    return Usage(
        time.monotonic(),
        nanoseconds / 1e9,
        private * 1024,
        found.get("sent", 0.0),
        found.get("received", 0.0),
    )


def rate_between(before, after):
    """Return the :class:`Rate` between two usages of one process."""
    seconds = after.at - before.at
    return Rate(
        100 * (after.cpu_seconds - before.cpu_seconds) / seconds,
        after.memory_bytes,
        (after.bytes_sent - before.bytes_sent) / seconds,
        (after.bytes_received - before.bytes_received) / seconds,
    )
