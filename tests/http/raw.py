"""Talk HTTP by hand over loopback, byte by byte."""

import contextlib
import socket

import anyio

from banyanshore.core.groups import open_task_group
from tests.ports import free_ports


@contextlib.asynccontextmanager
async def running(listener):
    """Serve a listener; yield its address."""
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.serve, address)
        yield address
        tasks.cancel_scope.cancel()


async def connect(address):
    host, _, port = address.partition(":")
    return await anyio.connect_tcp(host, int(port))


async def read_all(stream, seconds=5.0):
    """Return all that comes until the end of the stream."""
    data = b""
    with anyio.fail_after(seconds):
        try:
            while True:
                data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return data


async def read_until(stream, end, seconds=5.0):
    data = b""
    with anyio.fail_after(seconds):
        while end not in data:
            data += await stream.receive()
    return data


def reset(stream):
    """Close a connection so that the other side sees a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class Script:
    """What a scripted server has seen.

    :ivar address: where it listens.
    :ivar connections: how many have been accepted.
    """

    def __init__(self):
        self.connections = 0
        self.address = ""


@contextlib.asynccontextmanager
async def scripted(act):
    """Serve with a coroutine function given each stream; yield the script."""
    script = Script()

    async def serve(stream):
        script.connections += 1
        async with stream:
            await act(stream)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    script.address = f"127.0.0.1:{port}"
    async with open_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield script
        tasks.cancel_scope.cancel()
