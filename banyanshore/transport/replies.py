"""Send and receive the replies to a call, in order and with flow control.

A sender is at most one window ahead of the reader, so that a slow reader uses little
memory on either side and doesn't block other calls on the connection.
"""

import anyio

from banyanshore.core.exceptions import BanyanshoreError, UnavailableError
from banyanshore.transport.frames import Ack, Failure, Reply

# Replies to one call that may be unacknowledged, and the number of replies after which
# the reader acknowledges them.
WINDOW_REPLIES = 128
ACK_INTERVAL = 32
# Queued replies at which the call is aborted; a sender that respects the window never
# reaches this limit.
MAX_QUEUED_REPLIES = 4 * WINDOW_REPLIES


class ConnectionLostError(UnavailableError):
    """Signal that a connection ended before the reply was complete."""


class CallFailedError(BanyanshoreError):
    """Signal that the peer failed while it handled a call."""


class Responder:
    """Send the replies to one call, numbered in order."""

    def __init__(self, connection, call_id):
        self._connection = connection
        self._call_id = call_id
        self._sequence = 0
        self._acknowledged = 0
        self._window_opened = anyio.Event()

    def record_ack(self, sequence):
        """Record that the reader has consumed the replies before a sequence number."""
        self._acknowledged = max(self._acknowledged, sequence)
        opened, self._window_opened = self._window_opened, anyio.Event()
        opened.set()

    async def send(self, body):
        """Send a reply that isn't the last one; wait while the window is full."""
        while self._sequence - self._acknowledged >= WINDOW_REPLIES:
            await self._window_opened.wait()
        # The first replies are sent without delay, since the caller waits for them.
        await self._send(body, final=False, may_wait=self._sequence > 1)

    async def finish(self, body):
        """Send the last reply."""
        await self._send(body, final=True)

    async def _send(self, body, final, may_wait=False):
        reply = Reply(self._call_id, self._sequence, body, final)
        self._sequence += 1
        await self._connection.send_frame(reply, may_wait)


class ReplyStream:
    """Iterate over the replies to one call in the order in which they were sent."""

    def __init__(self, connection, call_id):
        self._connection = connection
        self._next_sequence = 0
        self._consumed = 0
        self._sender, self._receiver = anyio.create_memory_object_stream(
            MAX_QUEUED_REPLIES
        )
        self.call_id = call_id
        self.finished = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.finished:
            raise StopAsyncIteration
        try:
            reply = await self._receiver.receive()
        except anyio.EndOfStream:
            raise ConnectionLostError(
                "the connection ended before the reply was complete",
                step="receive-reply",
                peer=self._connection.peer,
            ) from None
        self.finished = reply.final
        self._consumed += 1
        if self._consumed % ACK_INTERVAL == 0 and not reply.final:
            await self._connection.send_frame(Ack(self.call_id, self._consumed))
        if isinstance(reply.body, Failure):
            raise CallFailedError(
                reply.body.reason, step="call", peer=self._connection.peer
            )
        return reply.body

    def deliver(self, reply):
        """Queue a reply; drop a duplicate, and abort the stream on a gap.

        :return: whether further replies are expected.
        """
        if reply.sequence < self._next_sequence:
            return True
        if reply.sequence > self._next_sequence:
            self.abort()
            return False
        self._next_sequence += 1
        try:
            self._sender.send_nowait(reply)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self.abort()
            return False
        return not reply.final

    def abort(self):
        """End the stream; the reader gets an error after the queued replies."""
        self._sender.close()

    async def aclose(self):
        """Abandon the call, and cancel it at the peer unless it has finished."""
        await self._connection.forget_call(self.call_id, cancel=not self.finished)
        self._sender.close()
        self._receiver.close()
