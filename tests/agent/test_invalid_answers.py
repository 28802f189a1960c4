"""An answer with an invalid head is no crash of the target, which has answered."""

import anyio
import pytest

from banyanshore.agent.requests import SETTLE_SECONDS
from banyanshore.routing.messages import (
    Failed,
    FailureReason,
    Finished,
    RefusalReason,
    Started,
)
from tests.agent.agents import ask, count_crashes, make_dispatch, running_agent
from tests.gateway.deployment import Target, read_request
from tests.http.raw import read_all, reset
from tests.status_lines import (
    FRAMINGS,
    INVALID_HEADS,
    INVALID_LINE_BY_FAULT,
    frame,
    names_fault,
)

pytestmark = pytest.mark.anyio

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
BROKEN = [Failed(FailureReason.BROKEN_ANSWER)]
# Higher than the cold limit, to which a crash resets it.
LIMIT = 5
every_fault = pytest.mark.parametrize("fault", INVALID_LINE_BY_FAULT)


def invalid_answer(fault, framing="length"):
    return INVALID_LINE_BY_FAULT[fault] + b"\r\n" + frame(framing, b"bad")


def warnings_of(caplog):
    return [row.getMessage() for row in caplog.records if row.levelname == "WARNING"]


@every_fault
async def test_invalid_status_line_is_no_crash(fault, caplog):
    """The target counted as crashed, and each request in flight as a suspect."""
    for framing in FRAMINGS:
        caplog.clear()
        release = anyio.Event()

        async def answer_later(stream, release=release):
            await release.wait()
            await stream.send(OK)

        target = Target(answer_later, invalid_answer(fault, framing))
        other_replies = []

        async def ask_other(runner, replies=other_replies):
            replies += await ask(runner, make_dispatch("other", b"g"))

        async with running_agent(target) as runner, anyio.create_task_group() as tasks:
            runner._admission.limit = LIMIT
            tasks.start_soon(ask_other, runner)
            with anyio.fail_after(5.0):
                while not target.requests:
                    await anyio.sleep(0.01)
            assert await ask(runner, make_dispatch("id-1")) == BROKEN
            release.set()
            with anyio.fail_after(5.0):
                while not other_replies:
                    await anyio.sleep(0.01)
            assert runner._admission.limit == LIMIT
            assert count_crashes(runner) == 0
        assert isinstance(other_replies[-1], Finished)
        (warning,) = warnings_of(caplog)
        assert names_fault(fault, warning)


@pytest.mark.parametrize("repeatable", [False, True])
@every_fault
async def test_request_with_an_invalid_status_line_is_not_run_again(fault, repeatable):
    """The agent runs each id at most once, also when its entry asks again."""
    target = Target(invalid_answer(fault), OK)
    async with running_agent(target) as runner:
        for _ in range(2):
            dispatch = make_dispatch("id-1", repeatable=repeatable)
            assert await ask(runner, dispatch) == BROKEN
        (started, *_, finished) = await ask(runner, make_dispatch("id-2"))
    assert isinstance(started, Started) and isinstance(finished, Finished)
    assert len(target.requests) == 2


async def test_request_with_an_invalid_answer_stays_in_flight_for_a_while():
    """The target has not yet noticed that the connection of its answer is closed."""

    async def answer_on_and_on(stream):
        await stream.send(b"HTTP/1.1 600 X\r\n\r\n")
        await read_all(stream)

    target = Target(answer_on_and_on, OK)
    async with running_agent(target, cold_limit=1) as runner:
        assert await ask(runner, make_dispatch("id-1")) == BROKEN
        (refusal,) = await ask(runner, make_dispatch("id-2"))
        assert refusal.reason == RefusalReason.FULL
        await anyio.sleep(SETTLE_SECONDS)
        with anyio.fail_after(5.0):
            while runner._admission.in_flight:
                await anyio.sleep(0.01)
        replies = await ask(runner, make_dispatch("id-3"))
    assert isinstance(replies[-1], Finished)


INVALID_HEAD_BY_FAULT = {
    "switch": INVALID_HEADS["101"],
    "line without a name": b"HTTP/1.1 200 OK\r\n bad\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
    "empty": b"\r\n\r\n",
}


@pytest.mark.parametrize("fault", INVALID_HEAD_BY_FAULT)
async def test_invalid_head_is_no_crash(fault):
    async with running_agent(Target(INVALID_HEAD_BY_FAULT[fault])) as runner:
        assert await ask(runner, make_dispatch("id-1")) == BROKEN
        assert count_crashes(runner) == 0


CUT_OFF_BY_PLACE = {
    "nothing": b"",
    "status line": b"HTTP/1.1 2",
    "invalid status line": b"HTTP/1.1 000 X",
    "invalid head": b"HTTP/1.1 600 X\r\nx: y\r\n",
    "head": b"HTTP/1.1 200 OK\r\ncontent-le",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "body": b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab",
    "chunk": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nab",
    "chunk size": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9",
    "event": b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: a",
}


@pytest.mark.parametrize("end", ["closed", "reset"])
@pytest.mark.parametrize("place", CUT_OFF_BY_PLACE)
async def test_answer_that_is_cut_off_stays_evidence_of_a_crash(place, end):
    async def cut_off(stream):
        if place != "nothing":
            await stream.send(CUT_OFF_BY_PLACE[place])
        if end == "reset":
            reset(stream)

    async with running_agent(Target(cut_off)) as runner:
        runner._admission.limit = LIMIT
        (*_, failed) = await ask(runner, make_dispatch("id-1"))
        assert failed.reason == FailureReason.TARGET_CRASHED
        assert failed.crashed == (b"f",)
        assert failed.crash_id
        assert runner._admission.limit == 2
        assert count_crashes(runner) == 1


async def test_connection_that_ends_between_requests_stays_evidence_of_a_crash():
    """The answer to the second request on a connection ends before its head."""

    async def answer_once(stream):
        await stream.send(OK)
        assert await read_request(stream)

    async with running_agent(Target(answer_once)) as runner:
        replies = await ask(runner, make_dispatch("id-1"))
        assert isinstance(replies[-1], Finished)
        (failed,) = await ask(runner, make_dispatch("id-2"))
    assert failed.reason == FailureReason.TARGET_CRASHED
