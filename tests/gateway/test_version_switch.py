"""Requests while a model's weights are changed."""

import math
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
    SIGNED,
    Target,
    ask,
    hang,
    make_document,
    make_request,
    running_gateway,
)
from tests.suspension import SuspendedMachine

pytestmark = pytest.mark.anyio

# Age at which a newer version becomes known to the gateway, in seconds: it stops
# sending to older weights 0.2 s later, and none may begin on them after 0.9 s more.
AGE = 7.1
BOUND = 8.0


def record_weights(gateway, version):
    for row in gateway.registry.targets.rows():
        newer = replace(
            row, sequence=row.sequence + 1, model="m", model_version=version
        )
        gateway.registry.record(time.monotonic(), newer)


def name_aged_version(gateway, version, age, **route):
    """Name a version, and return the time by which requests begin on it."""
    document = make_document(**route)
    document["rollouts"]["m"] = {"version": version}
    gateway.versions.record_ages(boottime_now(), {("m", version): age})
    state = PublishedState(version, Fence(1, 1), to_json(document))
    assert gateway.state.apply(state)
    return time.monotonic() + BOUND - age


class HoldingTarget(Target):
    """A target that holds its first request without an answer.

    :ivar closed_at: time at which the connection of that request was closed.
    """

    def __init__(self, *acts):
        super().__init__(self.hold, *acts)
        self.closed_at = math.inf

    async def hold(self, stream):
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            self.closed_at = time.monotonic()


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


@pytest.mark.parametrize("is_named_first", [True, False])
async def test_request_that_waits_on_older_weights_is_withdrawn(is_named_first):
    """It waited on a congested link, and began on them after the bound."""
    target = HoldingTarget(COMPLETE)
    route = {"objective_seconds": 2.0, "timeout_seconds": 3.0}
    # The script of both targets is the same: the first one that is asked holds it.
    async with running_gateway(target, target, **route) as (gateway, address):
        record_weights(gateway, 1)
        statuses = []

        async def ask_gateway():
            statuses.append((await ask(address, make_request(model="m")))[0])

        async with anyio.create_task_group() as tasks:
            if is_named_first:
                bound_at = name_aged_version(gateway, 2, AGE - 0.2, **route)
            tasks.start_soon(ask_gateway)
            with anyio.fail_after(2):
                while not target.requests:
                    await anyio.sleep(0.01)
            if not is_named_first:
                bound_at = name_aged_version(gateway, 2, AGE, **route)
            record_weights(gateway, 2)
        assert statuses == [200]
        assert len(target.requests) == 2
        assert target.closed_at < bound_at
        for row in gateway.registry.targets.rows():
            load = gateway.board.load(row.address)
            assert not load.failures
            assert load.suspended_until == -math.inf
        assert not gateway.suspects._detector.has_records
        _, text = gateway.metrics.registry.render()
        assert b'banyanshore_gateway_withdrawn_offers_total{service="s"} 1' in text


async def test_withdrawn_request_that_may_not_be_repeated_gets_502():
    """It may have run, which 503 would deny."""
    target = HoldingTarget(COMPLETE)
    route = {"kind": "non_idempotent", "timeout_seconds": 3.0}
    async with running_gateway(target, target, **route) as (gateway, address):
        record_weights(gateway, 1)
        bound_at = name_aged_version(gateway, 2, AGE - 0.2, **route)
        status, _ = await ask(address, make_request("POST", model="m", body=b"b"))
        assert status == 502
        assert target.closed_at < bound_at
        assert len(target.requests) == 1
        assert not gateway.suspects._detector.has_records


async def test_stream_whose_resumption_is_withdrawn_is_broken_off(caplog):
    """Its caller has the beginning of the answer, and gets no second status."""
    caplog.set_level("INFO")
    held = HoldingTarget()
    head = SIGNED + b"content-length: 99\r\n\r\nid: 1\ndata: e1\n\n"
    target = Target(head, held.hold)
    route = {"kind": "streaming", "resumable": True, "objective_seconds": 2.0}
    async with running_gateway(target, target, **route) as (gateway, address):
        record_weights(gateway, 1)
        name_aged_version(gateway, 2, AGE - 0.2, **route)
        status, answer = await ask(address, make_request(model="m"))
    assert status == 200
    assert answer.count(b"HTTP/1.1") == 1
    assert held.closed_at < math.inf
    (withdrawn,) = [row for row in caplog.records if row.message == "withdrawn"]
    assert withdrawn.request_id == "id-1"
    assert withdrawn.target in ("i-0", "i-1")
    assert withdrawn.why == "newer-weights"
    assert AGE <= withdrawn.newer_known_for < BOUND
    assert "broken off" in [record.message for record in caplog.records]


async def test_answer_that_began_in_time_goes_on_after_the_bound():
    async def answer_slowly(stream):
        await stream.send(SIGNED + b"content-length: 4\r\n\r\nab")
        await anyio.sleep(1.5)
        await stream.send(b"cd")

    target = Target(answer_slowly)
    route = {"max_attempts": 1, "timeout_seconds": 4.0}
    async with running_gateway(target, **route) as (gateway, address):
        record_weights(gateway, 1)
        name_aged_version(gateway, 2, AGE - 0.2, **route)
        status, answer = await ask(address, make_request(model="m"))
        assert (status, answer[-4:]) == (200, b"abcd")


async def test_request_on_the_latest_weights_is_not_withdrawn():
    async def answer_late(stream):
        await anyio.sleep(0.9)
        await stream.send(COMPLETE)

    target = Target(answer_late)
    route = {"objective_seconds": 2.0, "timeout_seconds": 4.0}
    async with running_gateway(target, **route) as (gateway, address):
        record_weights(gateway, 2)
        name_aged_version(gateway, 2, AGE, **route)
        assert (await ask(address, make_request(model="m")))[0] == 200
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
