"""The clients of tests and of targets keep the connections that they give out."""

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
# Turns of the event loop between two requests.
GAPS = range(8)


class SteppedClock:
    """The clock of the client library, which a test sets forward."""

    def __init__(self):
        self.ahead = 0.0

    def monotonic(self):
        return time.monotonic() + self.ahead


@pytest.fixture
def clock(monkeypatch):
    stepped = SteppedClock()
    monkeypatch.setattr(http11, "time", stepped)
    return stepped


async def answer_slowly(stream):
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            await read_until(stream, b"\r\n\r\n", seconds=60)
            await anyio.sleep(0.02)
            await stream.send(ANSWER)


async def send_as_connections_get_old(client, first, second, clock, gap):
    """Send to two servers when idle connections expire; return the statuses."""
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


@pytest.mark.parametrize("gap", GAPS)
async def test_client_of_a_load_keeps_a_connection_in_use(clock, gap):
    async with (
        scripted_server(answer_slowly) as one,
        scripted_server(answer_slowly) as other,
        make_client(10.0) as client,
    ):
        statuses = await send_as_connections_get_old(
            client, one.address, other.address, clock, gap
        )
    assert statuses == [200] * 4


async def test_library_closes_a_connection_in_use_when_it_expires(clock):
    # If this passes with the library's own limits one day, the others may go.
    broken = 0
    for gap in GAPS:
        async with (
            scripted_server(answer_slowly) as one,
            scripted_server(answer_slowly) as other,
            httpx.AsyncClient(trust_env=False) as client,
        ):
            try:
                await send_as_connections_get_old(
                    client, one.address, other.address, clock, gap
                )
            except* httpx.ReadError:
                broken += 1
    assert broken


async def test_clients_of_a_target_close_no_connection_on_their_own(clock):
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
