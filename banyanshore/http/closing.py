"""Close connections without losing what was sent on them.

Load pattern: callers that read slowly, or send further requests before they have their
answer. Closing a connection with unread bytes resets it, and the peer may lose what it
has not read yet (RFC 9112, section 9.6).
"""

import anyio

from banyanshore.http.unfinished import count_unacknowledged_bytes
from banyanshore.http.wire import PeerClosedError, receive_bytes

# Seconds for which a peer that has everything, or that makes no progress, may keep a
# connection open after its last answer.
LINGER_SECONDS = 2.0
# Seconds between checks of the progress of a peer.
PROGRESS_INTERVAL = 0.1


class Lingering:
    """Decide how long a connection stays open after the end of its last answer.

    :param now: monotonic time at which the end of the answer was sent.
    :param unacknowledged: bytes that the peer's system has not acknowledged then,
        ``None`` if that isn't known.
    :ivar ends_at: monotonic time at which to close the connection.
    """

    def __init__(self, now, unacknowledged):
        self.ends_at = now + LINGER_SECONDS
        self._unacknowledged = unacknowledged

    def record(self, now, unacknowledged):
        """Record the bytes that the peer's system has not acknowledged.

        >>> lingering = Lingering(1.0, 100)
        >>> lingering.record(2.0, 100), lingering.ends_at
        (None, 3.0)
        >>> lingering.record(2.5, 60), lingering.ends_at
        (None, 4.5)
        """
        if unacknowledged is None or self._unacknowledged is None:
            return
        if unacknowledged < self._unacknowledged:
            self._unacknowledged = unacknowledged
            self.ends_at = now + LINGER_SECONDS


async def linger(stream, clock):
    """Send the end of the stream, and wait until the peer has closed the connection.

    What the peer still sends is discarded. Returns at the latest when the peer has made
    no progress for :data:`LINGER_SECONDS`.

    :param clock: callable that returns monotonic seconds.
    :return: the number of bytes that were discarded.
    """
    discarded = 0
    await stream.send_eof()
    lingering = Lingering(clock(), count_unacknowledged_bytes(stream))
    while (seconds := lingering.ends_at - clock()) > 0:
        with anyio.move_on_after(min(seconds, PROGRESS_INTERVAL)):
            try:
                data = await receive_bytes(stream)
            except PeerClosedError:
                break
            if not data:
                break
            discarded += len(data)
        lingering.record(clock(), count_unacknowledged_bytes(stream))
    return discarded
