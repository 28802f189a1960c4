"""Status lines of targets in trouble, and those of valid answers."""

import re

# By the text that a log names: neither the version nor the status is one of HTTP/1.0
# or 1.1, from 100 to 599 (RFC 9110, section 15).
INVALID_LINE_BY_FAULT = {
    "000": b"HTTP/1.1 000 ",
    "001": b"HTTP/1.1 001 X",
    "099": b"HTTP/1.1 099 X",
    "600": b"HTTP/1.1 600 X",
    "601": b"HTTP/1.1 601",
    "777": b"HTTP/1.0 777 X",
    "999": b"HTTP/1.1 999 X",
    "0": b"HTTP/1.1 0 X",
    "20": b"HTTP/1.1 20 X",
    "2000": b"HTTP/1.1 2000 X",
    "-01": b"HTTP/1.1 -01 X",
    "+20": b"HTTP/1.1 +20 X",
    "2OO": b"HTTP/1.1 2OO X",
    "200OK": b"HTTP/1.1 200OK",
    "OK": b"HTTP/1.1 OK",
    "HTTP/0.9": b"HTTP/0.9 200 OK",
    "HTTP/0.0": b"HTTP/0.0 200 OK",
    "HTTP/1.2": b"HTTP/1.2 200 OK",
    "HTTP/2.0": b"HTTP/2.0 200 OK",
    "HTTP/9.9": b"HTTP/9.9 200 OK",
    "HTTP/2": b"HTTP/2 200",
    "ICY": b"ICY 200 OK",
}
# Informational heads that don't end, or are no valid part of an answer.
INVALID_HEADS = {
    "101": b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
    "HTTP/0.9": b"HTTP/0.9 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
}
VALID_LINE_BY_STATUS = {
    200: b"HTTP/1.1 200 OK",
    201: b"HTTP/1.0 201 Created",
    299: b"HTTP/1.1 299",
    302: b"HTTP/1.1 302 Found",
    404: b"HTTP/1.1 404 ",
    499: b"HTTP/1.1 499 X",
    500: b"HTTP/1.1 500 X",
    599: b"HTTP/1.1 599 X",
}
FRAMINGS = ("length", "chunked", "close")


def frame(framing, body):
    """Return the framing headers and the body, as sent."""
    if framing == "chunked":
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return b"transfer-encoding: chunked\r\n\r\n" + chunk
    if framing == "length":
        return b"content-length: %d\r\n\r\n%b" % (len(body), body)
    return b"\r\n" + body


def names_fault(fault, text):
    """Return whether a text names an invalid status or version."""
    number = str(int(fault)) if fault.isdecimal() else fault
    return re.search(rf"(?<!\w){re.escape(number)}(?!\w)", text) is not None
