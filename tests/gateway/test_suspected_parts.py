"""The exchange of evidence on parts of prompts, by one gateway alone."""

from types import SimpleNamespace

import pytest

from banyanshore.gateway import suspected_parts
from banyanshore.gateway.suspected_parts import SuspectedParts
from banyanshore.telemetry.gateway import GatewayMetrics

pytestmark = pytest.mark.anyio

TARGET = ("10.0.0.1:80", 1)


def make_parts(monkeypatch, sent):
    """Return parts whose clock is the first entry of the returned list."""
    clock = [100.0]
    monkeypatch.setattr(suspected_parts.time, "monotonic", lambda: clock[0])
    member = SimpleNamespace(instance="edge-1", incarnation=1)
    parts = SuspectedParts(member, GatewayMetrics())

    async def send(update):
        sent.append(update)

    parts.send = send
    return parts, clock


def make_offer(*digests):
    return SimpleNamespace(target_id=TARGET, parts=digests, has_begun=False)


async def test_lost_requests_of_a_target_that_never_exits_are_forgotten(monkeypatch):
    """Those of a target that kept losing requests were kept for good."""
    sent = []
    parts, clock = make_parts(monkeypatch, sent)
    for number in range(100):
        parts.record_lost(make_offer(b"%d" % number))
        await parts.tick()
        clock[0] += 1.0
    await parts.record_exit(TARGET)
    (notice,) = sent
    assert b"99" in notice.parts
    assert len(notice.parts) <= 12


async def test_crash_without_suspected_parts_is_not_sent(monkeypatch):
    sent = []
    parts, _ = make_parts(monkeypatch, sent)
    parts.record_lost(make_offer())
    await parts.record_exit(TARGET)
    assert not sent
