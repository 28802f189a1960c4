"""Test the admission of requests at the agent, also of those aborted meanwhile."""

import asyncio
from contextlib import asynccontextmanager, nullcontext
from types import SimpleNamespace

import anyio
import pytest

from banyanshore.agent.requests import REPLY_RETENTION, RequestRunner
from banyanshore.agent.running import RunningRequest
from banyanshore.routing.admission import Admission, AdmissionOptions
from banyanshore.routing.messages import Dispatch, RefusalReason
from banyanshore.telemetry.metrics import AgentMetrics

pytestmark = pytest.mark.anyio


def make_dispatch(request_id, exclusive=False):
    return Dispatch(
        request_id, "w", "s", "POST", "/", (), b"", 30.0, 5, True, b"f", exclusive, ""
    )


def make_runner(cold_limit=2, engine=None, tasks=None):
    admission = Admission(AdmissionOptions(cold_limit=cold_limit))
    settings = SimpleNamespace(instance="agent-1")
    tracer = SimpleNamespace(span=lambda *args, **kwargs: nullcontext(""))
    runner = RequestRunner(settings, engine, admission, tasks, tracer, AgentMetrics())
    runner.get_refusal_reason = lambda: None
    runner.get_loaded_version = lambda: ("m", "v1")
    return runner


class BusyEngine:
    """Target that notices a closed connection only after a while."""

    notice_delay = 0.15

    def __init__(self):
        self.running = 0
        self.peak = 0

    @asynccontextmanager
    async def run(self, dispatch, traceparent):
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            await anyio.sleep(30)
            yield
        finally:
            asyncio.get_running_loop().call_later(self.notice_delay, self._notice)

    def _notice(self):
        self.running -= 1


async def test_aborted_request_counts_as_in_flight_until_the_target_notices():
    """A cold target with a limit of one request received two and crashed.

    Seen once in test_faults_in_pairs[links_stall-entry_dies], with five test workers.
    """
    engine = BusyEngine()
    async with anyio.create_task_group() as tasks:
        runner = make_runner(1, engine, tasks)
        responder = SimpleNamespace(finish=_ignore, send=_ignore)
        for number in range(6):
            dispatch = make_dispatch(f"q{number}")
            tasks.start_soon(runner.handle_dispatch, dispatch, responder)
            await anyio.sleep(0.1)
            runner.cancel(dispatch.request_id)
        await anyio.sleep(0.5)
        assert await runner._admit(make_dispatch("later")) is None
        tasks.cancel_scope.cancel()
    assert engine.peak == 1


async def _ignore(reply):
    pass


async def test_suspect_aborted_while_waiting_does_not_block_others():
    runner = make_runner()
    assert await runner._admit(make_dispatch("running")) is None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runner._admit, make_dispatch("suspect", exclusive=True))
        await anyio.sleep(0.05)
        # While it waits to run alone, others are refused.
        refused = await runner._admit(make_dispatch("other"))
        assert refused.reason == RefusalReason.FULL
        # Its caller leaves, or the connection of its entry is lost.
        tasks.cancel_scope.cancel()
    assert await runner._admit(make_dispatch("another")) is None


async def test_suspect_runs_once_the_others_have_ended():
    runner = make_runner()
    assert await runner._admit(make_dispatch("running")) is None
    refusals = []

    async def admit():
        refusals.append(await runner._admit(make_dispatch("suspect", exclusive=True)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(admit)
        await anyio.sleep(0.05)
        assert not refusals
        runner._admission.release(1.0, "running", 1.0, True)
    assert refusals == [None]
    refused = await runner._admit(make_dispatch("other"))
    assert refused.reason == RefusalReason.FULL


async def test_suspect_cancelled_while_it_waits_never_runs():
    """It ran although its entry had been told that it never would."""
    runner = make_runner()
    assert await runner._admit(make_dispatch("running")) is None
    refusals = []

    async def admit():
        refusals.append(await runner._admit(make_dispatch("suspect", exclusive=True)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(admit)
        await anyio.sleep(0.05)
        runner.cancel("suspect")
        runner._admission.release(1.0, "running", 1.0, True)
    assert [refusal.reason for refusal in refusals] == [RefusalReason.CANCELLED]
    assert await runner._admit(make_dispatch("other")) is None


async def test_request_whose_replies_are_still_read_is_kept():
    """Its retention ended while a slow caller read, so that a stop forgot it."""
    runner = make_runner()
    request = RunningRequest(make_dispatch("q"), 0.0)
    runner._by_id["q"] = request
    request.begin_reading()
    request.ended_at = 1.0
    runner.expire(2.0 + REPLY_RETENTION)
    assert runner.find_unread() == ["q"]
    request.end_reading(20.0)
    runner.expire(20.0 + REPLY_RETENTION)
    assert "q" in runner._by_id
    runner.expire(20.1 + REPLY_RETENTION)
    assert "q" not in runner._by_id
