"""Messages by which chunks are pushed down a tree."""

from banyanshore.transport.codec import message


@message(110)
class ChunkPush:
    """Bring a chunk to an instance that hasn't asked for it."""

    manifest_digest: str
    index: int
    data: bytes


@message(111)
class ChunkPushReply:
    """Answer a :class:`ChunkPush`.

    :param is_accepted: whether the chunk was right, or was here already.
    """

    is_accepted: bool
