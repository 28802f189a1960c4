"""Requests while a model's weights are changed."""

import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.core.clock import boottime_now
from banyanshore.membership.feed import RolloutAges
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import to_json
from tests.gateway.deployment import (
    COMPLETE,
    Target,
    ask,
    hang,
    make_document,
    make_request,
    running_gateway,
)
from tests.suspension import SuspendedMachine

pytestmark = pytest.mark.anyio


def name_version(gateway):
    """Have the gateway learn of version 2 of the model ``m``."""
    document = make_document()
    document["rollouts"]["m"] = {"version": 2}
    gateway.state.apply(PublishedState(2, Fence(1, 2), to_json(document)))


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
        switch_at = boottime_now() + 0.3
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
        switch_at = boottime_now() + 0.9
        gateway.versions.oldest_allowed_version = lambda now, model: (
            2 * (now >= switch_at)
        )
        request = make_request(model="m")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, address, request)
            await anyio.sleep(0.6)
            assert (await ask(address, request))[0] == 503
        assert len(target.requests) == 1


async def test_suspension_counts_towards_the_grace_period(monkeypatch):
    """A gateway that had been suspended switched that many seconds too late."""
    machine = SuspendedMachine(monkeypatch)
    target = Target(COMPLETE)
    async with running_gateway(target) as (gateway, address):
        (row,) = gateway.registry.targets.rows()
        older = replace(row, sequence=2, model="m", model_version=1)
        gateway.registry.record(time.monotonic(), older)
        name_version(gateway)
        request = make_request(model="m")
        assert (await ask(address, request))[0] == 200
        machine.suspend(8.0)
        gateway.feed.lease.confirmed_at = boottime_now()
        assert (await ask(address, request))[0] == 503
        assert len(target.requests) == 1


async def test_version_named_while_out_of_touch_is_not_taken_as_new():
    """A gateway that was out of touch for 4 s switched up to 4 s too late."""
    async with running_gateway() as (gateway, _):
        gateway.feed.lease.confirmed_at = boottime_now() - 4.0
        name_version(gateway)
        switch_at = boottime_now() + gateway.settings.version_switch_seconds - 4.0
        assert gateway.versions.oldest_allowed_version(switch_at, "m") == 2


async def test_age_that_control_reports_later_brings_the_switch_closer(caplog):
    """A gateway took no age for a version that it held already."""
    caplog.set_level("INFO")
    async with running_gateway() as (gateway, _):
        name_version(gateway)
        await gateway.feed.handle_notice(None, RolloutAges((("m", 2, 5.0),)))
        switch_at = boottime_now() + gateway.settings.version_switch_seconds - 5.0
        assert gateway.versions.oldest_allowed_version(switch_at, "m") == 2
    (logged,) = [r for r in caplog.records if hasattr(r, "earlier_by")]
    assert (logged.model_version, logged.age) == (2, 5.0)
