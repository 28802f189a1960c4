"""How the end of an answer's body is known (RFC 9112, section 6.3)."""

from enum import Enum

_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Framing(Enum):
    """How the end of an answer's body is known."""

    NONE = "none"
    CHUNKED = "chunked"
    LENGTH = "length"
    # The body ends with the connection.
    CLOSE = "close"


def find_framing(method, status, header_names):
    """Return the :class:`Framing` of an answer.

    :param method: method of the request, as text.
    :param header_names: container of the names of the answer's headers, in lower case.

    >>> find_framing("GET", 200, {"content-type"})
    <Framing.CLOSE: 'close'>
    >>> find_framing("HEAD", 200, {"content-length"})
    <Framing.NONE: 'none'>
    """
    if method == "HEAD" or status in _STATUSES_WITHOUT_BODY:
        return Framing.NONE
    if "transfer-encoding" in header_names:
        return Framing.CHUNKED
    return Framing.LENGTH if "content-length" in header_names else Framing.CLOSE
