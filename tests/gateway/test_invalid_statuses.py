"""An answer with an invalid status line is a lost answer, not one for the caller."""

import contextlib

import anyio
import pytest

from banyanshore.membership.registry import TargetRow
from tests.gateway.deployment import (
    COMPLETE,
    SIGNED,
    Target,
    ask,
    events,
    make_request,
    running_gateway,
)
from tests.gateway.fleet import GatewayFleet
from tests.http.raw import scripted_server
from tests.status_lines import (
    FRAMINGS,
    INVALID_LINE_BY_FAULT,
    VALID_LINE_BY_STATUS,
    frame,
    names_fault,
)

pytestmark = pytest.mark.anyio

FIELDS = SIGNED.partition(b"\r\n")[2]
MARKS = {"unmarked": b"", "not-executed": b"not-executed: 1\r\n"}
IDEMPOTENT = {"kind": "idempotent"}
ONCE = {"kind": "non_idempotent"}
STREAM = {"kind": "streaming"}
RESUMABLE = {"kind": "streaming", "resumable": True}
LAST_CHUNK = b"0\r\n\r\n"
every_fault = pytest.mark.parametrize("fault", INVALID_LINE_BY_FAULT)


def invalid_answers(fault, body):
    """Return signed answers to the request, each framed and marked in another way."""
    head = INVALID_LINE_BY_FAULT[fault] + b"\r\n" + FIELDS
    return [
        head + mark + frame(framing, body)
        for framing in FRAMINGS
        for mark in MARKS.values()
    ]


def two_targets(*acts):
    """Return two targets that share their answers and requests."""
    first, other = Target(*acts), Target()
    other.acts, other.requests = first.acts, first.requests
    return first, other


def find_why(caplog, message):
    return [row.why for row in caplog.records if row.message == message]


@every_fault
@pytest.mark.parametrize("route", [ONCE, STREAM], ids=["once", "stream"])
async def test_invalid_status_of_a_request_that_may_run_once_ends_as_unknown(
    route, fault, caplog
):
    """A status of 600 reached the caller as an answer, and HTTP/0.9 as a success."""
    caplog.set_level("INFO", "banyanshore.requests")
    first, other = two_targets(b"")
    async with running_gateway(first, other, **route) as (gateway, address):
        for number, answer in enumerate(invalid_answers(fault, events(1, 2)), 1):
            first.acts[:] = [answer]
            gateway.board._load_by_address.clear()
            status, received = await ask(address)
            assert status == 502
            assert b"replica-signature" not in received.lower()
            assert b"not-executed" not in received.lower()
            assert b"data: e1" not in received
            assert len(first.requests) == number
    whys = find_why(caplog, "answer broke off")
    assert len(whys) == number
    assert all(names_fault(fault, why) for why in whys)


@every_fault
async def test_idempotent_request_is_offered_again_after_an_invalid_status(fault):
    first, other = two_targets(b"")
    async with running_gateway(first, other, **IDEMPOTENT) as (gateway, address):
        for number, answer in enumerate(invalid_answers(fault, b"bad"), 1):
            first.acts[:] = [answer, COMPLETE]
            gateway.board._load_by_address.clear()
            status, received = await ask(address)
            assert status == 200
            assert received.endswith(b"\r\n\r\nok")
            assert len(first.requests) == 2 * number


@every_fault
async def test_idempotent_request_without_a_valid_answer_ends_as_unknown(fault):
    first, other = two_targets(b"")
    async with running_gateway(first, other, **IDEMPOTENT) as (gateway, address):
        for answer in invalid_answers(fault, b"bad"):
            first.acts[:] = [answer]
            gateway.board._load_by_address.clear()
            status, received = await ask(address)
            assert status == 502
            assert b"replica-signature" not in received.lower()


async def break_off(stream):
    await stream.send(SIGNED + b"content-length: 99\r\n\r\n" + events(1, 2))


