"""State of an instance to which a relay pushes chunks."""

import anyio

from banyanshore.weights.exchange import WHOLE_SHARE, next_chunk
from banyanshore.weights.relay_fetches import PushTimes


class Child:
    """State of an instance to which chunks are pushed.

    :param name: name of the instance.
    :param is_local: whether it is in the same data centre.
    :ivar share: share of the chunks that is pushed to it at once, see
        :func:`~banyanshore.weights.exchange.share_chunks`.
    :ivar scope: cancel scope of the pushes.
    :ivar have: chunks that it has, as bits.
    :ivar in_flight: chunks that are being pushed to it, as bits.
    """

    def __init__(self, name, is_local):
        self.name = name
        self.is_local = is_local
        self.share = WHOLE_SHARE
        self.scope = anyio.CancelScope()
        self.push_times = PushTimes(is_local)
        self.have = 0
        self.in_flight = 0

    def next_chunk(self, have, chunk_count, settled):
        """Return the chunk to push to it next, as a bit, 0 if there is none now.

        :param have: chunks that are here, as bits.
        :param settled: those that have been here for a while.
        """
        missing = have & ~self.have & ~self.in_flight
        return next_chunk(missing, self.share, chunk_count, settled)
