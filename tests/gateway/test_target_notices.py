"""What a gateway does once a target has said that it leaves, or wants nothing."""

import time
from dataclasses import replace

import anyio
import pytest

from tests.gateway.deployment import (
    FAILED,
    NOT_RUN,
    WHOLE,
    Target,
    ask,
    gateway_before,
)

pytestmark = pytest.mark.anyio


def saying(answer, *lines):
    """Return an answer with more lines in its head."""
    status, rest = answer.split(b"\r\n", 1)
    return b"\r\n".join([status, *lines, rest])


LEAVING = b"server-leaving: 1"
CUT = saying(WHOLE, LEAVING).replace(b"content-length: 2", b"content-length: 9")


def told_by(*acts):
    """Return a target that answers so, and one that always answers."""
    return Target(*acts), Target(WHOLE)


async def send_many(address, count):
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(ask, address)


@pytest.mark.parametrize(
    "answer",
    [
        saying(WHOLE, LEAVING),
        saying(FAILED, LEAVING),
        saying(NOT_RUN, LEAVING),
        CUT,
    ],
    ids=["answered", "failed", "refused", "broken-off"],
)
async def test_target_that_leaves_gets_nothing_more(answer):
    """The header was not known."""
    leaving, sound = told_by(answer, WHOLE)
    async with gateway_before(leaving, sound) as (gateway, address):
        for _ in range(40):
            await ask(address)
            if leaving.requests:
                break
        # Not since it has failed, which is forgotten after a while.
        gateway.board._load_by_address.clear()
        for _ in range(12):
            assert (await ask(address))[0] == 200
        assert len(leaving.requests) == 1


async def test_new_start_of_a_target_that_left_is_asked():
    target = Target(saying(WHOLE, LEAVING), WHOLE)
    async with gateway_before(target) as (gateway, address):
        assert (await ask(address))[0] == 200
        status, answer = await ask(address)
        assert status == 503
        assert b"retry-after" in answer
        (row,) = gateway.registry.targets.rows()
        gateway.registry.record(time.monotonic(), replace(row, sequence=9))
        assert (await ask(address))[0] == 503
        gateway.registry.record(time.monotonic(), replace(row, incarnation=2))
        assert (await ask(address))[0] == 200


async def test_target_that_asks_for_time_gets_it():
    """A refusal's Retry-After was not looked at."""
    asking, sound = told_by(saying(NOT_RUN, b"retry-after: 1.2"), WHOLE)
    async with gateway_before(asking, sound) as (_gateway, address):
        while not asking.requests:
            await ask(address)
        asked_at = time.monotonic()
        while time.monotonic() < asked_at + 1.1:
            assert (await ask(address))[0] == 200
        assert len(asking.requests) == 1
        await anyio.sleep(0.2)
        for _ in range(40):
            await ask(address)
        assert len(asking.requests) > 1


async def test_caller_is_refused_at_once_with_the_time_that_targets_ask_for():
    asking = Target(saying(NOT_RUN, b"retry-after: 30"))
    async with gateway_before(asking) as (_gateway, address):
        await ask(address)
        started_at = time.monotonic()
        status, answer = await ask(address)
        assert status == 503
        assert time.monotonic() - started_at < 0.2
        seconds = float(answer.split(b"retry-after: ")[1].split(b"\r\n")[0])
        assert 29.0 <= seconds <= 31.0
        assert len(asking.requests) == 1


@pytest.mark.parametrize(
    "lines",
    [
        (b"retry-after: soon",),
        (b"retry-after: -3",),
        (b"retry-after: nan",),
        (b"server-leaving: 0",),
    ],
)
async def test_word_that_says_nothing_marks_nobody(lines):
    target = Target(saying(NOT_RUN, *lines), WHOLE)
    async with gateway_before(target) as (gateway, address):
        await ask(address)
        assert (await ask(address))[0] == 200
        is_time = lines[0].startswith(b"retry-after")
        counted = gateway.metrics.left_alone._values[("unreadable",)]
        assert counted == is_time


async def test_answer_of_another_target_marks_nobody():
    """Its address has been used again by another service."""
    other = b"HTTP/1.1 421 Other\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n"
    foreign = saying(WHOLE.replace(b"id-1", b"id-2"), LEAVING)
    for answer in (other, foreign):
        target = Target(answer, WHOLE)
        async with gateway_before(target) as (gateway, address):
            await ask(address)
            gateway.board._load_by_address.clear()
            assert (await ask(address))[0] == 200


async def test_burst_onto_the_last_target_that_leaves():
    """Load pattern: all others have left, and the last one says so amid a burst."""

    async def leave_slowly(stream):
        await anyio.sleep(0.1)
        await stream.send(saying(WHOLE, LEAVING))

    last = Target(leave_slowly)
    async with gateway_before(last) as (_gateway, address):
        await send_many(address, 20)
        reached = len(last.requests)
        statuses = [(await ask(address))[0] for _ in range(10)]
        assert statuses == [503] * 10
        assert len(last.requests) == reached


@pytest.mark.parametrize("factor", [0.5, 1, 3])
async def test_targets_that_ask_for_time_again_and_again(factor):
    """Load pattern: all targets of a service are full, and say so again and again."""
    arrivals = []

    async def refuse(stream):
        arrivals.append(time.monotonic())
        await stream.send(saying(NOT_RUN, b"retry-after: 2"))

    targets = [Target(refuse) for _ in range(3)]
    async with gateway_before(*targets) as (_gateway, address):
        await send_many(address, int(12 * factor))
        first_at = min(arrivals)
        while time.monotonic() < first_at + 1.8:
            await send_many(address, int(2 * factor) or 1)
            await anyio.sleep(0.1)
        assert not [at for at in arrivals if at > first_at + 0.5]


async def test_request_whose_connection_took_long_goes_by_the_newest_word():
    """A choice was carried out however long its connection took."""
    slow, sound = told_by(WHOLE)
    async with gateway_before(slow, sound) as (gateway, address):
        chosen = []
        choose = gateway.board.choose

        def choose_and_hear(now, wish, *rest):
            choice = choose(now, wish, *rest)
            if not chosen:
                chosen.append(choice.row)
                notice = replace(gateway.dialect.target_notice(Said()), is_leaving=True)
                gateway.board.notices.record(now, choice.row, notice)
            return choice

        gateway.board.choose = choose_and_hear
        assert (await ask(address))[0] == 200
        rows = gateway.registry.targets.rows()
        (index,) = [i for i, row in enumerate(rows) if row.id == chosen[0].id]
        assert not (slow, sound)[index].requests


class Said:
    """The head of an answer that says nothing."""

    status = 200

    def get_header(self, name, default=None):
        return default


async def test_offers_under_way_when_the_word_comes_are_kept():
    """A target that leaves still answers what it has."""

    async def answer_late(stream):
        await anyio.sleep(0.4)
        await stream.send(WHOLE)

    target = Target(answer_late, saying(WHOLE, LEAVING))
    async with gateway_before(target, objective_seconds=1.0) as (_gateway, address):
        statuses = []

        async def note():
            statuses.append((await ask(address))[0])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(note)
            await anyio.sleep(0.1)
            tasks.start_soon(note)
        assert statuses == [200, 200]
