"""Ask the system about sockets."""

import fcntl
import struct
import termios


def count_unacknowledged_bytes(raw):
    """Return the bytes that were sent and not acknowledged by the peer's system.

    :param raw: a TCP socket.
    :return: 0 if it is closed.
    """
    if raw.fileno() < 0:
        return 0
    answer = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", answer)[0]
