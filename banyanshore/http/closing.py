"""Close anyio connections without losing what was sent on them."""

import anyio

from banyanshore.core.sockets import count_unacknowledged_bytes, find_socket
from banyanshore.http.lingering import CHECK_SECONDS, Linger
from banyanshore.http.wire import PeerClosedError, receive_bytes


async def linger(stream, clock, is_stopping):
    """Send the end of the stream, and wait until the peer has closed the connection.

    What the peer still sends is discarded.

    :param clock: callable that returns monotonic seconds.
    :param is_stopping: callable that returns whether the process stops.
    :return: the number of bytes that were discarded.
    """
    discarded = 0
    raw = find_socket(stream)
    await stream.send_eof()
    waiting = Linger(clock())
    while not waiting.is_over(clock(), count_unacknowledged_bytes(raw), is_stopping()):
        with anyio.move_on_after(CHECK_SECONDS):
            try:
                data = await receive_bytes(stream)
            except PeerClosedError:
                break
            if not data:
                if not count_unacknowledged_bytes(raw):
                    break
                # The peer may still read.
                await anyio.sleep(CHECK_SECONDS)
            discarded += len(data)
    return discarded
