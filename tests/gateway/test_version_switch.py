"""Requests on older weights, near the end of the time in which they may begin."""

import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.http import upstream
from tests.gateway.deployment import WHOLE, Target, ask, gateway_before, make_request

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("connect_seconds", "is_sent"),
    [(0.0, True), (0.3, False)],
    ids=["quick", "slow"],
)
async def test_request_that_would_arrive_after_the_switch_is_not_sent(
    monkeypatch, connect_seconds, is_sent
):
    """It was sent over a narrow link at 6.8 s, and began 8.3 s after the name."""
    connect = upstream._connect

    async def connect_slowly(address, seconds):
        await anyio.sleep(connect_seconds)
        return await connect(address, seconds)

    monkeypatch.setattr(upstream, "_connect", connect_slowly)
    target = Target(WHOLE)
    async with gateway_before(target) as (gateway, address):
        (row,) = gateway.registry.targets.rows()
        older = replace(row, sequence=2, model="m", model_version=1)
        gateway.registry.record(time.monotonic(), older)
        switch_at = time.monotonic() + 0.6
        gateway.versions.oldest_allowed = lambda now, model: 2 * (now >= switch_at)
        status, _ = await ask(address, make_request(model="m"))
        assert (status == 200) == is_sent
        assert bool(target.requests) == is_sent
