"""Check what is asked of connections that may have ended."""

import socket

import anyio
import pytest

from banyanshore.core.sockets import find_socket
from banyanshore.http.wire import (
    RECEIVE_BUFFER_BYTES,
    bound_receive_buffer,
    has_unread_bytes,
    is_closed_by_peer,
    reset_on_close,
    set_timeouts,
)
from tests.http.raw import connect, scripted_server

pytestmark = pytest.mark.anyio


async def wait_until_closed(stream):
    await stream.receive()


async def test_connection_that_has_ended_counts_as_closed_and_readable():
    """An event loop may close the socket as soon as the peer has reset it."""
    async with scripted_server(wait_until_closed) as server:
        stream = await connect(server.address)
        await anyio.aclose_forcefully(stream)
        with anyio.fail_after(5):
            while find_socket(stream) is not None:
                await anyio.lowlevel.checkpoint()
        assert has_unread_bytes(stream)
        assert is_closed_by_peer(stream)
        set_timeouts(stream)
        reset_on_close(stream)


async def test_receive_buffer_of_a_connection_is_bounded():
    """A loop that reads all that has arrived held 88 MB of twelve endless answers."""
    async with scripted_server(wait_until_closed) as server:
        async with await connect(server.address) as stream:
            bound_receive_buffer(stream)
            raw = find_socket(stream)
            size = raw.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        assert RECEIVE_BUFFER_BYTES <= size <= 2 * RECEIVE_BUFFER_BYTES
        bound_receive_buffer(stream)
