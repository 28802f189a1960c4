"""Requests of which no two are alike, and that share a part that crashes targets."""

import math

import anyio
import pytest

from tests.gateway.crashing import crashing_fleet
from tests.gateway.deployment import make_request

pytestmark = pytest.mark.anyio

ROUTE = {"kind": "idempotent", "max_attempts": 2, "timeout_seconds": 3.0}
# Seconds after the fifth crash from which requests are counted, and how many of them
# may still reach a target.
GRACE_SECONDS = 3.0
MAX_LATE_REQUESTS = 3
GAP_SECONDS = 0.3
# Share of the sound requests that must be answered meanwhile.
MIN_SHARE_ANSWERED = 0.9


def make_poison(number):
    parts = f"0a:40,dead:100,{number:x}:10"
    return make_request("POST", body=b"p%d" % number, prefix_hash=parts)


def make_sound(number):
    parts = f"0a:40,{number % 5 + 176:x}:100,{number + 4096:x}:10"
    return make_request("POST", body=b"s%d" % number, prefix_hash=parts)


async def send_mixed(fleet, count, first=0):
    """Send sound requests, and one with the part for each four of them."""
    async with anyio.create_task_group() as tasks:
        for number in range(first, first + count):
            gateway = number % len(fleet.caller_addresses)
            tasks.start_soon(fleet.send, make_poison(number), gateway)
            for step in range(4):
                sound = make_sound(4 * number + step)
                other = (gateway + step) % len(fleet.caller_addresses)
                tasks.start_soon(fleet.send, sound, other)
                await anyio.sleep(GAP_SECONDS / 4)


def late_arrivals(fleet):
    arrivals = sorted(arrival.at for arrival in fleet.poison_arrivals())
    return [at for at in arrivals[5:] if at > arrivals[4] + GRACE_SECONDS]


@pytest.mark.parametrize(
    ("down_seconds", "is_silent"),
    [(4.5, False), (math.inf, False), (4.5, True)],
    ids=["back-soon", "gone-for-good", "silent"],
)
async def test_requests_that_share_a_crashing_part_stop(down_seconds, is_silent):
    """Only requests that were equal in all were recognized as the cause of crashes."""
    options = {"down_seconds": down_seconds, "is_silent": is_silent}
    async with crashing_fleet(**options, **ROUTE) as fleet:
        await send_mixed(fleet, 30)
        assert len(late_arrivals(fleet)) <= MAX_LATE_REQUESTS
        before = len(fleet.poison_arrivals())
        await send_mixed(fleet, 4, first=100)
        assert len(fleet.poison_arrivals()) == before


async def test_sound_requests_that_share_the_other_parts_are_served():
    async with crashing_fleet(down_seconds=4.5, **ROUTE) as fleet:
        await send_mixed(fleet, 20)
        fleet.statuses.clear()
        for number in range(40):
            await fleet.send(make_sound(number), number % len(fleet.caller_addresses))
        answered = fleet.statuses.count(200)
        assert answered >= MIN_SHARE_ANSWERED * 40


async def test_gateway_that_starts_later_learns_of_a_crashing_part():
    async with crashing_fleet(gateways=2, down_seconds=0.5, **ROUTE) as fleet:
        await send_mixed(fleet, 15)
        # Long enough for gateways to stop repeating their own findings.
        await anyio.sleep(6.0)
        before = len(fleet.poison_arrivals())
        await fleet.add_gateway()
        await anyio.sleep(2.0)
        fleet.caller_addresses = fleet.caller_addresses[-1:]
        await send_mixed(fleet, 4, first=100)
        assert len(fleet.poison_arrivals()) == before


async def test_requests_with_a_refused_part_are_withdrawn_from_targets():
    """Requests that targets had not begun yet crashed these after the verdict, too."""
    async with crashing_fleet(down_seconds=30.0, **ROUTE) as fleet:
        fleet.poison_seconds = 1.5
        for number in range(60):
            await fleet.send(make_sound(number), number % 4)
        await send_mixed(fleet, 12, first=20)
        await anyio.sleep(2.0)
        # Three crashes and the time to judge them; without withdrawals, those of
        # ``poison_seconds`` more.
        assert fleet.crashes <= 6
