"""What the callers of a crowd send."""

from dataclasses import dataclass

BODY_BYTES = 4 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
# Requests that one caller sends ahead, and the bytes of a header of each one; the
# pages allow heads of 16 KiB.
REQUESTS_AHEAD = 400
FILL_BYTES = 15_000


@dataclass(frozen=True)
class Call:
    """A request of a crowd.

    :param method: with its path.
    :param headers: header lines.
    """

    method: str
    headers: tuple = ()
    host: str = "a.example"

    def head(self, *more):
        """Return the head with further header lines, as bytes."""
        lines = [f"{self.method} HTTP/1.1", f"host: {self.host}", *self.headers, *more]
        return "\r\n".join((*lines, "", "")).encode()


def with_length(call):
    """Return a request whose body lacks its last byte."""
    return whole(call)[:-1]


def in_chunks(call, size=BODY_BYTES):
    """Return a request whose body lacks its last chunk."""
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    head = call.head("transfer-encoding: chunked")
    return head + chunk * (size // CHUNK_BYTES)


def whole(call):
    """Return a whole request with a large body."""
    return call.head(f"content-length: {BODY_BYTES}") + bytes(BODY_BYTES)


def ahead(call):
    """Return many requests with large heads."""
    return call.head(f"x-fill: {'x' * FILL_BYTES}") * REQUESTS_AHEAD
