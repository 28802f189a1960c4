"""Messages that push chunks down a relay tree."""

from banyanshore.transport.codec import message


@message(110)
class ChunkPush:
    """Push a chunk to an instance that hasn't requested it."""

    manifest_digest: str
    index: int
    data: bytes


@message(111)
class ChunkPushReply:
    """Reply to a :class:`ChunkPush`.

    :param is_accepted: whether the receiver now has the chunk.
    :param handling_seconds: seconds between the arrival of the chunk and the reply.
    """

    is_accepted: bool
    handling_seconds: float = 0.0
