"""Messages by which instances reach the replicated log of another one."""

import enum
from typing import Any

from banyanshore.transport.codec import message


class ProposalStatus(enum.StrEnum):
    """What is known of a proposal."""

    APPLIED = "applied"
    NOT_ACCEPTED = "not-accepted"
    UNKNOWN = "unknown"


@message(90)
class RaftMessage:
    """Carry a message of the log to the member that it is for.

    :param to: member name, empty for whichever member the instance is.
    """

    to: str
    body: Any


@message(91)
class ProposeRequest:
    """Ask an instance to propose a command if it leads."""

    command: Any


@message(92)
class ProposeReply:
    """Answer a :class:`ProposeRequest`.

    :param leader: instance that leads as far as is known.
    """

    status: str
    outcome: Any = None
    leader: str = ""
    detail: str = ""


@message(93)
class ReadRequest:
    """Ask the leader for the version that is current."""


@message(94)
class ReadReply:
    """Answer a :class:`ReadRequest`; ``published`` is ``None`` if not answered."""

    published: Any = None
    leader: str = ""


@message(107)
class VersionRequest:
    """Ask the leader for the number of the current version."""


@message(108)
class VersionReply:
    """Answer a :class:`VersionRequest`; ``version`` is -1 if not answered."""

    version: int = -1
    leader: str = ""
