"""Requests of a gateway that the memory of its targets can't hold."""

import logging

import anyio
import pytest

from tests.gateway.deployment import COMPLETE, Target, ask, make_request
from tests.gateway.test_prompt_backlog import (
    STREAM,
    SlowTarget,
    running_engines,
    until,
)

pytestmark = pytest.mark.anyio

MEMORY = 10_000


def use_memory(gateway):
    engine = gateway.state.desired.document["services"]["s"]["engine"]
    engine["kv_tokens"] = MEMORY
    gateway.placements._prefill_seconds = lambda screened: 0.001


def request_of(prompt, answer, **headers):
    return make_request(model="m", token_usage=f"{prompt},{answer}", **headers)


async def test_request_larger_than_any_memory_is_refused_at_once(caplog):
    """Each target was asked in turn, and rejected it."""
    caplog.set_level(logging.INFO, "banyanshore.requests")
    target = Target(COMPLETE)
    async with running_engines(target, target) as (gateway, address):
        use_memory(gateway)
        status, answer = await ask(address, request_of(MEMORY, 10, deadline_ms=4000))
        assert status == 503
        assert b"retry-after: " in answer
        assert not target.requests
        (row,) = [row for row in caplog.records if row.message == "refused"]
        assert row.why == "larger-than-memory"
        assert row.expected_tokens == MEMORY + 10
        assert row.waited_ms == 0
        assert (await ask(address, request_of(MEMORY - 1, 10)))[0] == 200


async def test_target_gets_no_second_request_that_exceeds_its_memory():
    target = SlowTarget()
    async with (
        running_engines(target) as (gateway, address),
        anyio.create_task_group() as tasks,
    ):
        use_memory(gateway)
        tasks.start_soon(ask, address, request_of(6000, 100, x_mark="first"))
        await until(lambda: target.marks == ["first"])
        tasks.start_soon(ask, address, request_of(100, 100, x_mark="small"))
        await until(lambda: target.marks == ["first", "small"])
        tasks.start_soon(ask, address, request_of(6000, 100, x_mark="second"))
        await until(lambda: len(gateway.turns.queue) == 1)
        target.answer_all()
        await until(lambda: target.marks == ["first", "small", "second"])
    (row,) = gateway.registry.targets.rows()
    assert gateway.board.load(row.address).memory.own_tokens == 0


async def test_small_request_passes_a_large_one_that_waits_for_memory():
    target = SlowTarget()
    async with (
        running_engines(target) as (gateway, address),
        anyio.create_task_group() as tasks,
    ):
        use_memory(gateway)
        tasks.start_soon(ask, address, request_of(6000, 100, x_mark="first"))
        await until(lambda: target.marks == ["first"])
        tasks.start_soon(ask, address, request_of(6000, 100, x_mark="large"))
        await until(lambda: len(gateway.turns.queue) == 1)
        tasks.start_soon(ask, address, request_of(100, 100, x_mark="small"))
        await until(lambda: target.marks == ["first", "small"])
        target.answer_all()
        await until(lambda: target.marks == ["first", "small", "large"])


async def test_expected_size_follows_the_callers_hint_and_the_answers_seen():
    async with running_engines(Target(STREAM), kind="streaming") as (gateway, address):
        use_memory(gateway)
        engine = gateway.state.desired.document["services"]["s"]["engine"]
        engine["steps_per_pass"] = 30
        lengths = gateway.placements.answer_lengths
        assert lengths.expected("s", 100.0, 20, 0) == 20
        for _ in range(8):
            # Two events of 30 tokens.
            request = request_of(50, 900, length_hint="20")
            assert (await ask(address, request))[0] == 200
        assert lengths.expected("s", 100.0, 0, 0) == 60
        assert lengths.expected("s", 100.0, 20, 0) == 60
        assert lengths.expected("s", 100.0, 400, 900) == 900
