"""Ports on loopback that no other test, and no other test run, takes."""

import fcntl
import functools
import random
import socket
import tempfile
from pathlib import Path

# Ports below those that the system gives to outgoing connections.
PORT_RANGE = (12_000, 32_000)
# A byte for each port, locked by the test process that has taken it; the system frees
# the locks when that process ends. All test runs on a machine share the file.
PORT_LOCKS = Path(tempfile.gettempdir()) / "banyanshore-test-ports"
# Ports that a process may not have bound yet, though it was told to.
_handed_out = set()


@functools.cache
def _open_port_locks():
    # Kept open: closing it would free all locks of this process.
    return PORT_LOCKS.open("a+b")


def take_port(port):
    """Take a port for this test process; tell whether no other one has it."""
    try:
        fcntl.lockf(_open_port_locks(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_ports(count):
    """Return ports on loopback that are free, and that no other test takes.

    They lie below those that the system gives to outgoing connections, so that none
    is taken between this call and the start of the process that it is for.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        if port in _handed_out or not take_port(port):
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _handed_out.add(port)
        ports.append(port)
    return ports
