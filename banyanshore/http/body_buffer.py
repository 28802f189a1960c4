"""Bytes of a body that arrives piece by piece.

Load pattern: many callers send large bodies at once, and most are refused halfway. A
buffer that grows in the heap is moved again and again, and leaves holes there that the
process keeps; blocks that come from the system go back to it at once.
"""

import mmap

# Bytes of a body that are kept in the heap, and of each further block.
HEAP_BYTES = 64 * 1024
BLOCK_BYTES = 256 * 1024


class BodyBuffer:
    """Collect a body.

    >>> body = BodyBuffer()
    >>> body.append(b"ab")
    >>> body.append(b"c")
    >>> len(body), body.take(), len(body)
    (3, b'abc', 0)
    """

    def __init__(self):
        self._in_heap = bytearray()
        self._blocks = []

    def __len__(self):
        """Return the number of bytes."""
        return len(self._in_heap) + sum(len(block) for block in self._blocks)

    @property
    def held_bytes(self):
        """Return the bytes that it takes."""
        return len(self)

    def append(self, data):
        """Add the next bytes."""
        rest = memoryview(data)
        room = HEAP_BYTES - len(self._in_heap)
        self._in_heap += rest[:room]
        rest = rest[room:]
        while rest:
            if not self._blocks or self._blocks[-1].is_full:
                self._blocks.append(_Block())
            rest = self._blocks[-1].fill(rest)

    def clear(self):
        """Release all bytes."""
        self._in_heap = bytearray()
        self._blocks = []

    def take(self):
        """Return all bytes, and release them here."""
        data = b"".join([self._in_heap, *(block.filled() for block in self._blocks)])
        self.clear()
        return data


class DiscardedBody:
    """A body of which only the number of bytes is kept.

    >>> body = DiscardedBody()
    >>> body.append(b"abc")
    >>> len(body), body.held_bytes
    (3, 0)
    """

    held_bytes = 0

    def __init__(self):
        self._length = 0

    def __len__(self):
        """Return the number of bytes."""
        return self._length

    def append(self, data):
        """Count the next bytes."""
        self._length += len(data)


class _Block:
    """Memory of the system's own, apart from the heap."""

    def __init__(self):
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        self._memory = mmap.mmap(-1, BLOCK_BYTES, flags=flags)
        self._used = 0

    def __len__(self):
        return self._used

    @property
    def is_full(self):
        return self._used == BLOCK_BYTES

    def fill(self, data):
        """Take as many bytes as there is room for, and return the rest."""
        part = data[: BLOCK_BYTES - self._used]
        end = self._used + len(part)
        self._memory[self._used : end] = part
        self._used = end
        return data[len(part) :]

    def filled(self):
        return memoryview(self._memory)[: self._used]
