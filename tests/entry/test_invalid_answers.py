"""Requests of an entry whose targets answer with an invalid status line."""

import contextlib
import time
from collections import Counter
from types import SimpleNamespace

import anyio
import pytest

from banyanshore.conf.sections import RoutingSettings
from banyanshore.entry.answers import CollectingSink
from banyanshore.entry.proxy import Proxy
from banyanshore.routing.calls import ANSWERED, Call, ResultKind
from banyanshore.routing.messages import FailureReason
from banyanshore.routing.quarantine import Quarantine, Verdict
from banyanshore.telemetry.metrics import EntryMetrics
from banyanshore.telemetry.tracing import Tracer
from tests.agent.agents import ask, running_agent
from tests.gateway.deployment import Target
from tests.status_lines import INVALID_LINE_BY_FAULT, frame

pytestmark = pytest.mark.anyio

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
every_fault = pytest.mark.parametrize("fault", INVALID_LINE_BY_FAULT)


def invalid_answer(fault):
    return INVALID_LINE_BY_FAULT[fault] + b"\r\n" + frame("length", b"bad")


class AgentLink:
    """A link to an agent in the same process, and the connection over it."""

    def __init__(self, runner):
        self._runner = runner

    async def get_connection(self, timeout):
        return self

    async def open_call(self, message):
        async def iter_replies():
            for reply in await ask(self._runner, message):
                yield reply

        return iter_replies()


class AgentDestinations:
    """Offer each call to the first agent at which it has not failed.

    :param names: those of the agents.
    """

    def __init__(self, names):
        self._names = names

    def choose(self, now, call, progress, exclusive, is_forwarded):
        for name in self._names:
            if name not in progress.failed_at:
                return SimpleNamespace(
                    address=name, instance=name, incarnation=0, data_centre=""
                )
        return None

    def has_serving_target(self, now, service):
        return True


@contextlib.asynccontextmanager
async def running_entry(*targets):
    """Yield the proxy of an entry with an agent for each target, and its quarantine."""
    async with contextlib.AsyncExitStack() as stack:
        links = {}
        for number, target in enumerate(targets):
            runner = await stack.enter_async_context(running_agent(target, 8))
            links[f"agent-{number}"] = AgentLink(runner)
        selector = SimpleNamespace(
            own_in_flight=Counter(),
            record_end=lambda instance: None,
            record_outcome=lambda now, instance, succeeded: None,
        )
        quarantine = Quarantine()

        async def ignore(updates):
            pass

        proxy = Proxy(
            SimpleNamespace(routing=RoutingSettings(), instance="entry-1"),
            SimpleNamespace(desired=None),
            SimpleNamespace(iter_serving=lambda now, service: ()),
            selector,
            AgentDestinations(list(links)),
            quarantine,
            SimpleNamespace(get=lambda address, instance: links[address]),
            EntryMetrics(),
            Tracer("entry-1", ""),
            ignore,
        )
        yield proxy, quarantine


def make_call(number, repeatable, fingerprint=b"f"):
    deadline = time.monotonic() + 5.0
    return Call(
        f"id-{number}", "w", "s", "POST", "/", (), b"x", deadline, 5, repeatable,
        fingerprint, "",
    )  # fmt: skip


@every_fault
async def test_invalid_status_lines_quarantine_no_request(fault):
    """Two such answers were two crashes; all requests in flight were refused."""
    release = anyio.Event()

    async def answer_later(stream):
        await release.wait()
        await stream.send(OK)

    target = Target(answer_later, *[invalid_answer(fault)] * 3, OK)
    results = []

    async def send_other(proxy):
        call = make_call("other", False, b"g")
        results.append(await proxy.handle(call, CollectingSink()))

    async with running_entry(target) as (proxy, quarantine):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_other, proxy)
            with anyio.fail_after(5.0):
                while not target.requests:
                    await anyio.sleep(0.01)
            for number in range(3):
                result = await proxy.handle(make_call(number, False), CollectingSink())
                assert result.kind is ResultKind.UNKNOWN
                assert result.reason == FailureReason.BROKEN_ANSWER
                assert result.crashed == ()
                # The request is run once.
                assert len(target.requests) == number + 2
            release.set()
        assert results == [ANSWERED]
        for fingerprint in (b"f", b"g"):
            verdict = quarantine.verdict(time.monotonic(), fingerprint)
            assert verdict is Verdict.FREE
        assert await proxy.handle(make_call(3, False), CollectingSink()) is ANSWERED


@every_fault
async def test_repeatable_request_is_offered_again_after_an_invalid_status_line(fault):
    first, other = Target(invalid_answer(fault)), Target(OK)
    async with running_entry(first, other) as (proxy, quarantine):
        sink = CollectingSink()
        assert await proxy.handle(make_call(1, True), sink) is ANSWERED
        assert quarantine.verdict(time.monotonic(), b"f") is Verdict.FREE
    assert (len(first.requests), len(other.requests)) == (1, 1)


@every_fault
async def test_request_that_may_not_repeat_is_not_offered_again(fault):
    first, other = Target(invalid_answer(fault)), Target(OK)
    async with running_entry(first, other) as (proxy, _):
        result = await proxy.handle(make_call(1, False), CollectingSink())
    assert result.kind is ResultKind.UNKNOWN
    assert (len(first.requests), len(other.requests)) == (1, 0)
