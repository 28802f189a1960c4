"""How long a connection stays open after its last answer was written.

Load pattern: callers that read slowly, and that send further requests without waiting.
Closing a connection while bytes of its caller are unread or still arrive resets it, and
the caller loses what it had not received yet (RFC 9112, 9.6).
"""

import asyncio

from banyanshore.http.wire import TCP_USER_TIMEOUT_MS

# Seconds between checks of what the caller's system has acknowledged.
CHECK_SECONDS = 0.05
# Seconds for which a caller that has received everything may close first.
DELIVERED_SECONDS = 2.0
# Seconds without any acknowledgement after which the caller counts as lost.
STALLED_SECONDS = TCP_USER_TIMEOUT_MS / 1000
# The same while the process isn't stopping: a caller that reads slowly may still pause,
# and the process may ask it to stop earlier. What the system would keep of a closed
# connection counts nowhere.
UNREAD_SECONDS = 30.0
# Bytes that a web server takes at a time of what a caller sends; its layers hold some
# of these pieces for each connection.
PIECE_BYTES = 16 * 1024


class Linger:
    """Decide when to close a connection to which nothing more is written.

    >>> linger = Linger(now=10.0)
    >>> linger.is_over(10.0, 5000), linger.is_over(12.0, 4000), linger.is_over(14.0, 0)
    (False, False, False)
    >>> linger.is_over(15.9, 0), linger.is_over(16.0, 0)
    (False, True)
    """

    def __init__(self, now):
        self._unacknowledged = None
        self._changed_at = now

    def is_over(self, now, unacknowledged, is_stopping=True):
        """Return whether to close the connection.

        :param now: monotonic time.
        :param unacknowledged: bytes that the caller's system has not acknowledged,
            ``None`` if that isn't known.
        :param is_stopping: whether the process stops.
        """
        if unacknowledged != self._unacknowledged:
            self._unacknowledged = unacknowledged
            self._changed_at = now
        unread_seconds = STALLED_SECONDS if is_stopping else UNREAD_SECONDS
        seconds = unread_seconds if unacknowledged else DELIVERED_SECONDS
        return now - self._changed_at >= seconds


class DiscardingReader(asyncio.StreamReader):
    """Read from a connection until what arrives isn't wanted any more.

    :ivar ended: event that is set once the caller has closed the connection.
    :ivar discarded_bytes: bytes that arrived after :meth:`discard`.
    :ivar on_read: called with the number of bytes of each piece that is read.
    """

    def __init__(self):
        super().__init__(limit=PIECE_BYTES)
        self.on_read = lambda count: None
        self.ended = asyncio.Event()
        self.discarded_bytes = 0
        self._is_discarding = False

    async def read(self, n=-1):
        """Return the next bytes, at most :data:`PIECE_BYTES`."""
        data = await super().read(min(n, PIECE_BYTES) if n > 0 else PIECE_BYTES)
        self.on_read(len(data))
        return data

    def count_unread_bytes(self):
        """Return the bytes that were received and not read yet."""
        return len(self._buffer)

    def discard(self):
        """Discard all that arrives from now on."""
        self._is_discarding = True

    def feed_data(self, data):
        """Take bytes from the transport."""
        if self._is_discarding:
            self.discarded_bytes += len(data)
        else:
            super().feed_data(data)

    def feed_eof(self):
        """Take the end of the caller's bytes from the transport."""
        super().feed_eof()
        self.ended.set()

    def set_exception(self, error):
        """Take the error that ended the connection from the transport."""
        super().set_exception(error)
        self.ended.set()
