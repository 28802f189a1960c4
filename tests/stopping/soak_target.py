"""Targets of a soak, whose answers derive from the ids of their requests."""

import re
import time
import zlib
from collections import defaultdict
from dataclasses import dataclass

import anyio

from banyanshore.state.routes import RouteKind

_REQUEST_ID = re.compile(rb"request-id: (\S+)\r\n")
# Largest event of a streaming answer, in bytes.
EVENT_BYTES = 30_000
_REFUSAL = b"HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"


@dataclass
class Work:
    """The work of a target on a request that it has read.

    :ivar ended_at: monotonic time at which it had sent its answer or its connection
        had ended, ``None`` while it works.
    """

    target: int
    began_at: float
    ended_at: float | None = None
    refused: bool = False
    broke_off: bool = False

    def was_under_way(self, start, end):
        """Return whether it was under way at some time between two times."""
        return self.began_at <= end and (self.ended_at is None or self.ended_at > start)


def make_pieces(request_id, size, is_streaming):
    """Return the pieces of the body of an answer.

    >>> b"".join(make_pieces("s1-2", 6, False))
    b's1-2 s'
    >>> make_pieces("s1-2", 2, True)
    [b'id: 1\\ndata: s1\\n\\n']
    """
    pattern = f"{request_id} ".encode()
    text = (pattern * (size // len(pattern) + 1))[:size]
    if not is_streaming:
        return [text]
    parts = [text[at : at + EVENT_BYTES] for at in range(0, size, EVENT_BYTES)]
    return [
        b"id: %d\ndata: %s\n\n" % (number, part) for number, part in enumerate(parts, 1)
    ]


class SoakTarget:
    """A target that works for some time, and records the requests that it has read.

    :param number: position of the target.
    :ivar works_by_id: lists of its :class:`Work` by request id.
    """

    def __init__(self, plan, number):
        self._plan = plan
        self._number = number
        self._is_streaming = plan.kind is RouteKind.STREAMING
        self.works_by_id = defaultdict(list)

    async def act(self, stream):
        """Answer one request."""
        head = b""
        try:
            while b"\r\n\r\n" not in head:
                head += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
        request_id = _REQUEST_ID.search(head)[1].decode()
        work = Work(self._number, time.monotonic())
        self.works_by_id[request_id].append(work)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_watch_for_disconnect, stream, tasks.cancel_scope)
                await self._answer(stream, request_id, work)
                work.ended_at = time.monotonic()
                if work.broke_off:
                    tasks.cancel_scope.cancel()
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The gateway has closed the connection.
            pass
        finally:
            work.ended_at = work.ended_at or time.monotonic()

    async def _answer(self, stream, request_id, work):
        share = zlib.crc32(request_id.encode()) % 100
        if share < self._plan.refused_percent:
            work.refused = True
            await stream.send(_REFUSAL)
            return
        pieces = make_pieces(request_id, self._plan.answer_bytes, self._is_streaming)
        seconds = self._plan.work_seconds[self._number] / len(pieces)
        head = self._make_head(request_id, pieces)
        broken_share = self._plan.refused_percent + self._plan.broken_percent
        if share < broken_share:
            await anyio.sleep(seconds)
            work.broke_off = True
            await stream.send(head + pieces[0][: len(pieces[0]) // 2])
            return
        for piece in pieces:
            await anyio.sleep(seconds)
            await stream.send(head + piece)
            head = b""

    def _make_head(self, request_id, pieces):
        kind = "text/event-stream" if self._is_streaming else "text/plain"
        lines = [
            "HTTP/1.1 200 OK",
            "replica-signature: s",
            f"request-id: {request_id}",
            f"content-type: {kind}",
            f"content-length: {sum(map(len, pieces))}",
            "",
            "",
        ]
        return "\r\n".join(lines).encode()


async def _watch_for_disconnect(stream, scope):
    try:
        while True:
            await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        scope.cancel()
