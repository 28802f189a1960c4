"""A gateway in this process in front of scripted targets."""

import contextlib
import time

import anyio

from banyanshore.conf.loader import parse_settings
from banyanshore.core.clock import boottime_now
from banyanshore.gateway.process import Gateway
from banyanshore.http.listener import Listener
from banyanshore.membership.registry import TargetRow
from banyanshore.platform.caller_dialect import PlatformDialect
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import empty_document, to_json
from tests.http.raw import connect, read_all, running_listener, scripted_server

SIGNED = b"HTTP/1.1 200 OK\r\nreplica-signature: s\r\nrequest-id: id-1\r\n"
COMPLETE = SIGNED + b"content-length: 2\r\n\r\nok"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
FAILED = (
    b"HTTP/1.1 500 Bad\r\nreplica-signature: s\r\nrequest-id: id-1\r\n"
    b"content-length: 3\r\n\r\nbad"
)

SETTINGS = {
    "role": "gateway",
    "instance": "edge-1",
    "data_centre": "dc",
    "region": "north",
    "callers_bind": "127.0.0.1:1",
    "ready_bind": "127.0.0.1:2",
    "peers_bind": "127.0.0.1:3",
    "peer_port": 3,
    "seeds": ["127.0.0.1:4"],
    "regions": {"dc": "north"},
}


def with_headers(answer, *lines):
    """Return an answer with additional header lines."""
    status, rest = answer.split(b"\r\n", 1)
    return b"\r\n".join([status, *lines, rest])


def keep_confirmed(gateway):
    """Let the state of a gateway count as confirmed for longer than any test lasts."""
    gateway.feed.lease.confirmed_at = boottime_now() + 3600.0


def make_document(**route):
    document = empty_document()
    document["services"]["s"] = {"kind": "direct"}
    row = {
        "host": "a.example",
        "prefix": "/",
        "kind": "idempotent",
        "services": [{"service": "s", "weight": 1}],
        "timeout_seconds": 2.0,
        "objective_seconds": 0.1,
        "max_attempts": 2,
        **route,
    }
    document["routes"]["r"] = row
    document["workspaces"]["w"] = {"keys": ["key"]}
    return document


async def read_request(stream):
    """Return a request up to the end of its head, empty if none arrives."""
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return b""
    return data


class Target:
    """A scripted target that records the requests that it has read.

    :param acts: answer or coroutine function for the first connection, the second, and
        so on; the last one applies to all further connections.
    """

    def __init__(self, *acts):
        self.acts = list(acts)
        self.requests = []

    async def act(self, stream):
        data = await read_request(stream)
        if not data:
            return
        self.requests.append(data)
        act = self.acts.pop(0) if len(self.acts) > 1 else self.acts[0]
        if callable(act):
            await act(stream)
        else:
            await stream.send(act)


@contextlib.asynccontextmanager
async def running_gateway(*targets, slots=4, **route):
    """Yield a gateway in front of the targets, and its address for callers."""
    gateway = Gateway(parse_settings(SETTINGS), PlatformDialect(), None)
    gateway.state.apply(PublishedState(1, Fence(1, 1), to_json(make_document(**route))))
    gateway.feed.lease.confirmed_at = boottime_now()
    async with contextlib.AsyncExitStack() as stack:
        for number, target in enumerate(targets):
            script = await stack.enter_async_context(scripted_server(target.act))
            row = TargetRow(
                f"i-{number}",
                "s",
                script.address,
                "dc",
                "v1",
                slots,
                "ready",
                0.0,
                1,
                1,
            )
            gateway.registry.record(time.monotonic(), row)
        gateway.caller_listener = Listener(
            gateway.request_handler.handle, gateway._limits
        )
        address = await stack.enter_async_context(
            running_listener(gateway.caller_listener)
        )
        yield gateway, address


def make_request(method="GET", key="key", body=b"", **headers):
    lines = [f"{method} /p?q=1 HTTP/1.1", "host: a.example", "request-id: id-1"]
    if key:
        lines.append(f"authorization: Bearer {key}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += ["connection: close", f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def ask(address, request=None, seconds=4.0):
    """Return the status and the complete answer as bytes."""
    async with await connect(address) as stream:
        await stream.send(request or make_request())
        answer = await read_all(stream, seconds)
    status = int(answer.split(b" ", 2)[1]) if answer else 0
    return status, answer


async def hang(stream):
    await anyio.sleep(30)


async def close(stream):
    await stream.aclose()


def events(first, last):
    return b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, last + 1))
