"""Tell a wrong list of digests from wrong chunks, without I/O.

Load pattern: the origin answers every member with the list and some with the chunks,
and any answer may be corrupted on its way. A member that keeps a wrong list never
completes the version. One that asks for another list after each corrupt chunk keeps the
origin busy with lists.
"""

from collections import Counter, deque

# Arrivals of a chunk with the same digest after which the lists are in doubt: two
# corrupted answers hardly have the same bytes.
REPEATED_ARRIVALS = 2
# Lists that are compared with arriving chunks.
MAX_LISTS = 4
# Digests that are remembered for each chunk that no list names.
MAX_UNNAMED_DIGESTS = 4
# Seconds before the next list is requested while the lists are in doubt, doubled with
# each one, and their limit.
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 16.0


class NamedDigests:
    """The digests that lists name for each chunk, and doubts about them.

    A chunk is valid if a list names its digest for it: a corrupted list doesn't name
    the digest of any other data. A chunk that arrives repeatedly with a digest that no
    list names brings the lists into doubt.

    :param digests: the first list, digests in hexadecimal.
    """

    def __init__(self, digests):
        self._lists = deque([digests], MAX_LISTS)
        # Arrivals by digest, by index of the chunk.
        self._unnamed_by_index = {}

    def add_list(self, digests):
        """Add another list; return whether it differs from those known."""
        if digests in self._lists or len(digests) != len(self._lists[0]):
            return False
        self._lists.append(digests)
        return True

    def has(self, digests):
        """Return whether a list is known."""
        return digests in self._lists

    def names(self, index, digest):
        """Return whether a list names a digest for a chunk."""
        if not 0 <= index < len(self._lists[0]):
            return False
        return any(digests[index] == digest for digests in self._lists)

    def record_unnamed(self, index, digest):
        """Record a chunk that arrived with a digest that no list names."""
        counts = self._unnamed_by_index.setdefault(index, Counter())
        if digest not in counts and len(counts) >= MAX_UNNAMED_DIGESTS:
            # The oldest one goes, so that corrupted chunks don't hide the right one.
            del counts[next(iter(counts))]
        counts[digest] += 1

    def record_valid(self, index):
        """Record that a chunk has arrived with a digest that a list names."""
        self._unnamed_by_index.pop(index, None)

    @property
    def are_in_doubt(self):
        """Return whether another list is needed."""
        return any(
            count >= REPEATED_ARRIVALS and not self.names(index, digest)
            for index, counts in self._unnamed_by_index.items()
            for digest, count in counts.items()
        )


def list_retry_seconds(requests):
    """Return the pause before another list is requested.

    :param requests: further lists requested before.

    >>> [list_retry_seconds(requests) for requests in (0, 1, 2, 50)]
    [0.5, 1.0, 2.0, 16.0]
    """
    # The exponent is bounded, since large powers don't fit a float.
    return min(MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2 ** min(requests, 10))
