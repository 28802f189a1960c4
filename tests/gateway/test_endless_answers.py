"""Targets whose answers don't end.

Faulty targets sent bytes without end to all requests that they had, and the gateway,
which held each answer up to a limit of its own, ended for want of memory.
"""

import contextlib
import tracemalloc

import anyio
import pytest

from banyanshore.routing.answer_memory import MEMORY_FRACTION, TARGET_FRACTION
from tests.gateway.deployment import (
    COMPLETE,
    Target,
    ask,
    hang,
    make_request,
    running_gateway,
)
from tests.http.raw import connect

pytestmark = pytest.mark.anyio

# Memory of a gateway by default, and what it holds of answers at most.
BUDGET_BYTES = MEMORY_FRACTION * 256_000_000
SLOTS = 12
CALLERS = 40
PIECE = b"x" * 65_536
CHUNK = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
SIGNED = b"replica-signature: s\r\nrequest-id: id-1\r\ncontent-type: text/plain\r\n"
OK, FAILED = b"HTTP/1.1 200 OK\r\n" + SIGNED, b"HTTP/1.1 500 Bad\r\n" + SIGNED
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
TERABYTE = b"content-length: 1000000000000\r\n\r\n"
ENDLESS_ANSWERS = {
    "chunked": (OK + CHUNKED, CHUNK),
    "close": (OK + b"\r\n", PIECE),
    "length": (OK + TERABYTE, PIECE),
    "failure": (FAILED + CHUNKED, CHUNK),
    "failure-length": (FAILED + TERABYTE, PIECE),
}


def sending_endlessly(head, piece):
    async def act(stream):
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await stream.send(head)
            while True:
                await stream.send(piece)

    return act


async def read_and_drop(address, rows):
    """Send a request, and record the status and the size of its answer."""
    async with await connect(address) as stream:
        await stream.send(make_request())
        size, status = 0, 0
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                data = await stream.receive()
                if not size:
                    status = int(data.split(b" ", 2)[1])
                size += len(data)
        rows.append((status, size))


@pytest.mark.parametrize("kind", ["idempotent", "streaming"])
@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
async def test_endless_answers_take_no_more_than_the_share_of_their_target(name, kind):
    """Each request in flight held up to 8 MB, and 12 of them 105 MB."""
    act = sending_endlessly(*ENDLESS_ANSWERS[name])
    async with running_gateway(Target(act), slots=SLOTS, kind=kind) as (
        gateway,
        address,
    ):
        rows = []
        tracemalloc.start()
        try:
            async with anyio.create_task_group() as tasks:
                for _ in range(CALLERS):
                    tasks.start_soon(read_and_drop, address, rows)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(rows) == CALLERS
        # Buffers of parsers and connections, also those of callers and targets here,
        # take as much again.
        assert peak < 2 * BUDGET_BYTES
        assert gateway.answer_memory.held_bytes == 0


async def test_target_with_endless_answers_does_not_take_the_room_of_another():
    """Requests beside a faulty target were lost with the process."""
    endless = Target(sending_endlessly(*ENDLESS_ANSWERS["chunked"]))
    async with running_gateway(endless, slots=SLOTS) as (gateway, address):
        rows = []
        async with anyio.create_task_group() as tasks:
            for _ in range(SLOTS):
                tasks.start_soon(read_and_drop, address, rows)
            await anyio.sleep(0.2)
            assert gateway.answer_memory.try_hold("another", len(COMPLETE))
            gateway.answer_memory.release("another", len(COMPLETE))


async def test_long_answer_is_passed_on_whole():
    """An answer for which there was no room was held up to 8 MB, or failed."""
    body = bytes(range(256)) * 16_384
    head = OK + b"content-length: %d\r\n\r\n" % len(body)
    assert len(body) > TARGET_FRACTION * BUDGET_BYTES
    async with running_gateway(Target(head + body)) as (_, address):
        status, answer = await ask(address)
        assert status == 200
        assert answer.partition(b"\r\n\r\n")[2] == body


async def test_long_answer_that_breaks_off_does_not_look_complete():
    body = b"x" * 4_000_000
    head = OK + b"content-length: %d\r\n\r\n" % (len(body) + 1)
    async with running_gateway(Target(head + body)) as (_, address):
        _, answer = await ask(address)
        assert b"content-length: 4000001" in answer
        assert len(answer.partition(b"\r\n\r\n")[2]) <= len(body)


async def test_target_with_endless_answers_is_avoided_afterwards():
    endless = Target(sending_endlessly(*ENDLESS_ANSWERS["length"]))
    async with running_gateway(endless, Target(COMPLETE)) as (_, address):
        for _ in range(12):
            await ask(address)
        sent = len(endless.requests)
        for _ in range(12):
            status, _ = await ask(address)
            assert status == 200
        assert len(endless.requests) - sent <= 2


async def test_body_of_a_failure_counts_while_another_target_is_tried():
    """It was released, and kept until the request ended."""
    body = b"x" * 1_000_000
    failure = FAILED + b"content-length: %d\r\n\r\n" % len(body) + body
    offers = []

    async def fail_once(stream):
        offers.append(stream)
        if len(offers) == 1:
            await stream.send(failure)
        await hang(stream)

    targets = Target(fail_once), Target(fail_once)
    async with running_gateway(*targets, max_attempts=2) as (gateway, address):
        memory = gateway.answer_memory
        async with await connect(address) as stream:
            await stream.send(make_request())
            with anyio.fail_after(5):
                while len(offers) < 2:
                    await anyio.sleep(0.01)
            assert memory.held_bytes == len(body)
        with anyio.fail_after(5):
            while memory.held_bytes:
                await anyio.sleep(0.01)


async def test_failure_that_no_target_makes_good_is_passed_on():
    """With its body, which counts until then."""
    body = b"x" * 100_000
    failure = FAILED + b"content-length: %d\r\n\r\n" % len(body) + body
    async with running_gateway(Target(failure), Target(failure)) as (gateway, address):
        status, answer = await ask(address)
        assert status == 500
        assert answer.endswith(body)
        assert gateway.answer_memory.held_bytes == 0
