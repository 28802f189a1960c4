"""Gateways keep to the request rates that targets name in their answers."""

import contextlib
import time

import anyio
import pytest

from banyanshore.membership.registry import TargetRow
from tests.gateway.deployment import COMPLETE, make_request
from tests.gateway.fleet import GatewayFleet
from tests.gateway.test_target_notices import with_headers
from tests.http.raw import scripted_server

pytestmark = pytest.mark.anyio

# Span in which the requests at a target are counted, in seconds.
WINDOW_SECONDS = 4.0
# Seconds after its first limit from which a target may count on it.
GRACE_SECONDS = 3.0


class LimitedTarget:
    """A target that names a limit, and records when requests arrive.

    :param limit: value of its header, ``None`` to name none.
    :param answer: its answer without the header.
    """

    def __init__(self, limit=None, answer=COMPLETE):
        self.limit = limit
        self.answer = answer
        self.arrivals = []

    async def act(self, stream):
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                data += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
        self.arrivals.append(time.monotonic())
        lines = () if self.limit is None else (b"server-limit: " + self.limit,)
        await stream.send(with_headers(self.answer, *lines))

    def count_most(self, since):
        """Return the most arrivals in any window that begins at a time or later."""
        arrivals = [at for at in self.arrivals if at >= since]
        return max(
            (
                sum(start <= at < start + WINDOW_SECONDS for at in arrivals)
                for start in arrivals
            ),
            default=0,
        )


@contextlib.asynccontextmanager
async def limited_fleet(data_centres, targets, **route):
    """Yield a :class:`GatewayFleet` before targets that are in its first data centre.

    :param data_centres: data centre of each gateway.
    """
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        # A late answer on a busy machine doesn't count as lost.
        fleet = GatewayFleet(stack, tasks, {"objective_seconds": 2.0, **route})
        for number, target in enumerate(targets):
            server = await stack.enter_async_context(scripted_server(target.act))
            fleet.register(make_row(number, server.address, data_centres[0]))
        for data_centre in data_centres:
            await fleet.add_gateway(data_centre)
        await anyio.sleep(0.4)
        yield fleet


def make_row(number, address, data_centre="dc", incarnation=1):
    return TargetRow(
        f"i-{number}", "s", address, data_centre, "v1", 16, "ready", 0.0, incarnation, 1
    )


async def send_load(fleet, seconds, per_second, gateways):
    """Send requests at a steady rate, to the given gateways in turn."""
    requests = int(seconds * per_second)
    start = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for number in range(requests):
            await anyio.sleep(max(0.0, start + number / per_second - time.monotonic()))
            gateway = gateways[number % len(gateways)]
            tasks.start_soon(fleet.send, make_request(), gateway)


@pytest.mark.parametrize(
    ("limit", "allowed"), [(b"2", 17), (b"1.3", 12), (b"0.25", 6), (b"0", 5)]
)
async def test_target_gets_no_more_requests_than_the_limit_that_it_names(
    limit, allowed
):
    """The header was ignored."""
    target = LimitedTarget(limit)
    async with limited_fleet(["dc"], [target]) as fleet:
        start = time.monotonic()
        await send_load(fleet, GRACE_SECONDS + 2.5, 30, [0])
        assert target.count_most(start + GRACE_SECONDS) <= allowed


@pytest.mark.parametrize("gateways", [range(8), [0]], ids=["all", "one"])
async def test_limit_holds_for_all_gateways_together(gateways):
    """Each gateway sent as if it were alone."""
    target = LimitedTarget(b"1.3")
    data_centres = ["a", "a", "a", "b", "b", "b", "c", "c"]
    async with limited_fleet(data_centres, [target]) as fleet:
        start = time.monotonic()
        await send_load(fleet, GRACE_SECONDS + 2.5, 40, gateways)
        assert target.count_most(start + GRACE_SECONDS) <= 12
