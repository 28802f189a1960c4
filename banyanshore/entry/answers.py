"""Buffer the answer to a call, forward it, or collect it."""

from banyanshore.routing.messages import Data, Started
from banyanshore.state import Answer

# Largest answer that is buffered, in bytes. The call can be offered again until any of
# its answer has been forwarded.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024


class BufferedAnswer:
    """Buffer an answer until it is complete or exceeds ``MAX_BUFFERED_BYTES``.

    :param sink: receives the answer through ``start(started)`` and ``write(data)``.
    :param streamed: whether to forward the answer without buffering it.
    """

    def __init__(self, sink, streamed):
        self._sink = sink
        self._buffer = None if streamed else []
        self._buffered_bytes = 0
        self.forwarding_started = False

    async def on_reply(self, reply):
        """Buffer or forward a reply other than the last one."""
        if self._buffer is None:
            await self._forward(reply)
            return
        self._buffer.append(reply)
        if isinstance(reply, Data):
            self._buffered_bytes += len(reply.body)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            await self.flush()

    async def flush(self):
        """Forward the buffered replies and stop buffering."""
        buffered, self._buffer = self._buffer, None
        for reply in buffered or ():
            await self._forward(reply)

    def reset(self):
        """Discard the buffered replies before another attempt."""
        if self._buffer is not None:
            self._buffer = []
            self._buffered_bytes = 0

    async def _forward(self, reply):
        if isinstance(reply, Started):
            # The status line is delayed until the first data, so that the call can
            # be offered to another target if this one breaks off at once.
            self._started = reply
        elif isinstance(reply, Data):
            await self._start()
            await self._sink.write(reply.body)

    async def _start(self):
        if not self.forwarding_started:
            self.forwarding_started = True
            await self._sink.start(self._started)

    async def finish(self):
        """Forward the rest of a complete answer."""
        if self._buffer is not None:
            await self.flush()
        await self._start()


class ResponderSink:
    """Forward an answer to the entry that forwarded the call."""

    def __init__(self, responder):
        self._responder = responder

    async def start(self, started):
        """Forward the status and headers."""
        await self._responder.send(started)

    async def write(self, data):
        """Forward the next bytes of the body."""
        await self._responder.send(Data(data))


class CollectingSink:
    """Collect a complete answer in memory."""

    def __init__(self):
        self._started = None
        self._body = bytearray()

    async def start(self, started):
        """Record the status and headers."""
        self._started = started

    async def write(self, data):
        """Append the next bytes of the body."""
        self._body += data

    @property
    def answer(self):
        """Return the :class:`~banyanshore.state.Answer`."""
        started = self._started
        return Answer(started.status, started.headers, bytes(self._body))
