"""An answer that broke off never reaches the caller as if it were complete."""

import time

import anyio
import pytest

from tests.answer_rows import read_rows
from tests.gateway.deployment import SIGNED, Target, ask, events, running_gateway
from tests.http.raw import connect

pytestmark = pytest.mark.anyio

ROWS = read_rows()
STREAM = {"kind": "streaming"}
RESUMABLE = {"kind": "streaming", "resumable": True}
ONCE = {"kind": "non_idempotent", "max_attempts": 1}
LAST_CHUNK = b"0\r\n\r\n"


def target_of(row, head=SIGNED):
    async def answer(stream):
        await row.send(stream, head)

    return Target(answer)


@pytest.mark.parametrize("row", ROWS, ids=str)
async def test_answer_that_broke_off_is_not_framed_as_complete(row):
    """A stream that ended inside an event, with its connection, looked complete."""
    route = STREAM if row.kind == "stream" else ONCE
    async with running_gateway(target_of(row), **route) as (_, address):
        status, answer = await ask(address)
    if row.is_complete:
        assert status == 200
        assert row.body() in answer
        assert row.kind == "body" or answer.endswith(LAST_CHUNK)
    elif status == 200:
        assert row.kind == "stream"
        assert not answer.endswith(LAST_CHUNK)
        assert b"id: 3" not in answer
    else:
        assert status == 502
        assert row.kind == "body" or b"\n\n" not in row.body()


@pytest.mark.parametrize(
    "row",
    [row for row in ROWS if row.kind == "stream" and not row.is_complete],
    ids=str,
)
async def test_stream_that_broke_off_is_resumed(row):
    first = target_of(row)
    other = Target()
    last = 2 if b"id: 2" in row.body() else 0
    rest = events(last + 1, 4)
    tail = SIGNED + b"content-length: %d\r\n\r\n" % len(rest) + rest
    first.acts = other.acts = [first.acts[0], tail]
    first.requests = other.requests = []
    async with running_gateway(first, other, **RESUMABLE) as (_, address):
        status, answer = await ask(address)
    texts = [line for line in answer.split(b"\n") if line.startswith(b"data: ")]
    assert status == 200
    assert texts == [b"data: e1", b"data: e2", b"data: e3", b"data: e4"]
    assert answer.endswith(LAST_CHUNK)


async def test_broken_off_answer_resets_the_connection_of_an_http_1_0_caller():
    """Without chunks, the close of the connection is the end of a complete answer."""

    async def break_off(stream):
        await stream.send(SIGNED + b"content-length: 99\r\n\r\n" + events(1, 2))

    request = (
        b"GET /p HTTP/1.0\r\nhost: a.example\r\nrequest-id: id-1\r\n"
        b"authorization: Bearer key\r\n\r\n"
    )
    async with (
        running_gateway(Target(break_off), **STREAM) as (_, address),
        await connect(address) as stream,
    ):
        await stream.send(request)
        with pytest.raises(anyio.BrokenResourceError), anyio.fail_after(4.0):
            while True:
                await stream.receive()


RESET_AFTER_TWO = next(
    row for row in ROWS if (row.framing, row.connection_end) == ("close", "reset")
)
ERROR = (
    b"HTTP/1.1 500 Bad\r\nreplica-signature: s\r\nrequest-id: id-1\r\n"
    b"content-type: text/event-stream\r\ncontent-length: 17\r\n\r\nid: 3\ndata: bad\n\n"
)


@pytest.mark.parametrize(
    "rest",
    [
        ERROR,
        ERROR.replace(b"500 Bad", b"503 Busy\r\nnot-executed: 1"),
        ERROR.replace(b"500 Bad", b"404 No"),
        SIGNED.replace(b"id-1", b"id-2") + b"\r\n" + events(3, 4),
        SIGNED.replace(b"replica-signature: s\r\n", b"") + b"\r\n" + events(3, 4),
        SIGNED + b"content-type: application/json\r\ncontent-length: 2\r\n\r\n{}",
        SIGNED + b"\r\n" + events(2, 4),
        SIGNED + b"\r\n" + events(1, 4),
        b"id: 3\ndata: e3\n\n",
    ],
    ids=[
        "error", "refusal", "not-found", "foreign", "unsigned", "json",
        "last-event-again", "from-the-start", "no-head",
    ],
)  # fmt: skip
async def test_stream_goes_on_only_with_the_events_that_follow(rest):
    """Another target's text became a part of a stream that had broken off."""
    first = target_of(RESET_AFTER_TWO)
    other = Target()
    first.acts = other.acts = [first.acts[0], rest]
    first.requests = other.requests = []
    async with running_gateway(first, other, **RESUMABLE) as (_, address):
        status, answer = await ask(address)
    assert len(first.requests) == 2
    assert status == 200
    assert answer.count(b"HTTP/1.1") == 1
    body = answer.split(b"\r\n\r\n", 1)[1]
    assert b"".join(part for part in body.split(b"\r\n") if part[:2] == b"id") == (
        events(1, 2)
    )
    assert not answer.endswith(LAST_CHUNK)


async def test_stream_that_has_begun_goes_on_until_the_timeout_of_its_route():
    """It was broken off a little earlier, as requests without an answer are."""

    async def stream_for_long(stream):
        await stream.send(SIGNED + b"\r\n" + events(1, 1))
        await anyio.sleep(30)

    route = {"kind": "streaming", "timeout_seconds": 0.6, "max_attempts": 1}
    async with running_gateway(Target(stream_for_long), **route) as (_, address):
        sent_at = time.monotonic()
        await ask(address)
        assert time.monotonic() - sent_at >= route["timeout_seconds"]
