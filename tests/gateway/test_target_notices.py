"""Gateway behaviour after a target announces that it leaves or asks for a pause."""

import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.membership.registry import Departure
from tests.gateway.deployment import (
    COMPLETE,
    FAILED,
    NOT_RUN,
    Target,
    ask,
    running_gateway,
    with_headers,
)

pytestmark = pytest.mark.anyio


LEAVING = b"server-leaving: 1"
CUT = with_headers(COMPLETE, LEAVING).replace(
    b"content-length: 2", b"content-length: 9"
)


def target_pair(*acts):
    """Return a target with these acts, and a healthy one."""
    return Target(*acts), Target(COMPLETE)


async def send_many(address, count):
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(ask, address)


@pytest.mark.parametrize(
    "answer",
    [
        with_headers(COMPLETE, LEAVING),
        with_headers(FAILED, LEAVING),
        with_headers(NOT_RUN, LEAVING),
        CUT,
    ],
    ids=["answered", "failed", "refused", "broken-off"],
)
async def test_leaving_target_gets_no_more_requests(answer):
    """The header was ignored."""
    leaving, healthy = target_pair(answer, COMPLETE)
    # With a short objective, a healthy answer that is late on a busy machine counts as
    # lost, and suspends the only target that is left.
    route = {"objective_seconds": 2.0}
    async with running_gateway(leaving, healthy, **route) as (gateway, address):
        for _ in range(40):
            await ask(address)
            if leaving.requests:
                break
        # Drop the suspension after a failure, so that only the notice has an effect.
        gateway.board._load_by_address.clear()
        for _ in range(12):
            assert (await ask(address))[0] == 200
        assert len(leaving.requests) == 1


async def test_restarted_target_gets_requests_again():
    target = Target(with_headers(COMPLETE, LEAVING), COMPLETE)
    async with running_gateway(target) as (gateway, address):
        assert (await ask(address))[0] == 200
        status, answer = await ask(address)
        assert status == 503
        assert b"retry-after" in answer
        (row,) = gateway.registry.targets.rows()
        gateway.registry.record(time.monotonic(), replace(row, sequence=9))
        assert (await ask(address))[0] == 503
        gateway.registry.record(time.monotonic(), replace(row, incarnation=2))
        assert (await ask(address))[0] == 200


async def test_target_that_asks_for_a_pause_gets_it():
    """The Retry-After of a refusal was ignored."""
    asking, healthy = target_pair(with_headers(NOT_RUN, b"retry-after: 1.2"), COMPLETE)
    route = {"objective_seconds": 2.0}
    async with running_gateway(asking, healthy, **route) as (_gateway, address):
        while not asking.requests:
            paused_at = time.monotonic()
            await ask(address)
        while time.monotonic() < paused_at + 1.1:
            assert (await ask(address))[0] == 200
            # The last answer may come after the pause on a busy machine.
            if time.monotonic() < paused_at + 1.2:
                assert len(asking.requests) == 1
        await anyio.sleep(0.2)
        for _ in range(40):
            await ask(address)
        assert len(asking.requests) > 1


async def test_caller_is_refused_at_once_with_the_pause_of_the_targets():
    asking = Target(with_headers(NOT_RUN, b"retry-after: 30"))
    async with running_gateway(asking) as (_gateway, address):
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
async def test_invalid_notice_pauses_no_target(lines):
    target = Target(with_headers(NOT_RUN, *lines), COMPLETE)
    async with running_gateway(target) as (gateway, address):
        await ask(address)
        assert (await ask(address))[0] == 200
        is_time = lines[0].startswith(b"retry-after")
        counted = gateway.metrics.paused_targets._values[("unreadable",)]
        assert counted == is_time


async def test_notice_of_another_target_pauses_no_target():
    """Another service has reused its address."""
    other = b"HTTP/1.1 421 Other\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n"
    foreign = with_headers(COMPLETE.replace(b"id-1", b"id-2"), LEAVING)
    for answer in (other, foreign):
        target = Target(answer, COMPLETE)
        async with running_gateway(target) as (gateway, address):
            await ask(address)
            gateway.board._load_by_address.clear()
            assert (await ask(address))[0] == 200


