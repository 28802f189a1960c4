"""Test how long a call waits in an entry, with a simulated clock."""

import math
from dataclasses import dataclass
from types import SimpleNamespace

import anyio
import pytest

from banyanshore.conf.sections import RoutingSettings
from banyanshore.entry import proxy as proxy_module
from banyanshore.entry.proxy import WAKE_INTERVAL, Proxy
from banyanshore.routing.calls import Call, ResultKind
from banyanshore.routing.quarantine import Quarantine
from banyanshore.telemetry.metrics import EntryMetrics
from banyanshore.telemetry.tracing import Tracer

QUEUE_SECONDS = 0.8


@dataclass
class Clock:
    """A clock that advances only when the entry sleeps."""

    now: float = 100.0

    def monotonic(self):
        return self.now

    async def sleep(self, seconds):
        self.now += seconds
        for _ in range(10):
            await anyio.lowlevel.checkpoint()


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(
        proxy_module, "time", SimpleNamespace(monotonic=clock.monotonic)
    )
    monkeypatch.setattr(
        proxy_module,
        "anyio",
        SimpleNamespace(
            sleep=clock.sleep,
            Event=anyio.Event,
            move_on_after=anyio.move_on_after,
            CancelScope=anyio.CancelScope,
        ),
    )
    return clock


def make_proxy():
    settings = SimpleNamespace(
        routing=RoutingSettings(max_queue_seconds=QUEUE_SECONDS), instance="entry-1"
    )
    state = SimpleNamespace(desired=None)
    targets = SimpleNamespace(iter_serving=lambda now, service: ())
    places = SimpleNamespace(
        choose=lambda *args: None, has_serving_target=lambda now, service: True
    )
    return Proxy(
        settings, state, targets, None, places, Quarantine(), None,
        EntryMetrics(), Tracer("entry-1", "liege"), None,
    )  # fmt: skip


def make_call(clock, number, seconds):
    return Call(
        f"call-{number}", "acme", "assistant", "POST", "/", (), b"",
        clock.now + seconds, 1, True, b"%d" % number, "",
    )  # fmt: skip


@pytest.mark.parametrize("deadline_seconds", [1.0, 5.0, 30.0, 3_000.0, math.inf])
def test_call_is_given_up_after_the_same_wait_whatever_its_deadline(
    clock, deadline_seconds
):
    # All targets stay full.
    proxy = make_proxy()
    started_at = clock.now
    results = []

    async def send(number):
        call = make_call(clock, number, deadline_seconds)
        results.append((await proxy.handle(call, None), clock.now))

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(proxy.run)
            async with anyio.create_task_group() as calls:
                for number in range(20):
                    calls.start_soon(send, number)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert len(results) == 20
    for result, ended_at in results:
        assert result.kind is ResultKind.NOT_RUN
        assert result.retry_after >= 1.0
        assert ended_at - started_at <= QUEUE_SECONDS + WAKE_INTERVAL + 1e-6
