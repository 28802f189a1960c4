"""Agents without transport, in front of scripted targets."""

import contextlib
from types import SimpleNamespace

import anyio

from banyanshore.conf.sections import EngineSettings
from banyanshore.engines.http import HttpPlainService
from banyanshore.routing.messages import Dispatch
from tests.agent.test_request_runner import make_runner
from tests.http.raw import scripted_server


@contextlib.asynccontextmanager
async def running_agent(target, cold_limit=2):
    """Yield the runner of an agent.

    :param target: the :class:`~tests.gateway.deployment.Target` that it calls.
    """
    async with (
        scripted_server(target.act) as server,
        anyio.create_task_group() as tasks,
    ):
        settings = EngineSettings(url=f"http://{server.address}")
        engine = HttpPlainService(settings, cold_limit)
        runner = make_runner(cold_limit, engine, tasks)
        runner.get_loaded_version = lambda: ("", "")
        try:
            yield runner
        finally:
            tasks.cancel_scope.cancel()
            with anyio.CancelScope(shield=True):
                await engine.aclose()


def make_dispatch(request_id, fingerprint=b"f", repeatable=False):
    return Dispatch(
        request_id, "w", "s", "POST", "/", (), b"x", 5.0, 5, repeatable, fingerprint
    )


async def ask(runner, dispatch):
    """Return the replies to a request."""
    replies = []

    async def add(reply):
        replies.append(reply)

    await runner.handle_dispatch(dispatch, SimpleNamespace(send=add, finish=add))
    return replies


def count_crashes(runner):
    """Return how many requests the agent has counted as crashes of its target."""
    (metric,) = runner._metrics.crashes.collect()
    (total,) = (row.value for row in metric.samples if row.name.endswith("_total"))
    return total
