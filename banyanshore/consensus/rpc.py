"""Messages between instances for Raft, proposals and reads."""

import enum
from typing import Any

from banyanshore.transport.codec import message


class ProposalStatus(enum.StrEnum):
    """Outcome of a forwarded proposal."""

    APPLIED = "applied"
    NOT_ACCEPTED = "not-accepted"
    UNKNOWN = "unknown"


@message(90)
class RaftMessage:
    """Carry a Raft message to a member.

    :param to: name of the member; empty for the instance's current member.
    """

    to: str
    body: Any


@message(91)
class ProposeRequest:
    """Ask an instance to propose a command if it is the leader."""

    command: Any


@message(92)
class ProposeReply:
    """Answer a :class:`ProposeRequest`.

    :param leader: instance of the known leader, or empty.
    """

    status: str
    outcome: Any = None
    leader: str = ""
    detail: str = ""


@message(93)
class ReadRequest:
    """Ask the leader for the current published state."""


@message(94)
class ReadReply:
    """Answer a :class:`ReadRequest`; ``published`` is ``None`` if the read failed."""

    published: Any = None
    leader: str = ""


@message(107)
class VersionRequest:
    """Ask the leader for the number of the current version."""


@message(108)
class VersionReply:
    """Answer a :class:`VersionRequest`; ``version`` is -1 if the read failed."""

    version: int = -1
    leader: str = ""
