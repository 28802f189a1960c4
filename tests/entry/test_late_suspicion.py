"""A request that becomes suspected while its entry waits for a connection."""

import time
from collections import Counter
from types import SimpleNamespace

import anyio
import pytest

from banyanshore.membership.messages import SuspectUpdate
from banyanshore.routing.calls import Call
from banyanshore.routing.messages import Finished, RefusalReason
from tests.entry.test_proxy_wait import make_proxy

pytestmark = pytest.mark.anyio


class SlowLink:
    """A link that opens after a while, during which something happens."""

    def __init__(self, on_wait):
        self.sent = []
        self._on_wait = on_wait

    async def get_connection(self, timeout):
        await anyio.lowlevel.checkpoint()
        self._on_wait()
        return self

    async def open_call(self, message):
        self.sent.append(message)
        return self._replies()

    async def _replies(self):
        yield Finished()


def crash(quarantine, crash_id, seconds_ago=0.0):
    update = SuspectUpdate(b"f", (crash_id,), False, seconds_ago)
    # Another request ran at each of its crashes, too.
    beside = SuspectUpdate(b"g", (crash_id,), False, seconds_ago)
    for item in (update, beside):
        quarantine.record_update(time.monotonic(), item)


async def offer(on_wait, exclusive=False):
    """Offer a request; return the reply and what was sent."""
    proxy = make_proxy()
    if exclusive:
        crash(proxy._quarantine, "earlier", 5.0)
    link = SlowLink(lambda: on_wait(proxy._quarantine))
    proxy._selector = SimpleNamespace(
        own_in_flight=Counter(), record_end=lambda instance: None
    )
    proxy._links = SimpleNamespace(get=lambda address, peer: link)
    call = Call(
        "q",
        "acme",
        "s",
        "POST",
        "/",
        (),
        b"",
        time.monotonic() + 5.0,
        1,
        True,
        b"f",
        "",
    )
    destination = SimpleNamespace(
        address="a:1", instance="s-0", incarnation=1, data_centre=""
    )
    progress = SimpleNamespace(attempts=0)
    answer = SimpleNamespace(forwarding_started=False, on_reply=None)
    reply = await proxy._offer(call, destination, exclusive, answer, progress)
    return reply, link.sent


async def test_request_that_is_suspected_meanwhile_is_not_sent_beside_others():
    """It crashed another target, as if the news of the crash had not come."""
    reply, sent = await offer(lambda quarantine: crash(quarantine, "c"))
    assert reply.reason == RefusalReason.QUARANTINED
    assert not sent


async def test_suspect_waits_again_for_the_news_of_a_further_crash():
    reply, sent = await offer(lambda quarantine: crash(quarantine, "c"), exclusive=True)
    assert reply.reason == RefusalReason.QUARANTINED
    assert not sent


async def test_suspect_without_further_news_is_sent():
    reply, sent = await offer(lambda quarantine: None, exclusive=True)
    assert reply == Finished()
    assert len(sent) == 1


async def test_request_without_news_is_sent():
    reply, sent = await offer(lambda quarantine: None)
    assert reply == Finished()
    assert len(sent) == 1