async def test_burst_to_the_last_target_while_it_leaves():
    """Load pattern: all others have left, and the last one leaves amid a burst."""

    async def leave_slowly(stream):
        await anyio.sleep(0.1)
        await stream.send(with_headers(COMPLETE, LEAVING))

    last = Target(leave_slowly)
    async with running_gateway(last) as (_gateway, address):
        await send_many(address, 20)
        reached = len(last.requests)
        statuses = [(await ask(address))[0] for _ in range(10)]
        assert statuses == [503] * 10
        assert len(last.requests) == reached


@pytest.mark.parametrize("factor", [0.5, 1, 3])
async def test_targets_that_repeatedly_ask_for_a_pause(factor):
    """Load pattern: all targets of a service are full, and repeatedly refuse."""
    arrivals = []

    async def refuse(stream):
        arrivals.append(time.monotonic())
        await stream.send(with_headers(NOT_RUN, b"retry-after: 2"))

    targets = [Target(refuse) for _ in range(3)]
    async with running_gateway(*targets) as (_gateway, address):
        await send_many(address, int(12 * factor))
        first_at = min(arrivals)
        while time.monotonic() < first_at + 1.8:
            await send_many(address, int(2 * factor) or 1)
            await anyio.sleep(0.1)
        assert not [at for at in arrivals if at > first_at + 0.5]


async def test_notice_received_before_sending_is_respected():
    """A choice was not checked again after its connection had been opened."""
    slow, healthy = target_pair(COMPLETE)
    async with running_gateway(slow, healthy) as (gateway, address):
        chosen = []
        choose = gateway.board.choose

        def choose_and_notify(now, requirements, *rest):
            choice = choose(now, requirements, *rest)
            if not chosen:
                chosen.append(choice.row)
                notice = replace(
                    gateway.dialect.parse_target_notice(EmptyHead()), is_leaving=True
                )
                gateway.board.notices.record(now, choice.row, notice)
            return choice

        gateway.board.choose = choose_and_notify
        assert (await ask(address))[0] == 200
        rows = gateway.registry.targets.rows()
        (index,) = [i for i, row in enumerate(rows) if row.id == chosen[0].id]
        assert not (slow, healthy)[index].requests


@pytest.mark.parametrize("change", ["draining", "gone"])
async def test_target_that_leaves_before_sending_gets_no_request(change):
    """The registry was read at the choice only, not after connecting."""
    leaving = Target(COMPLETE)
    async with running_gateway(leaving) as (gateway, address):
        choose = gateway.board.choose

        def choose_and_leave(now, requirements, *rest):
            choice = choose(now, requirements, *rest)
            (row,) = gateway.registry.targets.rows() or (None,)
            if row is not None and change == "draining":
                drained = replace(row, sequence=9, state="draining")
                gateway.registry.record(now, drained)
            elif row is not None:
                departure = Departure("target", row.id, row.incarnation, True)
                gateway.registry.forget(now, departure)
            return choice

        gateway.board.choose = choose_and_leave
        assert (await ask(address))[0] == 503
        assert not leaving.requests


class EmptyHead:
    """The head of an answer without a notice."""

    status = 200
    headers = ()

    def get_header(self, name, default=None):
        return default


async def test_offers_in_flight_continue_after_a_notice():
    """A leaving target still answers the requests that it has."""

    async def answer_late(stream):
        await anyio.sleep(0.4)
        await stream.send(COMPLETE)

    target = Target(answer_late, with_headers(COMPLETE, LEAVING))
    async with running_gateway(target, objective_seconds=1.0) as (_gateway, address):
        statuses = []

        async def ask_and_record():
            statuses.append((await ask(address))[0])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_and_record)
            await anyio.sleep(0.1)
            tasks.start_soon(ask_and_record)
        assert statuses == [200, 200]
