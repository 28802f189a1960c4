"""What a server leaves unfinished on its connections when it ends.

Load pattern: a process that stops while callers read slowly, send further requests, or
come late. Requests that were cut off, answers that were not delivered, and requests
that were never read differ in what their callers may do.
"""

import logging
from enum import Enum

from banyanshore.core.values import dataclass

logger = logging.getLogger(__name__)

# Requests that are logged one by one; the summary counts all.
MAX_LOGGED = 200


class Phase(Enum):
    """What a connection does."""

    # Nothing of a request has been read.
    IDLE = "idle"
    # A part of a request's head has been read.
    READING_HEAD = "reading-head"
    # A request is being processed, or its body is being read.
    PROCESSING = "processing"
    # A part of an answer was sent.
    ANSWERING = "answering"
    # The whole answer was sent; the caller may not have received all of it.
    DELIVERING = "delivering"


@dataclass(frozen=True)
class Unfinished:
    """A request that a process leaves behind, or bytes that it has not read.

    :param request_id: id of the last request of the connection, empty if none is known.
    :param unacknowledged_bytes: bytes that were sent and that the caller's system has
        not acknowledged, ``None`` if the system doesn't tell.
    :param unread_bytes: bytes that arrived and were not read, ``None`` if the system
        doesn't tell.
    """

    phase: Phase
    request_id: str
    unacknowledged_bytes: int | None
    unread_bytes: int | None


# Phases in which a request has been read and has no whole answer.
_CUT_OFF_PHASES = frozenset({Phase.PROCESSING, Phase.ANSWERING})


def log_unfinished(rows):
    """Log the requests that are cut off, not delivered or not read at the end.

    :param rows: the :class:`Unfinished` of the connections that are still open.
    """
    cut_off = [row for row in rows if row.phase in _CUT_OFF_PHASES]
    others = [row for row in rows if row.phase not in _CUT_OFF_PHASES]
    undelivered = [row for row in others if row.unacknowledged_bytes]
    for row in cut_off[:MAX_LOGGED]:
        logger.error("request cut off", extra=_describe(row))
    for row in undelivered[:MAX_LOGGED]:
        logger.warning("answer not delivered", extra=_describe(row))
    if cut_off:
        logger.error("requests cut off", extra={"in_flight": len(cut_off)})
    logger.info(
        "connections at the end of the stop",
        extra={
            "open": len(rows),
            "cut_off": len(cut_off),
            "not_delivered": len(undelivered),
            "not_read": sum(bool(row.unread_bytes) for row in others),
        },
    )


def _describe(row):
    return {
        "request_id": row.request_id,
        "phase": row.phase.value,
        "unacknowledged_bytes": row.unacknowledged_bytes,
    }
