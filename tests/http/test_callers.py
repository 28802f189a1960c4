"""Answers that break off on their way through an entry."""

from types import SimpleNamespace

import pytest

from banyanshore.http.callers import CallersApi
from banyanshore.routing.calls import CallResult, ResultKind
from banyanshore.routing.messages import FailureReason, Started
from tests.http.raw import read_all, running_web_server

pytestmark = pytest.mark.anyio

EVENTS = b"data: a\n\n"
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"


class BreakingProxy:
    """Begin each answer with an event, and break it off."""

    async def handle(self, call, sink):
        headers = ((b"content-type", b"text/event-stream"),)
        await sink.start(Started(200, headers, "m", "1", "i"))
        await sink.write(EVENTS)
        return CallResult(ResultKind.UNKNOWN, FailureReason.TARGET_CRASHED)


def make_api():
    settings = SimpleNamespace(routing=None)
    metric = SimpleNamespace(
        labels=lambda *names: SimpleNamespace(observe=lambda value: None, inc=int)
    )
    metrics = SimpleNamespace(first_byte=metric, requests=metric)
    return CallersApi(
        settings, None, BreakingProxy(), None, metrics, lambda: False, lambda: 1
    )


async def test_stream_that_broke_off_is_not_framed_as_complete():
    """The error event was followed by the last chunk, as a complete stream is."""
    api = make_api()
    call = SimpleNamespace(service="s")

    async def handle(request):
        await api._run_repeatable(request, call, ())

    async with running_web_server(handle) as stream:
        await stream.send(REQUEST)
        answer = await read_all(stream)
    assert EVENTS in answer
    assert b'data: {"error"' in answer
    assert not answer.endswith(b"0\r\n\r\n")
