"""An answer with an invalid status line is no answer, for no caller of a server."""

import json

import pytest

from banyanshore.http.upstream import (
    BrokenAnswerError,
    HttpSession,
    OutgoingRequest,
    fetch,
)
from banyanshore.platform.engine import PlatformEngine
from banyanshore.platform.origin import PlatformOrigin
from banyanshore.weights.exceptions import OriginError
from banyanshore.weights.staged import StagedEngineError
from tests.gateway.deployment import read_request
from tests.http.raw import scripted_server
from tests.status_lines import (
    FRAMINGS,
    INVALID_HEADS,
    INVALID_LINE_BY_FAULT,
    VALID_LINE_BY_STATUS,
    frame,
    names_fault,
)

pytestmark = pytest.mark.anyio

GET = OutgoingRequest(b"GET", b"/", ((b"host", b"x"),))
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
MAX_BYTES = 1000
REPORT = {"model": "m", "version": 2, "from": 0, "target": 4}
DIGESTS = {"model": "m", "version": 2, "hashes": ["0" * 64]}
every_fault = pytest.mark.parametrize("fault", INVALID_LINE_BY_FAULT)


class Script:
    """A server that answers each request with the next of its answers.

    :ivar requests: heads of the requests so far.
    """

    def __init__(self, *answers):
        self.requests = []
        self._answers = list(answers)

    async def act(self, stream):
        while data := await read_request(stream):
            self.requests.append(data)
            answer = self._answers.pop(0)
            await stream.send(answer)
            if b"content-length" not in answer:
                return


def bodies(body):
    """Return the framed bodies of an answer."""
    return [frame(framing, body) for framing in FRAMINGS]


@every_fault
async def test_answer_with_an_invalid_status_line_is_no_answer(fault):
    """Statuses from 600 and other versions of HTTP were taken for answers."""
    for rest in bodies(b"ok"):
        script = Script(INVALID_LINE_BY_FAULT[fault] + b"\r\n" + rest)
        async with scripted_server(script.act) as server:
            with pytest.raises(BrokenAnswerError) as caught:
                await fetch(server.address, GET, MAX_BYTES, 2.0)
        assert names_fault(fault, caught.value.message)


@pytest.mark.parametrize("name", INVALID_HEADS)
async def test_answer_with_an_invalid_informational_head_is_no_answer(name):
    for rest in bodies(b"ok"):
        script = Script(INVALID_HEADS[name] + rest)
        async with scripted_server(script.act) as server:
            with pytest.raises(BrokenAnswerError):
                await fetch(server.address, GET, MAX_BYTES, 2.0)


@pytest.mark.parametrize("status", VALID_LINE_BY_STATUS)
async def test_valid_status_is_returned(status):
    for rest in bodies(b"ok"):
        script = Script(VALID_LINE_BY_STATUS[status] + b"\r\n" + rest)
        async with scripted_server(script.act) as server:
            answer = await fetch(server.address, GET, MAX_BYTES, 2.0)
        assert (answer[0], answer[2]) == (status, b"ok")


@every_fault
async def test_session_sends_once_more_after_an_invalid_status_line(fault):
    """The connection is not used again, and a new one's answer counts."""
    bad = INVALID_LINE_BY_FAULT[fault] + b"\r\ncontent-length: 3\r\n\r\nbad"
    script = Script(OK, bad, OK, OK)
    async with scripted_server(script.act) as server:
        session = HttpSession(server.address)
        for _ in range(3):
            answer = await session.fetch(GET, MAX_BYTES, 2.0)
            assert (answer[0], answer[2]) == (200, b"ok")
    assert len(script.requests) == 4
    assert server.connections == 2


@every_fault
async def test_session_ends_with_an_error_at_an_invalid_status_line(fault):
    for rest in bodies(b"ok"):
        script = Script(INVALID_LINE_BY_FAULT[fault] + b"\r\n" + rest)
        async with scripted_server(script.act) as server:
            with pytest.raises(BrokenAnswerError):
                await HttpSession(server.address).fetch(GET, MAX_BYTES, 2.0)
        assert len(script.requests) == 1


CALLS = {
    "read_report": lambda engine: engine.read_report(),
    "read_staged": lambda engine: engine.read_staged("m", 0, 100),
    "stage": lambda engine: engine.stage("m", 0, b"x"),
    "load": lambda engine: engine.load("m", 2),
}


def with_status(line, status):
    """Return a status line with another status, if it has one of three digits."""
    return line.replace(b" 200", b" %d" % status)


@every_fault
@pytest.mark.parametrize("call", CALLS)
async def test_invalid_status_line_of_a_target_is_an_error_of_its_loader(call, fault):
    """A load counted as begun, a chunk as staged, and a report as read."""
    # A chunk that is missing, an order that is fenced or misfits.
    for status in (200, 202, 404, 409, 412):
        line = with_status(INVALID_LINE_BY_FAULT[fault], status)
        for rest in bodies(json.dumps(REPORT).encode()):
            script = Script(line + b"\r\n" + rest)
            async with scripted_server(script.act) as server:
                with pytest.raises(StagedEngineError):
                    await CALLS[call](PlatformEngine(server.address))
            assert len(script.requests) == 1


@every_fault
async def test_invalid_status_line_of_the_origin_is_an_error(fault):
    line = INVALID_LINE_BY_FAULT[fault] + b"\r\n"
    for body in bodies(json.dumps(DIGESTS).encode()):
        script = Script(line + body, line + body)
        async with scripted_server(script.act) as server:
            origin = PlatformOrigin(server.address)
            with pytest.raises(OriginError):
                await origin.fetch_digests("m", 2)
            with pytest.raises(OriginError):
                await origin.fetch_chunk("m", 2, 0, MAX_BYTES)


async def test_valid_status_lines_of_target_and_origin_are_read():
    """The answers above fail for their status lines alone."""
    report = json.dumps(REPORT).encode()
    digests = json.dumps(DIGESTS).encode()
    for line in (b"HTTP/1.0 200 OK\r\n", b"HTTP/1.1 200 OK\r\n"):
        for framing in FRAMINGS:
            script = Script(
                *[line + frame(framing, report)] * len(CALLS),
                *[line + frame(framing, digests)] * 2,
            )
            async with scripted_server(script.act) as server:
                for call in CALLS.values():
                    await call(PlatformEngine(server.address))
                origin = PlatformOrigin(server.address)
                assert await origin.fetch_digests("m", 2) == ("0" * 64,)
                assert await origin.fetch_chunk("m", 2, 0, MAX_BYTES) == digests
