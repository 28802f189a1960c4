"""Gateways keep to the request rates that targets name in their answers."""

import contextlib
import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.membership.registry import TargetRow
from banyanshore.routing.request_limits import LimitStatement
from tests.gateway.deployment import (
    COMPLETE,
    FAILED,
    NOT_RUN,
    Target,
    ask,
    make_request,
    read_request,
    with_headers,
)
from tests.gateway.fleet import GatewayFleet
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
        if not await read_request(stream):
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


@pytest.mark.parametrize("gateways", [range(8), [7]], ids=["all", "far"])
async def test_limit_is_used_while_requests_wait(gateways):
    """Fixed shares of a limit leave most of it unused."""
    target = LimitedTarget(b"5")
    data_centres = ["a", "a", "a", "b", "b", "b", "c", "c"]
    async with limited_fleet(data_centres, [target]) as fleet:
        await send_load(fleet, 1.0, 40, gateways)
        start = time.monotonic()
        await send_load(fleet, 4.0, 40, gateways)
        arrivals = sum(start <= at < start + 4.0 for at in target.arrivals)
        assert 0.9 * 5 * 4 <= arrivals <= 1.5 * 5 * 4 + 5


async def test_targets_without_a_limit_take_the_requests_of_one_with_a_limit():
    limited, free = LimitedTarget(b"1"), LimitedTarget()
    async with limited_fleet(["a", "b"], [limited, free]) as fleet:
        await send_load(fleet, 2.0, 40, range(2))
        assert fleet.statuses == [200] * 80
        assert len(limited.arrivals) < 10


async def test_caller_is_refused_at_once_when_all_targets_are_at_their_limits():
    target = LimitedTarget(b"0.5")
    async with limited_fleet(["dc"], [target]) as fleet:
        await fleet.send(make_request(), 0)
        await fleet.send(make_request(), 0)
        start = time.monotonic()
        status, answer = await ask(fleet.caller_addresses[0])
        assert time.monotonic() - start < 0.2
        assert status == 503
        retry_after = float(answer.split(b"retry-after: ")[1].split(b"\r\n")[0])
        # The first permit is available 2 s after the limit was named.
        assert 1.0 <= retry_after <= 3.5


async def test_limit_ends_with_an_answer_that_names_none():
    """Without any answer, a limit of 0 would hold until the target restarts."""
    target = LimitedTarget(b"2")
    async with limited_fleet(["a", "b"], [target]) as fleet:
        await send_load(fleet, 1.0, 20, range(2))
        assert fleet.statuses.count(503)
        target.limit = None
        await send_load(fleet, 1.0, 20, range(2))
        fleet.statuses.clear()
        await send_load(fleet, 1.0, 20, range(2))
        assert fleet.statuses == [200] * 20


async def test_limit_is_followed_when_it_changes():
    target = LimitedTarget(b"0.5")
    async with limited_fleet(["a", "b"], [target]) as fleet:
        await send_load(fleet, 1.0, 20, range(2))
        target.limit = b"10"
        await send_load(fleet, 3.0, 20, range(2))
        target.arrivals.clear()
        await send_load(fleet, 2.0, 20, range(2))
        assert 18 <= len(target.arrivals) <= 30


@pytest.mark.parametrize(
    ("answer", "limit"),
    [
        (NOT_RUN, b"1"),
        (FAILED, b"1"),
        (COMPLETE.replace(b"content-length: 2", b"content-length: 9"), b"1"),
        (COMPLETE, b"3, 1"),
        (COMPLETE, b"3\r\nserver-limit: 1"),
        (COMPLETE, b"1., much"),
    ],
    ids=["refused", "failed", "broken-off", "list", "two", "one-valid"],
)
async def test_limit_is_known_from_any_answer_of_the_target(answer, limit):
    target = LimitedTarget(limit, answer)
    async with limited_fleet(["a", "b"], [target]) as fleet:
        await fleet.send(make_request(), 0)
        await anyio.sleep(0.5)
        for gateway in fleet.gateways:
            (statement,) = dict(gateway.board.limits.in_force()).values()
            assert statement.per_second == 1.0


