"""Answers that aren't streams of events: held whole, or passed on as they arrive."""

from banyanshore.core.framing import Framing
from banyanshore.gateway.read_ahead import BLOCK_BYTES, ReadAhead
from banyanshore.http.upstream import BrokenAnswerError

# Largest body of an answer that isn't a stream of events, in bytes.
MAX_BODY_BYTES = 8 * 1024 * 1024


class HeldAnswer:
    """The body of an answer, held until it is complete or there is no room for it.

    As long as nothing was passed on, a request whose answer breaks off can be answered
    by another target.

    :param answer: the :class:`~banyanshore.http.upstream.UpstreamAnswer`.
    :param memory: the :class:`~banyanshore.routing.answer_memory.AnswerMemory`.
    :param target: id of the target.
    :ivar is_complete: whether the whole body is held.
    """

    def __init__(self, answer, memory, target):
        self.is_complete = False
        self._answer = answer
        self._share = memory.open(target)
        self._target = target
        self._pieces = answer.iter_body(MAX_BODY_BYTES)
        self._held = []

    @property
    def body(self):
        """Return what is held of the body."""
        return b"".join(self._held)

    async def hold(self):
        """Receive the body until it is complete or there is no room for more.

        :raises BrokenAnswerError: the answer broke off, or is too long.
        """
        async for piece in self._pieces:
            self._held.append(piece)
            if not self._share.try_hold(len(piece)):
                # It is passed on next, with what is held.
                self._share.hold(len(piece))
                return
        self.is_complete = True

    async def relay(self, exchange, headers, on_read):
        """Pass on what is held, and then the rest as it arrives.

        :param on_read: called once the last piece was read, while a slow caller is
            waited for.
        :raises BrokenAnswerError: the answer broke off, or is too long.
        """
        status = self._answer.status
        if self.is_complete or self._answer.framing is not Framing.LENGTH:
            headers = [pair for pair in headers if pair[0] != b"content-length"]
        if self.is_complete:
            size = sum(map(len, self._held))
            if size <= BLOCK_BYTES:
                body = self.body
                self.release()
                on_read()
                await exchange.respond(status, headers, body)
                return
            headers = [(b"content-length", b"%d" % size), *headers]
        await exchange.start(status, headers)
        reading = ReadAhead(
            self._answer,
            self._share,
            exchange,
            ((piece, None) for piece in self._held),
            self.is_complete,
        )
        reading.on_read = on_read
        # The pieces are dropped one after the other as they are passed on.
        self._held = []

        async def send(data, mark):
            await exchange.send(data)

        await reading.relay(self._iter_rest(), send)
        await exchange.finish()

    async def _iter_rest(self):
        async for piece in self._pieces:
            yield piece, None

    def release(self):
        """Release the memory of what is held."""
        self._held = []
        self._share.close()

    def require_complete(self):
        """Check that the whole body is held.

        :raises BrokenAnswerError: there was no room for it.
        """
        if not self.is_complete:
            raise BrokenAnswerError(
                "no room for the body of a failure", step="hold", peer=self._target
            )
