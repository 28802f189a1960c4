"""Share HTTP/1.1 helpers for anyio streams between the server and the client."""

import contextlib
import select
import socket
import struct

import anyio

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.sockets import find_socket

# Bytes read from a socket at a time.
READ_SIZE_BYTES = 64 * 1024
# Receive buffer of a connection that relays answers or bodies, of which the system uses
# twice as much; by default it grows to megabytes.
RECEIVE_BUFFER_BYTES = 128 * 1024
# Value of SO_LINGER with which a close drops unsent bytes and resets the connection.
_LINGER_WITHOUT_WAIT = struct.pack("ii", 1, 0)
# Milliseconds for which sent bytes may stay unacknowledged, to detect a peer that has
# lost power or is behind a network partition.
TCP_USER_TIMEOUT_MS = 3_000
# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class PeerClosedError(BanyanshoreError):
    """Signal that the peer closed or reset the connection."""


def strip_hop_by_hop(headers):
    """Return headers without those that apply to one connection only.

    >>> strip_hop_by_hop([(b"connection", b"x-own"), (b"x-own", b"1"), (b"host", b"a")])
    [(b'host', b'a')]
    """
    connection_options = set()
    for name, value in headers:
        if name == b"connection":
            connection_options.update(
                part.strip().lower() for part in value.split(b",")
            )
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return [(name, value) for name, value in headers if name not in dropped]


def get_header(headers, name, default=None):
    """Return the first value of a header as text, or a default.

    :param headers: pairs of bytes with names in lower case.
    :param name: name in lower case, as bytes.
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return default


def set_timeouts(stream):
    """Make the kernel close the connection if its peer stops responding or reading."""
    raw = find_socket(stream)
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    set_keepalive(stream)


def set_keepalive(stream):
    """Make the kernel close an idle connection if its peer stops responding."""
    raw = find_socket(stream)
    if raw is None:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def bound_receive_buffer(stream):
    """Bound the bytes that arrive on a connection before they are asked for.

    Load pattern: many peers send as fast as they can, and an event loop that reads all
    that has arrived holds it for each of them.
    """
    raw = find_socket(stream)
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def reset_on_close(stream):
    """Make the close of a connection drop unsent bytes and reset it.

    After an orderly close the kernel still delivers what was queued before it.
    """
    raw = find_socket(stream)
    if raw is not None:
        reset_socket_on_close(raw)


def reset_socket_on_close(raw):
    """Make the close of a socket drop unsent bytes and reset its connection."""
    # The peer may have closed the connection already.
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_WITHOUT_WAIT)


def is_closed_by_peer(stream):
    """Return whether the peer has closed, even if received bytes are unread."""
    return _has_event(stream, select.POLLRDHUP)


def has_unread_bytes(stream):
    """Return whether bytes, or the end of the stream, can be read at once."""
    return _has_event(stream, select.POLLIN | select.POLLRDHUP)


def _has_event(stream, events):
    """Return whether one of some events has occurred, or the connection has ended."""
    raw = find_socket(stream)
    if raw is None:
        return True
    poll = select.poll()
    poll.register(raw.fileno(), events)
    return bool(poll.poll(0))


async def receive_bytes(stream):
    """Return the next bytes, empty at the end of the stream.

    :raises PeerClosedError: the connection was reset.
    """
    try:
        return await stream.receive(READ_SIZE_BYTES)
    except anyio.EndOfStream:
        return b""
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise PeerClosedError(f"connection lost: {error!r}", step="receive") from None


async def receive_bytes_by(stream, due_at):
    """Return the next bytes, empty at the end of the stream, ``None`` if they are late.

    :param stream: the :class:`~banyanshore.transport.tcp_stream.TcpStream`.
    :param due_at: monotonic time.
    :raises PeerClosedError: the connection was reset.
    """
    try:
        return await stream.receive_by(due_at, READ_SIZE_BYTES)
    except anyio.EndOfStream:
        return b""
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise PeerClosedError(f"connection lost: {error!r}", step="receive") from None


async def send_bytes(stream, data):
    """Send bytes.

    :raises PeerClosedError: the connection was closed or reset.
    """
    try:
        await stream.send(data)
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise PeerClosedError(f"connection lost: {error!r}", step="send") from None
