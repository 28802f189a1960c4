"""Allocate loopback ports that no other test or test run uses."""

import fcntl
import functools
import random
import socket
from pathlib import Path

# Below the ephemeral ports that the system assigns to outgoing connections.
PORT_RANGE = (12_000, 32_000)
# Has a byte for each port, locked by the test process that uses it; the system releases
# the locks when that process exits. All test runs on a machine share the file, also
# those with another folder for temporary files.
PORT_LOCK_FILE = Path("/tmp/banyanshore-test-ports")
# Ports already returned; their processes may not have bound them yet.
_handed_out = set()


@functools.cache
def _open_port_lock_file():
    # Kept open, since closing the file would release all locks of this process.
    return PORT_LOCK_FILE.open("a+b")


def lock_port(port):
    """Lock a port for this test process; return whether no other process has it."""
    try:
        fcntl.lockf(_open_port_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_ports(count):
    """Return free loopback ports that no other test uses.

    They lie below the ephemeral ports, so no outgoing connection can take one before
    the process that it is meant for binds it.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        if port in _handed_out or not lock_port(port):
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _handed_out.add(port)
        ports.append(port)
    return ports
