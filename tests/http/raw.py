"""Provide raw HTTP connections and scripted servers over loopback."""

import contextlib
import socket

import anyio

from banyanshore.core.groups import open_task_group
from banyanshore.http.asgi import make_application
from banyanshore.http.server import serve_http
from tests.ports import free_ports


@contextlib.asynccontextmanager
async def running_listener(listener):
    """Run a listener, and yield its address."""
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.serve, address)
        yield address
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def running_web_server(handle):
    """Serve the requests of an ASGI application; yield a connection to it.

    :param handle: coroutine function that answers each request.
    """
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"
    shutdown = anyio.Event()
    async with open_task_group() as tasks:
        tasks.start_soon(serve_http, make_application(handle), address, shutdown)
        with anyio.fail_after(5):
            while True:
                try:
                    stream = await connect(address)
                    break
                except OSError:
                    await anyio.sleep(0.01)
        async with stream:
            yield stream
        shutdown.set()


async def connect(address):
    host, _, port = address.partition(":")
    return await anyio.connect_tcp(host, int(port))


async def read_all(stream, seconds=5.0):
    """Return all data until the end of the stream."""
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


def call_without_reading(address, request):
    """Send a request; return the socket, of which nothing is read."""
    host, _, port = address.partition(":")
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect((host, int(port)))
    caller.send(request)
    return caller


async def read_rest(caller):
    """Return how many bytes a caller gets, and whether its connection is reset."""
    caller.settimeout(1.0)
    count = 0
    try:
        while data := await anyio.to_thread.run_sync(caller.recv, 65536):
            count += len(data)
    except TimeoutError:
        return count, False
    except ConnectionResetError:
        return count, True
    return count, False


def reset(stream):
    """Make the next close of a connection reset it."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class ScriptedServer:
    """Address and connection count of a scripted server.

    :ivar address: address on which it listens.
    :ivar connections: number of accepted connections.
    """

    def __init__(self):
        self.connections = 0
        self.address = ""


@contextlib.asynccontextmanager
async def scripted_server(act):
    """Serve each stream with a coroutine function; yield a :class:`ScriptedServer`."""
    server = ScriptedServer()

    async def serve(stream):
        server.connections += 1
        async with stream:
            await act(stream)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    server.address = f"127.0.0.1:{port}"
    async with open_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield server
        tasks.cancel_scope.cancel()
