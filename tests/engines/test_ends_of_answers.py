"""An engine's answer that broke off is never taken for a complete one."""

import pytest

from banyanshore.conf.sections import EngineSettings
from banyanshore.engines import EngineError
from banyanshore.engines.http import HttpPlainService
from banyanshore.routing.messages import Dispatch
from tests.answer_rows import read_rows
from tests.http.raw import scripted_server

pytestmark = pytest.mark.anyio

HEAD_BY_KIND = {
    "stream": b"HTTP/1.1 200 OK\r\ncontent-type: Text/Event-Stream; charset=utf-8\r\n",
    "body": b"HTTP/1.1 200 OK\r\n",
}
DISPATCH = Dispatch("id-1", "w", "s", "GET", "/p", (), b"", 2.0, 0, False, b"")


async def read_answer(row):
    """Return the body that the agent passes on, and whether it is complete."""

    async def answer(stream):
        await stream.receive()
        await row.send(stream, HEAD_BY_KIND[row.kind])

    body = b""
    async with scripted_server(answer) as server:
        settings = EngineSettings(url=f"http://{server.address}")
        service = HttpPlainService(settings, 1)
        try:
            async with service.run(DISPATCH, "") as response:
                async for data in response.iter_body():
                    body += data
        except EngineError:
            return body, False
        finally:
            await service.aclose()
    return body, True


@pytest.mark.parametrize("row", read_rows(), ids=str)
async def test_answer_that_broke_off_is_an_error(row):
    """Streams that ended inside an event were passed on as complete."""
    body, is_complete = await read_answer(row)
    assert is_complete == row.is_complete
    if row.is_complete:
        assert body == row.body()
    if row.kind == "stream":
        assert b"id: 3" not in body
