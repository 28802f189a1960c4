"""An answer whose head broke off is never taken for an answer, by any reader."""

import contextlib

import anyio
import pytest

from banyanshore.conf.sections import EngineSettings
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.engines import EngineError
from banyanshore.engines.http import HttpPlainService
from banyanshore.http.upstream import (
    BrokenAnswerError,
    HttpSession,
    OutgoingRequest,
    fetch,
)
from banyanshore.platform.engine import PlatformEngine
from banyanshore.routing.messages import Dispatch
from banyanshore.weights.staged import StagedEngineError
from tests.gateway.deployment import Target, ask, keep_confirmed, running_gateway
from tests.http.raw import reset, scripted_server

pytestmark = pytest.mark.anyio

GET = OutgoingRequest(b"GET", b"/", ((b"host", b"x"),))
BODY = b'id: 1\ndata: {"a": 1}\n\n'
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
FIELDS = (
    b"replica-signature: s\r\nrequest-id: id-1\r\n"
    b"content-type: text/event-stream\r\ncontent-length: %d\r\n"
) % len(BODY)
HEADS = {
    "1.1": b"HTTP/1.1 200 OK\r\n" + FIELDS,
    "1.0": b"HTTP/1.0 200 OK\r\n" + FIELDS,
    "unframed": b"HTTP/1.1 200 OK\r\n" + FIELDS.partition(b"content-length")[0],
    "informational": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + FIELDS,
}


class CutHead:
    """A server that sends a part of a head and ends the connection.

    :param is_reset: whether it resets the connection instead of closing it.
    :param whole: complete answers that it sends before on the same connection.
    """

    def __init__(self, is_reset, whole=0):
        self.data = b""
        self.whole = whole
        self._is_reset = is_reset

    async def act(self, stream):
        for _ in range(self.whole):
            await stream.receive()
            await stream.send(OK)
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.receive()
            await stream.send(self.data)
            if self._is_reset:
                # The bytes before the reset arrive first.
                await anyio.sleep(0.002)
                reset(stream)
                await stream.aclose()


def cuts(head):
    return [head[:size] for size in range(len(head))] + [head]


@pytest.fixture(params=[False, True], ids=["closed", "reset"])
def cut_head(request):
    return CutHead(request.param)


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
async def test_head_that_broke_off_is_no_answer(head, cut_head):
    async with scripted_server(cut_head.act) as server:
        for data in cuts(head):
            cut_head.data = data
            with pytest.raises(BrokenAnswerError):
                await fetch(server.address, GET, 1000, 2.0)


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
async def test_head_that_broke_off_on_a_kept_connection_is_no_answer(head, cut_head):
    cut_head.whole = 1
    async with scripted_server(cut_head.act) as server:
        for data in cuts(head):
            cut_head.data = data
            session = HttpSession(server.address)
            assert (await session.fetch(GET, 1000, 2.0))[2] == b"ok"
            # It is sent once more, over a connection that answers it.
            assert (await session.fetch(GET, 1000, 2.0))[2] == b"ok"
            cut_head.whole = 0
            with pytest.raises(BanyanshoreError):
                await session.fetch(GET, 1000, 2.0)
            cut_head.whole = 1


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
async def test_head_of_an_engine_that_broke_off_is_an_error(head, cut_head):
    dispatch = Dispatch("id-1", "w", "s", "GET", "/p", (), b"", 2.0, 0, False, b"")
    async with scripted_server(cut_head.act) as server:
        service = HttpPlainService(EngineSettings(url=f"http://{server.address}"), 1)
        for data in cuts(head):
            cut_head.data = data
            with pytest.raises(EngineError):
                async with service.run(dispatch, "") as response:
                    async for _ in response.iter_body():
                        pass
        await service.aclose()


async def test_report_whose_head_broke_off_is_an_error(cut_head):
    async with scripted_server(cut_head.act) as server:
        for data in cuts(HEADS["1.1"]):
            cut_head.data = data
            with pytest.raises(StagedEngineError):
                await PlatformEngine(server.address).read_report()


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
@pytest.mark.parametrize("kind", ["streaming", "non_idempotent"])
async def test_caller_gets_no_success_if_the_head_broke_off(kind, head, cut_head):
    target = Target(None)
    route = {"kind": kind, "max_attempts": 1, "objective_seconds": 2.0}
    async with running_gateway(target, **route) as (gateway, address):
        # On a busy machine the plays take longer than the lease of the keys.
        keep_confirmed(gateway)
        for data in cuts(head):
            cut_head.data = data
            target.acts = [send_cut(cut_head)]
            gateway.board._load_by_address.clear()
            status, _ = await ask(address)
            assert status == 502


def send_cut(cut_head):
    async def act(stream):
        await stream.send(cut_head.data)
        if cut_head._is_reset:
            await anyio.sleep(0.002)
            reset(stream)

    return act
