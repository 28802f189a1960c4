"""Validity of the heads of answers that httpx reads (RFC 9110, section 15)."""

import h11
import httpx

from banyanshore.core.status_lines import find_status_line_fault


class InvalidStatusLineError(httpx.RemoteProtocolError):
    """Signal an invalid status line that the HTTP library accepts."""


async def check_status_line(response):
    """Check the head of a response, before its body is read.

    :raises InvalidStatusLineError: the version or the status is invalid.
    """
    version = response.http_version.removeprefix("HTTP/")
    fault = find_status_line_fault(version, response.status_code)
    if fault is not None:
        raise InvalidStatusLineError(fault, request=response.request)


def is_head_invalid(error):
    """Return whether a request failed because the head of its answer is invalid.

    httpcore passes on h11's error on what is illegal in a head, and reports the end of
    a connection within a head by itself. In a body, h11 reports both, so nothing is
    known there.

    :param error: error of httpx from the time before the body is read.
    """
    if isinstance(error, InvalidStatusLineError):
        return True
    # httpcore removes the cause of its error, which has h11's error as its argument.
    reported = error.__cause__.args if error.__cause__ else ()
    return any(isinstance(item, h11.RemoteProtocolError) for item in reported)
