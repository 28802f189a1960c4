"""Messages that agents exchange to transfer weights."""

import enum

from banyanshore.transport.codec import message


class Availability(enum.StrEnum):
    """Reasons why a peer can't send a chunk now.

    ``QUEUED``: it is going to have the chunk. ``MISSING``: it is not. ``FAILING``: its
    fetches from the origin fail. ``BUSY``: it already sends as much as it may.
    """

    QUEUED = "queued"
    MISSING = "missing"
    FAILING = "failing"
    BUSY = "busy"


@message(80)
class ChunkRequest:
    """Request a chunk from an agent.

    :param digest: SHA-256 of the chunk.
    :param data_centre: data centre of the requester.
    """

    manifest_digest: str
    index: int
    digest: bytes
    data_centre: str = ""


@message(81)
class ChunkPiece:
    """Carry the next bytes of a chunk; the ``final`` reply carries the last ones.

    :param sent_at: the sender's monotonic time in seconds if it expects a
        :class:`PieceReceived`, else 0.
    """

    data: bytes
    sent_at: float = 0.0


@message(86)
class PieceReceived:
    """Report to the sender of a piece how long it was under way.

    :param data_centre: data centre of the receiver.
    :param size: size of the piece in bytes.
    :param delay: the receiver's monotonic time minus ``sent_at``, in seconds.
    """

    data_centre: str
    size: int
    delay: float


@message(82)
class ChunkUnavailable:
    """Refuse a :class:`ChunkRequest`.

    :param availability: the :class:`Availability` of the chunk.
    """

    availability: str


@message(83)
class HaveUpdate:
    """Report to a neighbour which chunks this agent has verified.

    :param bitmap: bit ``i`` stands for chunk ``i``, little-endian.
    :param uploads: number of chunks sent to other agents so far.
    """

    manifest_digest: str
    bitmap: bytes
    uploads: int


@message(84)
class ManifestRequest:
    """Request a manifest from an agent."""

    manifest_digest: str


@message(85)
class ManifestReply:
    """Carry a manifest as JSON, empty if the agent doesn't have it."""

    content: bytes
