"""Retry-After of a gateway while weights are on their way to its targets."""

import json
import logging
import time
from dataclasses import replace

import pytest

from banyanshore.core.clock import boottime_now
from banyanshore.membership.load_reports import LoadReport
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import to_json
from tests.gateway.deployment import (
    COMPLETE,
    Target,
    ask,
    make_document,
    make_request,
    running_gateway,
)

pytestmark = pytest.mark.anyio

LAYERS = 4


def use_engine(gateway, ready_in):
    """Have the targets hold version 1, which may not be used, and expect version 2."""
    document = make_document()
    document["services"]["s"] = {"kind": "engine", "engine": {"layers": LAYERS}}
    gateway.state.apply(PublishedState(2, Fence(1, 2), to_json(document)))
    gateway.versions.oldest_allowed_version = lambda now, model: 2
    now = time.monotonic()
    rows = list(gateway.registry.targets.rows())
    for row, seconds in zip(rows, ready_in, strict=True):
        held = replace(row, sequence=2, model="m", model_version=1, end_layer=LAYERS)
        gateway.registry.record(now, held)
        report = LoadReport(row.address, 1, 1, "m", 1, LAYERS, 0, 0, ready_in=seconds)
        gateway.board.record_report(now, report)


async def ask_for_retry_after(address, caller_ms):
    request = make_request(model="m", deadline_ms=caller_ms)
    status, answer = await ask(address, request)
    assert status == 503
    return float(answer.split(b"retry-after: ")[1].split(b"\r\n")[0])


async def test_callers_return_when_weights_are_expected(caplog):
    """They came back 1 to 2 s later, whenever the weights came, and were refused."""
    caplog.set_level(logging.INFO, "banyanshore.requests")
    targets = [Target(COMPLETE)] * 3
    async with running_gateway(*targets) as (gateway, address):
        use_engine(gateway, (3.0, 3.5, 4.0))
        began_at = time.monotonic()
        times = []
        for _ in range(20):
            # On a busy machine the weights come nearer while callers ask.
            asked_after = time.monotonic() - began_at
            seconds = await ask_for_retry_after(address, 60_000)
            assert seconds <= 9.0
            times.append(asked_after + seconds)
        assert 3.7 <= min(times) < max(times) <= 9.0
        _, text = gateway.metrics.registry.render()
        assert (
            b"banyanshore_gateway_retry_times_total"
            b'{basis="weights",reason="no-weights"} 20'
        ) in text
    record = caplog.records[-1]
    assert (record.targets_serving, record.targets_awaited) == (0, 3)
    assert record.most_ready_in == pytest.approx(4.0, abs=0.3)
    assert json.dumps(record.first_ready_in)


async def test_callers_return_as_before_if_nothing_is_known():
    async with running_gateway(Target(COMPLETE)) as (gateway, address):
        use_engine(gateway, (float("inf"),))
        times = [await ask_for_retry_after(address, 60_000) for _ in range(20)]
        assert 1.0 <= min(times) < max(times) <= 2.0


async def test_report_that_a_target_serves_weights_out_of_date_tells_nothing():
    """Its loader hadn't heard of the version: callers were told to return at once."""
    async with running_gateway(Target(COMPLETE)) as (gateway, address):
        use_engine(gateway, (0.0,))
        assert await ask_for_retry_after(address, 60_000) >= 1.0


async def test_target_out_of_service_does_not_count():
    targets = [Target(COMPLETE)] * 2
    async with running_gateway(*targets) as (gateway, address):
        use_engine(gateway, (0.5, 50.0))
        rows = list(gateway.registry.targets.rows())
        moved = replace(rows[1], sequence=3, data_centre="out")
        gateway.registry.record(time.monotonic(), moved)
        document = json.loads(to_json(gateway.state.desired.document))
        document["data_centres"]["out"] = {"in_service": False}
        gateway.state.apply(PublishedState(3, Fence(1, 3), to_json(document)))
        assert await ask_for_retry_after(address, 60_000) <= 3.0


async def test_target_whose_answer_would_begin_too_late_does_not_count_as_serving():
    """Shortly before the switch, callers were sent back as if targets served."""
    async with running_gateway(Target(COMPLETE)) as (gateway, address):
        use_engine(gateway, (9.0,))
        gateway.versions.oldest_allowed_version = lambda now, model: (
            1 + (now > boottime_now() + 0.1)
        )
        for row in gateway.registry.targets.rows():
            gateway.board.load(row.address).first_byte_seconds = 0.5
        assert await ask_for_retry_after(address, 60_000) >= 8.5
