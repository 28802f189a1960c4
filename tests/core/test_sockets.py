"""What the system tells of a connection whose peer is lost, or doesn't read."""

import contextlib
import socket
import struct
import time

import pytest

from banyanshore.core.sockets import LOST_SECONDS, LOST_TRANSMISSIONS, is_peer_lost

LOST_MS = int(1000 * LOST_SECONDS)


class ReportedSocket:
    """A socket of which the system reports some values."""

    def __init__(self, retransmits=0, probes=0, last_ack_ms=0):
        self._info = struct.pack(
            "=BBBB52xI", 1, 0, retransmits, probes, last_ack_ms
        ).ljust(104, b"\0")

    def fileno(self):
        return 3

    def getsockopt(self, level, option, size):
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        return self._info[:size]


@pytest.mark.parametrize(
    ("values", "is_lost"),
    [
        ((LOST_TRANSMISSIONS, 0, LOST_MS), True),
        ((0, LOST_TRANSMISSIONS, LOST_MS), True),
        ((LOST_TRANSMISSIONS, 0, LOST_MS - 1), False),
        # After an idle time, or of a peer that answers probes and doesn't read.
        ((LOST_TRANSMISSIONS - 1, 0, 100 * LOST_MS), False),
        ((0, 1, 100 * LOST_MS), False),
    ],
    ids=["sent-again", "probes", "short", "few", "does-not-read"],
)
def test_peer_is_lost_after_enough_that_it_has_not_answered(values, is_lost):
    assert is_peer_lost(ReportedSocket(*values)) is is_lost


def test_ended_connection_is_not_lost():
    raw = socket.socket()
    raw.close()
    assert not is_peer_lost(raw)
    assert not is_peer_lost(None)


def test_peer_that_does_not_read_is_not_lost():
    """Its window is closed, and its system answers each probe."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        stack.enter_context(socket.create_connection(listening.getsockname()))
        raw = stack.enter_context(listening.accept()[0])
        raw.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                raw.send(b"x" * 65_536)
        time.sleep(LOST_SECONDS + 1)
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 60)
        assert not is_peer_lost(raw)
        # The values are where they are looked for: probes were sent and answered.
        (last_ack_ms,) = struct.unpack_from("=I", info, 56)
        assert last_ack_ms < 1000 * (LOST_SECONDS + 1)
