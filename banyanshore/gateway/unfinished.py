"""Log what a stopping gateway leaves unfinished, request by request."""

import logging

from banyanshore.http.unfinished import Phase

logger = logging.getLogger(__name__)

# Requests that are logged one by one; the summary counts all.
MAX_LOGGED = 200
# Phases in which a request has been read and has no whole answer.
_CUT_OFF_PHASES = frozenset({Phase.PROCESSING, Phase.ANSWERING})


def log_unfinished(listener):
    """Log the requests that are cut off, not delivered or not read at the end.

    :param listener: the :class:`~banyanshore.http.listener.Listener` of callers.
    """
    rows = listener.find_unfinished()
    cut_off = [row for row in rows if row.phase in _CUT_OFF_PHASES]
    undelivered = [
        row
        for row in rows
        if row.phase not in _CUT_OFF_PHASES and row.unacknowledged_bytes
    ]
    unread = [
        row for row in rows if row.phase not in _CUT_OFF_PHASES and row.unread_bytes
    ]
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
            "not_read": len(unread),
        },
    )


def _describe(row):
    return {
        "request_id": row.request_id,
        "phase": row.phase.value,
        "unacknowledged_bytes": row.unacknowledged_bytes,
    }