@pytest.mark.parametrize(
    "limit", [b"", b"none", b"-1", b"nan", b"inf", b"1e1", b"1_0", b"\xb2", b"1" * 40]
)
async def test_limit_that_is_no_decimal_number_neither_begins_nor_ends_one(limit):
    target = LimitedTarget(limit)
    async with limited_fleet(["dc"], [target]) as fleet:
        limits = fleet.gateways[0].board.limits
        await fleet.send(make_request(), 0)
        assert not limits.in_force()
        target.limit = b"9"
        await fleet.send(make_request(), 0)
        target.limit = limit
        await anyio.sleep(0.5)
        await fleet.send(make_request(), 0)
        (statement,) = dict(limits.in_force()).values()
        assert statement.per_second == 9.0
        metrics = fleet.gateways[0].metrics
        assert metrics.limits._values[("unreadable",)] == 2


async def test_limit_in_the_answer_of_another_target_is_ignored():
    """Another service has reused its address."""
    other = b"HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n"
    for answer in (other, COMPLETE.replace(b"id-1", b"id-2")):
        target = LimitedTarget(b"1", answer)
        async with limited_fleet(["dc"], [target]) as fleet:
            await fleet.send(make_request(), 0)
            assert not fleet.gateways[0].board.limits.in_force()


async def test_answer_to_an_earlier_request_does_not_end_a_limit():
    """Answers cross: the older one, without a limit, arrives after the newer one."""
    release = anyio.Event()

    async def answer_late(stream):
        await release.wait()
        await stream.send(COMPLETE)

    target = Target(answer_late, with_headers(COMPLETE, b"server-limit: 1"))
    async with limited_fleet(["dc"], [target]) as fleet:
        limits = fleet.gateways[0].board.limits
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.send, make_request(), 0)
            await anyio.sleep(0.1)
            await fleet.send(make_request(), 0)
            release.set()
        (row,) = fleet.gateways[0].registry.targets.rows()
        assert limits.is_limited(row)


async def test_restarted_target_has_no_limit():
    target = LimitedTarget(b"0")
    async with limited_fleet(["dc"], [target]) as fleet:
        await fleet.send(make_request(), 0)
        await fleet.send(make_request(), 0)
        target.limit = None
        (row,) = fleet.gateways[0].registry.targets.rows()
        fleet.register(replace(row, incarnation=2))
        await fleet.send(make_request(), 0)
        assert fleet.statuses == [200, 503, 200]


async def test_request_chosen_before_the_limit_was_known_is_not_sent_without_permit():
    """A choice was not checked again after its connection had been opened."""
    target = LimitedTarget()
    async with limited_fleet(["dc"], [target]) as fleet:
        (gateway,) = fleet.gateways
        choose = gateway.board.choose

        def choose_and_name_limit(now, *rest):
            choice = choose(now, *rest)
            statement = LimitStatement(1.0, now - 1, now)
            gateway.board.limits.record(("i-0", 1), statement)
            return choice

        gateway.board.choose = choose_and_name_limit
        await fleet.send(make_request(), 0)
        assert not target.arrivals


async def test_gateway_that_starts_later_is_told_of_limits():
    target = LimitedTarget(b"0")
    async with limited_fleet(["a"], [target]) as fleet:
        await fleet.send(make_request(), 0)
        await fleet.add_gateway("b")
        await anyio.sleep(1.5)
        await fleet.send(make_request(), 1)
        assert fleet.statuses == [200, 503]
        assert len(target.arrivals) == 1


async def test_limited_target_gets_no_requests_while_its_owner_is_silent():
    target = LimitedTarget(b"50")
    async with limited_fleet(["a", "a", "b"], [target]) as fleet:
        await send_load(fleet, 0.5, 20, [2])
        (row,) = fleet.gateways[2].registry.targets.rows()
        owner = fleet.gateways[2].updates.find_owner(row)
        assert owner.data_centre == "a"
        for gateway in fleet.gateways[:2]:
            gateway.permits.on_permit_request = never_answer
        target.arrivals.clear()
        fleet.statuses.clear()
        start = time.monotonic()
        await fleet.send(make_request(), 2)
        assert fleet.statuses == [503]
        assert time.monotonic() - start < 0.5
        assert not target.arrivals


async def never_answer(request, responder):
    await anyio.sleep(30)


async def test_notices_do_not_make_a_limit_look_newer_than_it_is():
    """Hubs repeated it with an age that lacked its way to them."""
    target = LimitedTarget(b"1")
    async with limited_fleet(["a", "a", "b", "b"], [target]) as fleet:
        await fleet.send(make_request(), 2)
        limits = fleet.gateways[2].board.limits
        (named,) = dict(limits.in_force()).values()
        await anyio.sleep(3.5)
        assert dict(limits.in_force()) == {("i-0", 1): named}
