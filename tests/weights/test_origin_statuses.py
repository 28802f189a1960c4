"""An origin's answer with an invalid status line is no usable response."""

import contextlib

import pytest

from banyanshore.weights.exceptions import OriginError
from banyanshore.weights.manifest import make_manifest
from banyanshore.weights.origin import OriginClient
from tests.gateway.deployment import Target, read_request
from tests.http.raw import scripted_server
from tests.status_lines import (
    FRAMINGS,
    INVALID_LINE_BY_FAULT,
    VALID_LINE_BY_STATUS,
    frame,
    names_fault,
)

pytestmark = pytest.mark.anyio

WEIGHTS = b"weights" * 9
MANIFEST = make_manifest("m", "1", WEIGHTS)
CALLS = {
    "manifest": lambda client, url: client.fetch_manifest(url, MANIFEST.digest),
    "chunk": lambda client, url: client.fetch_chunk(url, MANIFEST, 0),
}
STATUS_BY_CALL = {"manifest": b" 200", "chunk": b" 206"}
BODY_BY_CALL = {"manifest": MANIFEST.content, "chunk": WEIGHTS}
every_call = pytest.mark.parametrize("call", CALLS)


@contextlib.asynccontextmanager
async def running_origin(*answers):
    """Yield a client, the origin's URL, and the origin, a :class:`Target`."""
    origin = Target(*answers)
    async with scripted_server(origin.act) as server:
        client = OriginClient(2.0)
        try:
            yield client, f"http://{server.address}/w", origin
        finally:
            await client.aclose()


def answers(line, call):
    """Return an answer of each framing that is usable but for its status line."""
    head = line.replace(b" 200", STATUS_BY_CALL[call]) + b"\r\n"
    return [head + frame(framing, BODY_BY_CALL[call]) for framing in FRAMINGS]


@every_call
@pytest.mark.parametrize("fault", INVALID_LINE_BY_FAULT)
async def test_invalid_status_line_is_no_usable_response(fault, call):
    """Manifests and chunks were read from answers of HTTP/0.9 and HTTP/2.0."""
    line = INVALID_LINE_BY_FAULT[fault]
    name = fault.replace("200", STATUS_BY_CALL[call].decode().strip())
    for answer in answers(line, call):
        async with running_origin(answer) as (client, url, origin):
            with pytest.raises(OriginError) as caught:
                await CALLS[call](client, url)
            assert len(origin.requests) == 1
        assert names_fault(name, caught.value.message)


@every_call
async def test_connection_of_an_invalid_status_line_is_not_used_again(call):
    """The rest of such an answer may be read as the answer to another request."""
    bad = b"HTTP/2.0" + STATUS_BY_CALL[call] + b" OK\r\ncontent-length: 3\r\n\r\nbad"
    good = answers(b"HTTP/1.1 200 OK", call)[FRAMINGS.index("length")]
    left = [good, bad, good, good]

    async def act(stream):
        while await read_request(stream):
            await stream.send(left.pop(0))

    async with scripted_server(act) as server:
        client, url = OriginClient(2.0), f"http://{server.address}/w"
        await CALLS[call](client, url)
        with pytest.raises(OriginError):
            await CALLS[call](client, url)
        for _ in range(2):
            await CALLS[call](client, url)
        await client.aclose()
    assert server.connections == 2


@every_call
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
async def test_valid_status_line_is_read(version, call):
    """The answers above fail for their status lines alone."""
    result_by_call = {"manifest": MANIFEST, "chunk": WEIGHTS}
    for answer in answers(b"HTTP/%b 200 OK" % version, call):
        async with running_origin(answer) as (client, url, _):
            assert await CALLS[call](client, url) == result_by_call[call]


@every_call
@pytest.mark.parametrize("status", sorted(VALID_LINE_BY_STATUS.keys() - {200}))
async def test_valid_status_that_was_not_expected_is_an_error(status, call):
    line = VALID_LINE_BY_STATUS[status]
    async with running_origin(line + b"\r\n" + frame("length", b"x")) as row:
        client, url, _ = row
        with pytest.raises(OriginError, match=f"status {status}, expected"):
            await CALLS[call](client, url)
