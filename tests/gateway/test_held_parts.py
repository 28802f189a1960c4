"""Requests with a part of their prompts that is suspected of crashing targets."""

import time

import pytest

from banyanshore.routing.part_evidence import UnbegunLoss
from tests.gateway.deployment import (
    COMPLETE,
    Target,
    ask,
    running_gateway,
)
from tests.gateway.test_parts_that_end_targets import make_poison, make_sound

pytestmark = pytest.mark.anyio


def suspect(gateway, parts):
    """Have a gateway know of two crashes of targets with some parts."""
    detector = gateway.suspects.parts._detector
    now = time.monotonic()
    for number in range(60):
        detector.record_begun(now, now - 0.1, (b"%d" % number,))
    for number in range(2):
        loss = UnbegunLoss((f"t-{number}", 1), now - number, frozenset(parts))
        detector.record_crash(now, loss)
    detector.weigh(now)


async def test_gateway_sends_one_request_a_second_with_a_suspected_part():
    """All that came within a second were sent, each to another target."""
    target = Target(COMPLETE)
    async with running_gateway(target) as (gateway, address):
        screened = []
        is_held = gateway.suspects.parts.is_held
        gateway.suspects.parts.is_held = lambda parts: (
            screened.append(parts) or is_held(parts)
        )
        assert (await ask(address, make_poison(0)))[0] == 200
        suspect(gateway, set(screened[0]) - {screened[0][0]})
        assert (await ask(address, make_poison(1)))[0] == 200
        status, answer = await ask(address, make_poison(2))
        assert status == 503
        assert 0.0 < float(answer.split(b"retry-after: ")[1].split(b"\r\n")[0]) <= 2.0
        assert (await ask(address, make_sound(3)))[0] == 200
    assert len(target.requests) == 3
