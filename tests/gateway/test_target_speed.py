"""The speed of a target, as the pauses of its answers through a gateway tell it."""

import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.routing.target_speed import MIN_USUAL_PAUSES
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import to_json
from tests.gateway.deployment import (
    SIGNED,
    Target,
    ask,
    events,
    make_document,
    running_gateway,
)

pytestmark = pytest.mark.anyio

ROUTE = {"kind": "streaming"}
PASS_SECONDS = 0.05
COUNT = MIN_USUAL_PAUSES + 6


async def slow_down(stream):
    """Answer with events in the usual time, the last three of them five times later."""
    last = COUNT - 3
    data = [events(number, number) for number in range(1, COUNT + 1)]
    length = sum(map(len, data))
    await stream.send(SIGNED + b"content-length: %d\r\n\r\n" % length)
    for number, event in enumerate(data, 1):
        await anyio.sleep(5 * PASS_SECONDS if number > last else PASS_SECONDS)
        await stream.send(event)


async def test_pauses_of_an_answer_tell_and_log_that_its_target_is_slow(caplog):
    caplog.set_level("INFO", "banyanshore.requests")
    target = Target(slow_down)
    async with running_gateway(target, **ROUTE) as (gateway, address):
        document = make_document(**ROUTE, timeout_seconds=9.0)
        document["services"]["s"]["engine"] = {
            "steps_per_pass": 5, "step_seconds": PASS_SECONDS / 5,
        }  # fmt: skip
        published = PublishedState(2, Fence(1, 2), to_json(document))
        gateway.state.apply(published)
        row = gateway.registry.targets.rows()[0]
        gateway.registry.record(
            time.monotonic(), replace(row, model_version=1, sequence=2)
        )
        assert (await ask(address, seconds=9.0))[0] == 200
        found = gateway.board.load(row.address).speed.estimate(time.monotonic())
        assert found.source == "own answers"
        assert found.pace > 2
        target.acts[:] = [SIGNED + b"content-length: 16\r\n\r\n" + events(1, 1)]
        assert (await ask(address))[0] == 200
    paces = [row.pace_from for row in caplog.records if hasattr(row, "pace")]
    assert paces == ["own answers"]
