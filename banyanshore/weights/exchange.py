"""Decide which chunks the first relays of regions push to each other, without I/O.

Load pattern: a version goes to all regions over links that carry other traffic too, as
much as they can hold at times. Each region got its copy over its link from the origin's
region alone: the targets behind a link that carried half as much had their weights
seconds after all others, while the links between the other regions were idle.

So the root pushes a different share of the chunks to the first relay of each region at
once, and these push their shares to each other. A chunk that a relay still lacks after
a while is pushed by whoever has it, so that a link that is slow, or a relay that is
away, holds up nothing; these go in the reverse order, and the sender of the share
meets the others late.
"""

from functools import lru_cache

# Seconds after which a chunk is pushed to a relay that should have received it from
# another one: it crosses two links between regions, with others before it.
HELP_SECONDS = 0.5
# The share of a sender that pushes all chunks.
WHOLE_SHARE = (0, 1)


@lru_cache(maxsize=256)
def share_chunks(share, chunk_count):
    """Return the chunks of a share, as bits.

    :param share: its position, and the number of shares.

    >>> bin(share_chunks((1, 2), 6))
    '0b101010'
    """
    position, count = share
    return sum(1 << index for index in range(position, chunk_count, count))


def next_chunk(missing, share, chunk_count, settled):
    """Return the chunk to push next to a relay, as a bit, 0 if there is none yet.

    :param missing: chunks that are here and that the relay lacks, as bits.
    :param share: the share that is pushed to it from here, see :func:`share_chunks`.
    :param settled: chunks that have been here for :data:`HELP_SECONDS`, as bits.

    >>> next_chunk(0b1110, (1, 2), 4, 0b1110), next_chunk(0b0100, (1, 2), 4, 0b0101)
    (2, 4)
    >>> next_chunk(0b0101, (1, 2), 4, 0b0101), next_chunk(0b0101, (1, 2), 4, 0)
    (4, 0)
    """
    own = missing & share_chunks(share, chunk_count)
    if own:
        return own & -own
    late = missing & settled
    return 1 << late.bit_length() - 1 if late else 0


class SettledChunks:
    """The chunks that have been here for :data:`HELP_SECONDS`.

    :param have: chunks that are here from the beginning, as bits.
    """

    def __init__(self, have=0):
        self._settled = have
        # Times of the others, and the chunks as bits, in the order of arrival.
        self._recent = []

    def record(self, now, index):
        """Record a chunk that has arrived."""
        self._recent.append((now, 1 << index))

    def at(self, now):
        """Return the chunks as bits."""
        settled = 0
        for arrived_at, chunk in self._recent:
            if now - arrived_at < HELP_SECONDS:
                break
            self._settled |= chunk
            settled += 1
        del self._recent[:settled]
        return self._settled
