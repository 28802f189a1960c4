"""Guard against HTTP clients that close connections assigned to a request.

The client library can do so when an idle connection expires just as it is reused.
"""

import contextlib
import time

import anyio
import httpx
import pytest
from httpcore._async import http11

from banyanshore.conf.sections import EngineSettings
from banyanshore.engines.http import ClientPool
from tests.http.raw import read_until, scripted_server
from tests.load import make_client

pytestmark = pytest.mark.anyio

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
# Longer than the client library keeps idle connections by default.
IDLE_SECONDS = 5.2
# Iterations of the event loop between two requests.
CHECKPOINT_COUNTS = range(8)


class AdjustableClock:
    """A replacement for the client library's clock that a test can advance."""

    def __init__(self):
        self.ahead = 0.0

    def monotonic(self):
        return time.monotonic() + self.ahead


@pytest.fixture
def clock(monkeypatch):
    adjustable = AdjustableClock()
    monkeypatch.setattr(http11, "time", adjustable)
    return adjustable


async def answer_slowly(stream):
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            await read_until(stream, b"\r\n\r\n", seconds=60)
            await anyio.sleep(0.02)
            await stream.send(ANSWER)


async def send_while_connections_expire(client, first, second, clock, gap):
    """Send to two servers while idle connections expire; return the statuses."""
    statuses = []

    async def send(address):
        statuses.append((await client.get(f"http://{address}/")).status_code)

    clock.ahead = 0.0
    await send(second)
    await send(first)
    clock.ahead = IDLE_SECONDS - 0.4
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send, first)
        for _ in range(gap):
            await anyio.lowlevel.checkpoint()
        clock.ahead = IDLE_SECONDS
        tasks.start_soon(send, second)
    return statuses


@pytest.mark.parametrize("gap", CHECKPOINT_COUNTS)
async def test_load_client_keeps_connections_that_are_in_use(clock, gap):
    async with (
        scripted_server(answer_slowly) as one,
        scripted_server(answer_slowly) as other,
        make_client(10.0) as client,
    ):
        statuses = await send_while_connections_expire(
            client, one.address, other.address, clock, gap
        )
    assert statuses == [200] * 4


async def test_library_closes_connections_in_use_when_they_expire(clock):
    # When this test fails, the library is fixed and the other tests may be removed.
    broken = 0
    for gap in CHECKPOINT_COUNTS:
        async with (
            scripted_server(answer_slowly) as one,
            scripted_server(answer_slowly) as other,
            httpx.AsyncClient(trust_env=False) as client,
        ):
            try:
                await send_while_connections_expire(
                    client, one.address, other.address, clock, gap
                )
            except* httpx.ReadError:
                broken += 1
    assert broken


async def test_target_clients_keep_idle_connections(clock):
    async with scripted_server(answer_slowly) as script:
        settings = EngineSettings(url=f"http://{script.address}")
        pool = ClientPool(settings, 16)

        async def send():
            async with pool.acquire() as client:
                assert (await client.get("/")).status_code == 200

        for ahead in (0.0, IDLE_SECONDS):
            clock.ahead = ahead
            async with anyio.create_task_group() as tasks:
                for _ in range(16):
                    tasks.start_soon(send)
        await pool.aclose()
    assert script.connections == 16
