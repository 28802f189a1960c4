"""Calls to the model replica on the machine of a loader."""

import contextlib
import json
import tracemalloc

import anyio
import pytest

from banyanshore.platform.engine import PlatformEngine
from banyanshore.weights.staged import OrderOutcome, StagedEngineError
from tests.http.raw import scripted_server

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("end_layer", "layers"), [(None, {}), (1, {"from": 0, "target": 1})]
)
async def test_load_order_names_layers_only_if_not_all_are_loaded(end_layer, layers):
    requests = []

    async def act(stream):
        data = b""
        while not data.endswith(b"}"):
            data += await stream.receive()
        requests.append(data)
        await stream.send(b"HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n")

    async with scripted_server(act) as server:
        outcome = await PlatformEngine(server.address).load("m", 2, end_layer)
    assert outcome is OrderOutcome.STARTED
    (request,) = requests
    assert request.startswith(b"POST /api/order ")
    order = json.loads(request.partition(b"\r\n\r\n")[2])
    expected = {"operation": "start", "model": "m", "version": 2, "mode": "queue"}
    assert order == {**expected, **layers}


async def test_load_order_is_not_sent_if_its_preconditions_end_while_connecting():
    """An order was sent on a check of the chunks that had become too old."""
    received = []

    async def act(stream):
        try:
            received.append(await stream.receive())
        except anyio.EndOfStream:
            return

    async with scripted_server(act) as server:
        engine = PlatformEngine(server.address)
        with pytest.raises(StagedEngineError, match="withdrawn"):
            await engine.load("m", 2, may_send=lambda: False)
    assert not received


CHUNK_BYTES = 24_576
# Memory by which a call to the target may grow a loader, of the 128 MB of the smallest
# machines: a report or a chunk, and the buffers.
MAX_CALL_BYTES = 4_000_000
ENDLESS_HEADS = {
    "close": b"HTTP/1.1 200 OK\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n",
}


@pytest.mark.parametrize("name", ENDLESS_HEADS)
@pytest.mark.parametrize(
    "call",
    [
        lambda engine: engine.read_report(),
        lambda engine: engine.read_staged("m", 0, CHUNK_BYTES),
        lambda engine: engine.stage("m", 0, b"x"),
        lambda engine: engine.load("m", 2),
    ],
    ids=["read_report", "read_staged", "stage", "load"],
)
async def test_answer_of_the_target_without_end_is_not_held(name, call):
    """A loader held 64 MB of one answer, on machines of 128 MB."""

    async def act(stream):
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await stream.receive()
            await stream.send(ENDLESS_HEADS[name])
            while True:
                await stream.send(bytes(65_536))

    async with scripted_server(act) as server:
        tracemalloc.start()
        try:
            with pytest.raises(StagedEngineError, match="more than"):
                await call(PlatformEngine(server.address))
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak < MAX_CALL_BYTES


@pytest.mark.parametrize(
    ("memory", "used"),
    [
        (b"", 0.0),
        (b',"kvInUse":0,"kvSize":90000', 0.0),
        (b',"kvInUse":41000,"kvSize":90000', 15 / 32),
        (b',"kvInUse":1,"kvSize":90000', 1 / 32),
        (b',"kvInUse":99000,"kvSize":90000', 1.0),
        (b',"kvInUse":5,"kvSize":0', 0.0),
    ],
)
async def test_report_tells_the_used_part_of_the_memory_in_steps(memory, used):
    body = b'{"models":[],"active":3,"queued":0' + memory + b"}"

    async def act(stream):
        await stream.receive()
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        await stream.send(head + body)

    async with scripted_server(act) as server:
        report = await PlatformEngine(server.address).read_report()
    assert report.memory_used == used
