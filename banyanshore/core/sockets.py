"""Ask the system about sockets."""

import fcntl
import struct
import termios

import anyio


def find_socket(stream):
    """Return the socket of a connection, or ``None`` if the connection has ended.

    An event loop may close the socket as soon as the peer has reset the connection.

    :param stream: the anyio stream of the connection.
    """
    try:
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    except AttributeError:
        # uvloop gives anyio no socket then, of which anyio asks the peer's address.
        return None
    return raw if raw is not None and raw.fileno() >= 0 else None


def count_unacknowledged_bytes(raw):
    """Return the bytes that were sent and not acknowledged by the peer's system.

    :param raw: socket of the connection, ``None`` if the connection has ended.
    :return: ``None`` if the system doesn't tell, 0 if the connection has ended.
    """
    return _read_count(raw, termios.TIOCOUTQ)


def count_unread_bytes(raw):
    """Return the bytes that have arrived and were not read from the system.

    :param raw: socket of the connection, ``None`` if the connection has ended.
    :return: ``None`` if the system doesn't tell, 0 if the connection has ended.
    """
    return _read_count(raw, termios.FIONREAD)


def _read_count(raw, request):
    if raw is None or raw.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(raw.fileno(), request, struct.pack("i", 0))
    except OSError:
        return None
    return struct.unpack("i", answer)[0]
