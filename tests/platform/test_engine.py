"""Calls to the model replica on the machine of a loader."""

import json

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
