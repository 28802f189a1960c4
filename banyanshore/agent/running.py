"""Track one request that runs on the target, and keep the replies to it."""

from dataclasses import field

import anyio

from banyanshore.core.values import dataclass
from banyanshore.routing.messages import Data

# Bytes of unsent replies above which reading from the target pauses, and bytes of
# replies above which sent ones aren't kept for a reader that reconnects.
MAX_UNSENT_BYTES = 4 * 1024 * 1024
MAX_KEPT_BYTES = 8 * 1024 * 1024


@dataclass
class RunningRequest:
    """A request and the replies to it.

    :param dispatch: the :class:`~banyanshore.routing.messages.Dispatch`.
    :param replies: all replies so far, kept so that a reader can reconnect; ``None``
        for those of a large answer that were sent and dropped.
    :param readers: number of connections that read the replies now.
    :param sent: number of replies that have been sent to any reader.
    :param unread_since: monotonic time at which the last reader left.
    :param reply_added: set when a reply is added.
    """

    dispatch: object
    started_at: float
    replies: list = field(default_factory=list)
    readers: int = 0
    sent: int = 0
    unread_since: float = 0.0
    ended_at: float | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    reply_added: anyio.Event = field(default_factory=anyio.Event)
    abandoned: bool = False
    _reader_progressed: anyio.Event = field(default_factory=anyio.Event)
    _unsent_bytes: int = 0
    _kept_bytes: int = 0
    _dropped: int = 0

    @property
    def is_ended(self):
        """Return whether the last reply has been added."""
        return self.ended_at is not None

    def add(self, reply):
        """Add a reply and wake the readers."""
        self.replies.append(reply)
        self._unsent_bytes += _size(reply)
        self._kept_bytes += _size(reply)
        reply_added, self.reply_added = self.reply_added, anyio.Event()
        reply_added.set()

    def record_sent(self, position):
        """Record that the replies before a position have been sent to a reader."""
        while self.sent < position:
            self._unsent_bytes -= _size(self.replies[self.sent])
            self.sent += 1
        while self._kept_bytes > MAX_KEPT_BYTES and self._dropped < self.sent:
            self._drop(self._dropped)
            self._dropped += 1
        self._wake_target_reader()

    def begin_reading(self):
        """Register a reader."""
        self.readers += 1

    def end_reading(self, now):
        """Unregister a reader."""
        self.readers -= 1
        self.unread_since = now
        self._wake_target_reader()

    async def wait_for_reader(self):
        """Wait while there are readers and all of them lag far behind the target."""
        while self.readers and self._unsent_bytes > MAX_UNSENT_BYTES:
            await self._reader_progressed.wait()

    def _drop(self, position):
        reply = self.replies[position]
        if isinstance(reply, Data):
            self._kept_bytes -= _size(reply)
            self.replies[position] = None

    def _wake_target_reader(self):
        progressed, self._reader_progressed = self._reader_progressed, anyio.Event()
        progressed.set()


def _size(reply):
    return len(reply.body) if isinstance(reply, Data) else 0
