"""Ask the system about sockets."""

import fcntl
import socket
import struct
import termios

import anyio

# Seconds without any acknowledgement after which a peer may be lost.
LOST_SECONDS = 3.0
# Transmissions or probes without an answer that a lost peer has had by then. The system
# sends them at doubled intervals, of 0.2 s at least.
LOST_TRANSMISSIONS = 4
# Bytes of the system's ``tcp_info`` that are read.
_TCP_INFO_BYTES = 60
_RETRANSMITS_OFFSET = 2
_PROBES_OFFSET = 3
# Milliseconds since the last acknowledgement.
_LAST_ACK_OFFSET = 56


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


def is_peer_lost(raw):
    """Return whether the peer's system answers nothing to what is sent to it.

    A peer that is alive and doesn't read answers to probes of its closed window.

    :param raw: socket of the connection, ``None`` if the connection has ended.
    """
    if raw is None or raw.fileno() < 0:
        return False
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return False
    (milliseconds,) = struct.unpack_from("=I", info, _LAST_ACK_OFFSET)
    unanswered = info[_RETRANSMITS_OFFSET] + info[_PROBES_OFFSET]
    return milliseconds >= 1000 * LOST_SECONDS and unanswered >= LOST_TRANSMISSIONS


def _read_count(raw, request):
    if raw is None or raw.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(raw.fileno(), request, struct.pack("i", 0))
    except OSError:
        return None
    return struct.unpack("i", answer)[0]
