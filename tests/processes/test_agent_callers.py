"""Callers of the metrics of an agent."""

import contextlib

import anyio
import pytest

from tests.control.instance import wait_until_listening
from tests.deployment import Deployment
from tests.http.raw import connect, read_all
from tests.ports import free_ports

pytestmark = pytest.mark.anyio

# The agent's setting, a quarter of which callers may take, and heads that don't end.
MEMORY_MB = 32
HEAD = b"GET /metrics HTTP/1.1\r\nhost: x\r\nx-fill: " + b"x" * 60_000
CALLERS = 150
METRICS = b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


async def test_callers_that_an_agent_asked_to_stop_are_counted():
    """They were logged, but no metric of an agent counted them."""
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"
    with Deployment({"a": "north"}, ["a"], [0]) as deployment:
        deployment.start_entries()
        deployment.wait_for_leader()
        deployment.start_fake("a-1-target", "plain")
        options = {"memory_mb": MEMORY_MB, "metrics_bind": address}
        deployment.start_agent("a-1", "a", "orders", "plain", **options)
        await wait_until_listening(address)
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(CALLERS):
                stream = await stack.enter_async_context(await connect(address))
                with contextlib.suppress(anyio.BrokenResourceError):
                    await stream.send(HEAD)
            async with await connect(address) as stream:
                await stream.send(METRICS)
                answer = await read_all(stream)
    labels = b'{reason="memory",stage="idle"}'
    assert b"banyanshore_stopped_callers_total" + labels in answer
