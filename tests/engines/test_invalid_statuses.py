"""An engine's answer with an invalid status line is an error for its agent."""

import contextlib

import pytest

from banyanshore.conf.sections import EngineSettings
from banyanshore.engines import (
    EngineError,
    EngineRefusedError,
    EngineUnreachableError,
    LoadOrder,
)
from banyanshore.engines.http import HttpModelEngine, HttpPlainService
from banyanshore.routing.messages import Dispatch
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

DISPATCH = Dispatch("id-1", "w", "s", "POST", "/p", (), b"x", 2.0, 0, False, b"")
REPORT = b'{"incarnation": "1", "model": "m", "model_version": "2", "in_flight": 0}'
ORDER = LoadOrder("m", "2", (1, 1), ("0" * 64,), 1)
every_fault = pytest.mark.parametrize("fault", INVALID_LINE_BY_FAULT)


@contextlib.asynccontextmanager
async def running_engine(answer, engine_class=HttpModelEngine):
    """Yield an engine whose target gives one answer for each connection."""

    async def act(stream):
        if await read_request(stream):
            await stream.send(answer)

    async with scripted_server(act) as server:
        settings = EngineSettings(url=f"http://{server.address}")
        engine = engine_class(settings, 1)
        try:
            yield engine
        finally:
            await engine.aclose()


def answers(line, body):
    return [line + b"\r\n" + frame(framing, body) for framing in FRAMINGS]


async def run(engine):
    """Return the status and the body of a request that an engine runs."""
    async with engine.run(DISPATCH, "") as response:
        return response.status, b"".join([data async for data in response.iter_body()])


@every_fault
async def test_request_with_an_invalid_status_line_is_an_error(fault):
    """Statuses from 600 and other versions of HTTP were taken for answers."""
    for answer in answers(INVALID_LINE_BY_FAULT[fault], b"ok"):
        async with running_engine(answer, HttpPlainService) as engine:
            with pytest.raises(EngineError) as caught:
                await run(engine)
        # The request may have run.
        assert not isinstance(caught.value, EngineUnreachableError)
        assert names_fault(fault, caught.value.message)


async def test_switch_of_protocols_that_was_not_asked_for_is_an_error():
    answer = INVALID_HEADS["101"] + frame("length", b"ok")
    async with running_engine(answer, HttpPlainService) as engine:
        with pytest.raises(EngineError):
            await run(engine)


@every_fault
async def test_connection_of_an_invalid_status_line_is_not_used_again(fault):
    """The rest of such an answer may be read as the answer to another request."""
    bad = INVALID_LINE_BY_FAULT[fault] + b"\r\ncontent-length: 3\r\n\r\nbad"
    good = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
    left = [good, bad, good, good]

    async def act(stream):
        while await read_request(stream):
            await stream.send(left.pop(0))

    async with scripted_server(act) as server:
        engine = HttpPlainService(EngineSettings(url=f"http://{server.address}"), 1)
        assert await run(engine) == (200, b"ok")
        with pytest.raises(EngineError):
            await run(engine)
        for _ in range(2):
            assert await run(engine) == (200, b"ok")
        await engine.aclose()
    assert server.connections == 2


@pytest.mark.parametrize("status", VALID_LINE_BY_STATUS)
async def test_valid_status_is_passed_on(status):
    for answer in answers(VALID_LINE_BY_STATUS[status], b"ok"):
        async with running_engine(answer, HttpPlainService) as engine:
            assert await run(engine) == (status, b"ok")


CALLS = {
    "health": lambda engine: engine.health(),
    "put_chunk": lambda engine: engine.put_chunk(ORDER, 0, b"x"),
    "load": lambda engine: engine.load(ORDER),
}


@every_fault
@pytest.mark.parametrize("call", CALLS)
async def test_invalid_status_line_is_neither_success_nor_refusal(call, fault):
    """A target counted as healthy, a chunk as stored, and weights as loaded."""
    success = INVALID_LINE_BY_FAULT[fault]
    # An order that the target refuses may be dropped; this one may be in effect.
    for line in {success, success.replace(b" 200", b" 409")}:
        for answer in answers(line, REPORT):
            async with running_engine(answer) as engine:
                with pytest.raises(EngineError) as caught:
                    await CALLS[call](engine)
            refusals = (EngineRefusedError, EngineUnreachableError)
            assert not isinstance(caught.value, refusals)


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
async def test_valid_status_line_is_a_success(version, call):
    for answer in answers(b"HTTP/%b 200 OK" % version, REPORT):
        async with running_engine(answer) as engine:
            await CALLS[call](engine)
