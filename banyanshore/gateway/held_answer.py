"""Answers that aren't streams of events: held whole, or passed on as they arrive."""

from banyanshore.core.framing import Framing
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
        self._memory = memory
        self._target = target
        self._pieces = answer.iter_body(MAX_BODY_BYTES)
        self._held = []
        self._held_bytes = 0
        # The piece that there was no room for.
        self._rest = b""

    @property
    def body(self):
        """Return what is held of the body."""
        return b"".join(self._held)

    async def hold(self):
        """Receive the body until it is complete or there is no room for more.

        :raises BrokenAnswerError: the answer broke off, or is too long.
        """
        async for piece in self._pieces:
            if not self._memory.try_hold(self._target, len(piece)):
                self._rest = piece
                return
            self._held.append(piece)
            self._held_bytes += len(piece)
        self.is_complete = True

    async def relay(self, exchange, headers):
        """Pass on what is held, and then the rest as it arrives.

        :raises BrokenAnswerError: the answer broke off, or is too long.
        """
        if self._answer.framing is not Framing.LENGTH:
            headers = [pair for pair in headers if pair[0] != b"content-length"]
        await exchange.start(self._answer.status, headers)
        for piece in self._held:
            await exchange.send(piece)
        self.release()
        await exchange.send(self._rest)
        self._rest = b""
        async for piece in self._pieces:
            await exchange.send(piece)
        await exchange.finish()

    def release(self):
        """Release the memory of what is held."""
        self._held = []
        held_bytes, self._held_bytes = self._held_bytes, 0
        self._memory.release(self._target, held_bytes)

    def require_complete(self):
        """Check that the whole body is held.

        :raises BrokenAnswerError: there was no room for it.
        """
        if not self.is_complete:
            raise BrokenAnswerError(
                "no room for the body of a failure", step="hold", peer=self._target
            )
