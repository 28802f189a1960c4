"""Ask the system about sockets."""

import fcntl
import struct
import termios


def count_unacknowledged_bytes(raw):
    """Return the bytes that were sent and not acknowledged by the peer's system.

    :param raw: socket of the connection.
    :return: ``None`` if the system doesn't tell, 0 if the connection has ended.
    """
    return _read_count(raw, termios.TIOCOUTQ)


def count_unread_bytes(raw):
    """Return the bytes that have arrived and were not read from the system.

    :param raw: socket of the connection.
    :return: ``None`` if the system doesn't tell, 0 if the connection has ended.
    """
    return _read_count(raw, termios.FIONREAD)


def _read_count(raw, request):
    if raw.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(raw.fileno(), request, struct.pack("i", 0))
    except OSError:
        return None
    return struct.unpack("i", answer)[0]