@every_fault
async def test_stream_is_resumed_elsewhere_after_an_invalid_status(fault):
    first, other, third = (Target() for _ in range(3))
    other.acts, other.requests = first.acts, first.requests
    third.acts, third.requests = first.acts, first.requests
    route = {**RESUMABLE, "max_attempts": 3}
    targets = (first, other, third)
    async with running_gateway(*targets, **route) as (gateway, address):
        for answer in invalid_answers(fault, b"id: 3\ndata: bad\n\n"):
            rest = SIGNED + frame("length", events(3, 4))
            first.acts[:] = [break_off, answer, rest]
            first.requests.clear()
            gateway.board._load_by_address.clear()
            status, received = await ask(address)
            assert status == 200
            lines = received.split(b"\n")
            texts = [line for line in lines if line.startswith(b"data: ")]
            assert texts == [b"data: e1", b"data: e2", b"data: e3", b"data: e4"]
            assert received.endswith(LAST_CHUNK)
            assert len(first.requests) == 3


@every_fault
async def test_stream_resumed_with_an_invalid_status_is_broken_off(fault):
    """Events after HTTP/0.9 200 became a part of a stream, which looked complete."""
    first, other = two_targets(b"")
    async with running_gateway(first, other, **RESUMABLE) as (gateway, address):
        for answer in invalid_answers(fault, events(3, 4)):
            first.acts[:] = [break_off, answer]
            gateway.board._load_by_address.clear()
            status, received = await ask(address)
            assert status == 200
            assert b"data: e2" in received
            assert b"data: e3" not in received
            assert not received.endswith(LAST_CHUNK)


@pytest.mark.parametrize("status", VALID_LINE_BY_STATUS)
async def test_valid_status_of_a_target_is_passed_on(status):
    head = VALID_LINE_BY_STATUS[status] + b"\r\n" + FIELDS
    target = Target(b"")
    async with running_gateway(target, **ONCE) as (gateway, address):
        for framing in FRAMINGS:
            target.acts = [head + frame(framing, b"whole")]
            gateway.board._load_by_address.clear()
            got, received = await ask(address)
            assert got == status
            assert b"replica-signature: s" in received.lower()
            assert received.endswith(b"\r\n\r\nwhole")


NOTICES = (
    b"server-leaving: 1\r\n",
    b"server-limit: 0.001\r\n",
)


@pytest.mark.parametrize("notice", NOTICES)
@pytest.mark.parametrize("fault", ["600", "HTTP/0.9"])
async def test_notice_in_an_answer_with_an_invalid_status_is_ignored(fault, notice):
    """A target was left alone, or limited, because of an answer that was none."""
    head = INVALID_LINE_BY_FAULT[fault] + b"\r\n" + FIELDS
    target = Target(head + notice + frame("length", b"bad"))
    async with running_gateway(target, **ONCE) as (gateway, address):
        for _ in range(2):
            await ask(address)
        assert len(target.requests) == 1
        target.acts = [COMPLETE]
        for _ in range(2):
            gateway.board._load_by_address.clear()
            assert (await ask(address))[0] == 200


@contextlib.asynccontextmanager
async def running_fleet(target):
    """Yield a :class:`GatewayFleet` of one gateway that looks for crashed targets."""
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        script = await stack.enter_async_context(scripted_server(target.act))
        fleet = GatewayFleet(stack, tasks, ONCE)
        row = TargetRow("i-0", "s", script.address, "dc", "v1", 4, "ready", 0.0, 1, 1)
        fleet.register(row)
        await fleet.add_gateway()
        yield fleet


# More than the crashes for which a request, or a part of a prompt, is refused.
LOST_ANSWERS = 8


@every_fault
async def test_invalid_status_of_a_target_that_runs_on_is_no_crash(fault, caplog):
    """The answers are lost, but their target accepts connections all the while."""
    caplog.set_level("INFO")
    request = make_request("POST", body=b"prompt", prefix_hash="part:10, session:20")
    target = Target(invalid_answers(fault, b"bad")[0])
    async with running_fleet(target) as fleet:
        (gateway,) = fleet.gateways
        for _ in range(LOST_ANSWERS):
            gateway.board._load_by_address.clear()
            await fleet.send(request, 0)
        with anyio.fail_after(5.0):
            while gateway.suspects._probes._probed_ids:
                await anyio.sleep(0.02)
        gateway.board._load_by_address.clear()
        target.acts = [COMPLETE]
        await fleet.send(request, 0)
    assert fleet.statuses == [502] * LOST_ANSWERS + [200]
    messages = [record.message for record in caplog.records]
    assert messages.count("answer lost") == LOST_ANSWERS
    assert "target ended while it ran a request" not in messages
