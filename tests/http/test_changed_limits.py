"""Limits that change while connections are open."""

import contextlib
from dataclasses import replace

import anyio
import pytest

from banyanshore.http.listener import Listener, ListenerLimits
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import to_json
from tests.gateway.deployment import COMPLETE, Target, make_document, running_gateway
from tests.http.raw import connect, read_all, read_until, running_listener

pytestmark = pytest.mark.anyio

SMALL, LARGE = 2_000, 20_000
SHORT, LONG = 0.3, 30.0
# Seconds in which a connection ends that has no time left.
MARGIN = 1.0


class Limits:
    """The limits in force at a listener."""

    def __init__(self, **fields):
        self.current = ListenerLimits(**fields)
        self.listener = Listener(self._answer, lambda: self.current)

    async def _answer(self, exchange):
        await exchange.read_body()
        await exchange.respond(200)

    def change(self, **fields):
        self.current = replace(self.current, **fields)
        self.listener.apply_limits()


@contextlib.asynccontextmanager
async def open_connection(limits):
    """Run the listener of some limits, and yield a connection that it has accepted."""
    async with (
        running_listener(limits.listener) as address,
        await connect(address) as stream,
    ):
        await anyio.sleep(0.05)
        yield stream


def make_request(head_bytes=0, body_bytes=0, is_chunked=False):
    lines = [
        "POST / HTTP/1.1",
        "host: a.example",
        "request-id: id-1",
        f"x-note: {'x' * head_bytes}",
    ]
    body = b"b" * body_bytes
    if is_chunked:
        lines.append("transfer-encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def ask(stream, request):
    """Send a request in parts, as over any network; return the status."""
    for start in range(0, len(request), 1500):
        try:
            await stream.send(request[start : start + 1500])
        except anyio.BrokenResourceError:
            break
        await anyio.sleep(0)
    head = await read_until(stream, b"\r\n\r\n")
    return int(head.split()[1])


KINDS = {
    "head": ("max_header_bytes", {"head_bytes": 10_000}, 431),
    "body": ("max_body_bytes", {"body_bytes": 10_000}, 413),
    "chunks": ("max_body_bytes", {"body_bytes": 10_000, "is_chunked": True}, 413),
}


@pytest.mark.parametrize("is_used_before", [True, False])
@pytest.mark.parametrize("kind", KINDS)
async def test_raised_limit_admits_requests_of_open_connections(kind, is_used_before):
    """They were refused with 431 or 413 for as long as the connection lasted."""
    field, size, _ = KINDS[kind]
    limits = Limits(**{field: SMALL})
    async with open_connection(limits) as stream:
        if is_used_before:
            assert await ask(stream, make_request(100, 100)) == 200
        limits.change(**{field: LARGE})
        assert await ask(stream, make_request(**size)) == 200


@pytest.mark.parametrize("is_used_before", [True, False])
@pytest.mark.parametrize("kind", KINDS)
async def test_lowered_limit_refuses_requests_of_open_connections(kind, is_used_before):
    """They were admitted by the limits of an earlier version."""
    field, size, status = KINDS[kind]
    limits = Limits(**{field: LARGE})
    async with open_connection(limits) as stream:
        if is_used_before:
            assert await ask(stream, make_request(100, 100)) == 200
        limits.change(**{field: SMALL})
        assert await ask(stream, make_request(**size)) == status


def begin_nothing():
    return b""


def begin_head():
    return b"GET / HTTP/1.1\r\nhost: a.ex"


def begin_body():
    return make_request(0, 100)[:-50]


WAITS = {
    "idle": ("idle_timeout", begin_nothing),
    "head": ("header_timeout", begin_head),
    "body": ("header_timeout", begin_body),
}


@pytest.mark.parametrize("wait", WAITS)
async def test_raised_timeout_applies_to_waits_that_have_begun(wait):
    """Callers were cut off by a timeout that was not in force any more."""
    field, begin = WAITS[wait]
    limits = Limits(**{field: SHORT})
    async with open_connection(limits) as stream:
        assert await ask(stream, make_request()) == 200
        if begin():
            await stream.send(begin())
        await anyio.sleep(SHORT / 3)
        limits.change(**{field: LONG})
        with anyio.move_on_after(SHORT + MARGIN) as scope:
            await stream.receive()
        assert scope.cancelled_caught


@pytest.mark.parametrize("wait", WAITS)
async def test_lowered_timeout_applies_to_waits_that_have_begun(wait):
    field, begin = WAITS[wait]
    limits = Limits(**{field: LONG})
    async with open_connection(limits) as stream:
        assert await ask(stream, make_request()) == 200
        if begin():
            await stream.send(begin())
        await anyio.sleep(0.05)
        limits.change(**{field: SHORT})
        rest = await read_all(stream, SHORT + MARGIN)
        assert rest.startswith(b"HTTP/1.1 408") == bool(begin())


async def test_raised_limit_does_not_lengthen_a_stop():
    limits = Limits()
    async with open_connection(limits) as stream:
        assert await ask(stream, make_request()) == 200
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(limits.listener.close, 5.0)
            await anyio.sleep(0.01)
            limits.change(idle_timeout=LONG)
            assert await read_all(stream, MARGIN) == b""


@pytest.mark.parametrize("name", ["max_header_bytes", "max_body_bytes"])
async def test_gateway_applies_declared_limits_to_open_connections(name):
    """A connection that was opened before the first version kept the default limits."""
    document = make_document(public=True)
    async with running_gateway(Target(COMPLETE)) as (gateway, address):
        async with await connect(address) as stream:
            await anyio.sleep(0.05)
            document["limits"]["callers"] = {name: 100, "idle_timeout_seconds": SHORT}
            published = PublishedState(2, Fence(1, 2), to_json(document))
            gateway.state.apply(published)
            assert await read_all(stream, SHORT + MARGIN) == b""
        async with await connect(address) as stream:
            kind = "head" if name == "max_header_bytes" else "body"
            status = await ask(stream, make_request(**KINDS[kind][1]))
            assert status == KINDS[kind][2]
