"""Define the frames that carry calls, replies and notices over a connection."""

from typing import Any

from banyanshore.transport.codec import message


@message(1)
class Heartbeat:
    """Show the peer that this side is alive."""


@message(2)
class Hello:
    """Name the sender; the first frame that each side sends.

    :param joins_pieces: whether the sender accepts frames in pieces.
    """

    instance: str
    joins_pieces: bool = False


@message(3)
class Notice:
    """Carry a message that needs no reply."""

    body: Any


@message(4)
class Call:
    """Carry a message that needs one or more replies.

    :param call_id: number of the call, unique among those sent on the connection.
    """

    call_id: int
    body: Any


@message(5)
class Reply:
    """Carry one reply to a call.

    :param sequence: position of the reply in its call, from 0 without gaps.
    :param final: true if no further reply follows.
    """

    call_id: int
    sequence: int
    body: Any
    final: bool


@message(6)
class Cancel:
    """Cancel a call; its caller discards further replies."""

    call_id: int


@message(8)
class Ack:
    """Acknowledge the replies to a call that precede a sequence number."""

    call_id: int
    sequence: int


@message(7)
class Failure:
    """Reply that the handler of a call failed."""

    reason: str


@message(9)
class Piece:
    """Carry a part of a large encoded frame; other frames may come between the parts.

    :param is_last: whether the frame is complete.
    """

    data: bytes
    is_last: bool
