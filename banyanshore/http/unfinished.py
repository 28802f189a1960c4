"""What a server leaves unfinished on its connections when it ends.

Load pattern: a process that stops while callers read slowly, send further requests, or
come late. Requests that were cut off, answers that were not delivered, and requests
that were never read differ in what their callers may do.
"""

import fcntl
import struct
import termios
from dataclasses import dataclass
from enum import Enum

import anyio


class Phase(Enum):
    """What a connection does."""

    # Nothing of a request has been read.
    IDLE = "idle"
    # A part of a request's head has been read.
    READING_HEAD = "reading-head"
    # A request is being processed, or its body is being read.
    PROCESSING = "processing"
    # A part of an answer was sent.
    ANSWERING = "answering"
    # The whole answer was sent; the caller may not have received all of it.
    DELIVERING = "delivering"


@dataclass(frozen=True)
class Unfinished:
    """A request that a process leaves behind, or bytes that it has not read.

    :param request_id: id of the last request of the connection, empty if none is known.
    :param unacknowledged_bytes: bytes that were sent and that the caller's system has
        not acknowledged, ``None`` if the system doesn't tell.
    :param unread_bytes: bytes that arrived and were not read, ``None`` if the system
        doesn't tell.
    """

    phase: Phase
    request_id: str
    unacknowledged_bytes: int | None
    unread_bytes: int | None


def count_unacknowledged_bytes(stream):
    """Return the bytes that were sent and not acknowledged by the peer's system.

    :return: ``None`` if the system doesn't tell, 0 if the connection has ended.
    """
    return _read_count(stream, termios.TIOCOUTQ)


def count_unread_bytes(stream):
    """Return the bytes that have arrived and were not read from the system.

    :return: ``None`` if the system doesn't tell, 0 if the connection has ended.
    """
    return _read_count(stream, termios.FIONREAD)


def _read_count(stream, request):
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(raw.fileno(), request, struct.pack("i", 0))
    except OSError:
        return None
    return struct.unpack("i", answer)[0]
