"""Frames that wait to be written to a connection: whole ones, and large ones in pieces.

Load pattern: a large message is on its way over a thin link, and small ones that can't
wait follow it: heartbeats of a leader, reads, orders. Behind the whole message they
would be late by the time that the link needs for it, and the peer would take the leader
for lost.
"""

from collections import deque

from banyanshore.transport.codec import MAX_FRAME_BYTES, CodecError, decode, encode
from banyanshore.transport.frames import Piece

# Size in bytes of the pieces of a large frame: 13 ms of a link of 10 Mbit/s.
PIECE_BYTES = 16 * 1024


class Outbox:
    """Queue frames for writing; whole ones go between the pieces of large ones.

    Frames of each kind keep their order among themselves.

    :ivar piece_bytes: bytes of the pieces that wait.
    """

    def __init__(self):
        self._whole = []
        self._pieces = deque()
        self.piece_bytes = 0

    @property
    def has_whole(self):
        """Whether a frame waits to be written whole."""
        return bool(self._whole)

    @property
    def has_pieces(self):
        """Whether pieces wait."""
        return bool(self._pieces)

    def put(self, data):
        """Queue an encoded frame; return the bytes queued."""
        self._whole.append(data)
        return len(data)

    def put_in_pieces(self, data):
        """Queue an encoded frame in pieces; return the bytes queued."""
        pieces = [
            encode(
                Piece(
                    data[start : start + PIECE_BYTES], start + PIECE_BYTES >= len(data)
                )
            )
            for start in range(0, len(data), PIECE_BYTES)
        ]
        self._pieces.extend(pieces)
        size = sum(map(len, pieces))
        self.piece_bytes += size
        return size

    def take(self):
        """Return the bytes to write next: all whole frames, and one piece."""
        parts = self._whole
        self._whole = []
        if self._pieces:
            piece = self._pieces.popleft()
            self.piece_bytes -= len(piece)
            parts.append(piece)
        return b"".join(parts)


class PieceJoiner:
    """Join the pieces of a peer's large frames, which come one after the other."""

    def __init__(self):
        self._data = bytearray()

    def add(self, piece):
        """Add a :class:`Piece`; return the frame that it completes, or ``None``.

        :raises CodecError: the frame is too large or corrupt.
        """
        self._data += piece.data
        if len(self._data) > MAX_FRAME_BYTES:
            raise CodecError("too large a frame in pieces", step="decode")
        if not piece.is_last:
            return None
        data, self._data = self._data, bytearray()
        return decode(bytes(data))
