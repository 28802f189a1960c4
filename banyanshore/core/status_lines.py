"""Validity of status lines (RFC 9110, section 15).

Load pattern: targets in trouble send statuses such as 000 and 600. Such an answer tells
nothing about the request, which may have run.
"""

# The only versions of HTTP that are spoken; another one has other rules of framing.
_VERSIONS = frozenset({"1.0", "1.1"})
_STATUSES = range(100, 600)


def find_status_line_fault(version, status):
    """Return what is invalid in the status line of an answer, or ``None``.

    :param version: version of HTTP, as text.

    >>> find_status_line_fault("1.1", 599)
    >>> find_status_line_fault("1.1", 600)
    'invalid status 600'
    >>> find_status_line_fault("0.9", 200)
    'invalid version HTTP/0.9'
    """
    if version not in _VERSIONS:
        return f"invalid version HTTP/{version}"
    if status not in _STATUSES:
        return f"invalid status {status:03}"
    return None
