"""Passing an answer on to its caller, and reading it ahead of a caller that is slow.

Load pattern: callers read slowly, or stop for a while, and targets cut off an answer
that stays unread for some seconds. What was read and not passed on is held within the
memory for answers. Without room, an answer is read as fast as its caller reads.
"""

import logging
import time
from collections import deque

import anyio

from banyanshore.core.groups import open_task_group
from banyanshore.http.wire import READ_SIZE_BYTES

logger = logging.getLogger(__name__)

# Bytes that are passed on at a time, if they are held in pieces.
BLOCK_BYTES = 64 * 1024


class ReadAhead:
    """Pass on the pieces of one answer.

    They are read and passed on in turn until the caller has to be waited for; from then
    on they are read meanwhile.

    :param answer: the :class:`~banyanshore.http.upstream.UpstreamAnswer`.
    :param share: its :class:`~banyanshore.routing.answer_memory.AnswerShare`.
    :param exchange: the caller's :class:`~banyanshore.http.exchange.Exchange`.
    :param held: pieces that are held already, and counted in ``share``.
    :param is_read: whether these are all.
    :ivar on_read: called once the last piece was read, while the caller is waited for.
    """

    def __init__(self, answer, share, exchange, held=(), is_read=False):
        self.on_read = lambda: None
        self._answer = answer
        self._share = share
        self._exchange = exchange
        self._held = deque(held)
        # Set when a piece was read, or the last one.
        self._news = anyio.Event()
        # Set when there may be room for more.
        self._room = anyio.Event()
        self._has_reader = False
        self._has_caught_up = False
        self._is_read = is_read
        self._most_held_bytes = 0
        self._held_up_seconds = 0.0
        self._error = None

    async def relay(self, pieces, send):
        """Pass on what is held, and then the pieces as they arrive, to the end.

        :param pieces: asynchronous iterator over pairs of bytes and a mark.
        :param send: coroutine function that passes on bytes. It gets the last mark of
            their pieces that isn't ``None``.
        :raises BrokenAnswerError: raised by ``pieces``, after what was read before was
            passed on.
        """
        async with open_task_group() as tasks:

            def start_reader():
                if not (self._has_reader or self._is_read):
                    self._has_reader = True
                    tasks.start_soon(self._read, pieces)

            self._exchange.on_blocked = start_reader
            try:
                if self._is_read:
                    self.on_read()
                elif self._held:
                    start_reader()
                while not (self._has_reader or self._is_read):
                    try:
                        piece = await anext(pieces)
                    except StopAsyncIteration:
                        return
                    await send(*piece)
                await self._send_rest(send)
            finally:
                self._exchange.on_blocked = None
                if self._has_reader:
                    self._log()

    async def _read(self, pieces):
        """Read the pieces that follow, as far as there is room for them."""
        try:
            while True:
                await self._wait_for_room()
                piece = await anext(pieces)
                self._share.hold(len(piece[0]))
                self._most_held_bytes = max(
                    self._most_held_bytes, self._share.held_bytes
                )
                self._held.append(piece)
                self._has_caught_up = False
                self._news.set()
        except StopAsyncIteration:
            self._is_read = True
            self.on_read()
        except Exception as error:
            self._error = error
        self._news.set()

    async def _wait_for_room(self):
        began_at = None
        self._share.wake = self._tell_room
        while not self._has_caught_up and not self._share.has_room(READ_SIZE_BYTES):
            began_at = began_at or time.monotonic()
            self._room = anyio.Event()
            self._share.start_waiting(READ_SIZE_BYTES)
            await self._room.wait()
        if began_at is not None:
            self._held_up_seconds += time.monotonic() - began_at
            # The target could not send meanwhile.
            self._answer.record_progress()

    def _tell_room(self):
        self._room.set()

    async def _send_rest(self, send):
        while True:
            while self._held:
                data, mark = self._take_block()
                # It counts as a part of the caller's connection now.
                self._share.release(len(data))
                await send(data, mark)
            if self._error is not None:
                raise self._error
            if self._is_read:
                return
            self._news = anyio.Event()
            self._has_caught_up = True
            self._room.set()
            await self._news.wait()

    def _take_block(self):
        """Remove the next pieces, and return their bytes with their last mark."""
        parts, size, last_mark = [], 0, None
        while self._held and (not parts or size + len(self._held[0][0]) <= BLOCK_BYTES):
            data, mark = self._held.popleft()
            parts.append(data)
            size += len(data)
            last_mark = last_mark if mark is None else mark
        return b"".join(parts), last_mark

    def _log(self):
        logger.info(
            "answer read ahead of its caller",
            extra={
                "request_id": self._exchange.request_id,
                "most_held_bytes": self._most_held_bytes,
                "held_up_ms": round(self._held_up_seconds * 1000),
                "read_whole": self._is_read,
            },
        )
