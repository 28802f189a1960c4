"""Requests while a model's weights are changed."""

import time
from dataclasses import replace

import anyio
import pytest

from tests.gateway.deployment import (
    COMPLETE,
    Target,
    ask,
    hang,
    make_request,
    running_gateway,
)

pytestmark = pytest.mark.anyio


async def test_plain_service_ignores_weights_versions():
    """A target without weights counted as one whose weights are too old."""
    async with running_gateway(Target(COMPLETE)) as (gateway, address):
        gateway.versions.oldest_allowed_version = lambda now, model: 2
        assert (await ask(address, make_request(model="m")))[0] == 200


@pytest.mark.parametrize(
    ("answer_seconds", "is_sent"), [(0.0, True), (0.5, False)], ids=["quick", "slow"]
)
async def test_request_that_would_begin_after_the_switch_is_not_sent(
    answer_seconds, is_sent
):
    """It waited on a congested link, and started on older weights after the switch."""

    async def answer(stream):
        await anyio.sleep(answer_seconds)
        await stream.send(COMPLETE)

    target = Target(answer)
    route = {"objective_seconds": 2.0}
    async with running_gateway(target, **route) as (gateway, address):
        (row,) = gateway.registry.targets.rows()
        older = replace(row, sequence=2, model="m", model_version=1)
        gateway.registry.record(time.monotonic(), older)
        request = make_request(model="m")
        assert (await ask(address, request))[0] == 200
        switch_at = time.monotonic() + 0.3
        gateway.versions.oldest_allowed_version = lambda now, model: (
            2 * (now >= switch_at)
        )
        assert ((await ask(address, request))[0] == 200) == is_sent
        assert len(target.requests) == 1 + is_sent


async def test_request_is_not_sent_to_a_target_that_is_late_with_another():
    """Its target had begun no answer for a second, but connections opened at once."""
    target = Target(hang)
    route = {"objective_seconds": 2.0, "timeout_seconds": 1.0}
    async with running_gateway(target, **route) as (gateway, address):
        (row,) = gateway.registry.targets.rows()
        older = replace(row, sequence=2, model="m", model_version=1)
        gateway.registry.record(time.monotonic(), older)
        switch_at = time.monotonic() + 0.9
        gateway.versions.oldest_allowed_version = lambda now, model: (
            2 * (now >= switch_at)
        )
        request = make_request(model="m")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, address, request)
            await anyio.sleep(0.6)
            assert (await ask(address, request))[0] == 503
        assert len(target.requests) == 1
