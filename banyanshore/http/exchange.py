"""One request on a connection of a caller, and its answer."""

import time

import h11

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.http.wire import get_header

# Seconds after which a caller may send a request again that there was no room for.
NO_ROOM_SECONDS = 1


class RequestError(BanyanshoreError):
    """Signal a request that can't be read.

    :param status: HTTP status of the answer.
    :ivar headers: further headers of the answer.
    """

    headers = ()

    def __init__(self, status, message):
        super().__init__(message, step="read-request")
        self.status = status


class NoRoomError(RequestError):
    """Signal a request that isn't read to its end, for the sake of other callers.

    It has not run, and never will.
    """

    headers = ((b"retry-after", b"%d" % NO_ROOM_SECONDS),)

    def __init__(self):
        super().__init__(503, "no room for the request")


class Exchange:
    """One request on a connection, and its answer.

    :ivar method: method as bytes.
    :ivar target: path and query as bytes, as received.
    :ivar headers: pairs of bytes, names in lower case.
    :ivar started_at: monotonic time at which the answer was begun, or ``None``.
    :ivar arrived_after: boot time before which the request can't have arrived.
    :ivar connected_at: monotonic time at which its connection was accepted.
    :ivar request_id: id of the request for logs, set by its handler.
    :ivar on_blocked: called when a part of the answer has to wait for the caller, or
        ``None``.
    """

    def __init__(self, connection, request, arrived_after):
        self.method = bytes(request.method)
        self.target = bytes(request.target)
        self.headers = [(bytes(name), bytes(value)) for name, value in request.headers]
        self.started = False
        self.started_at = None
        self.finished = False
        self.arrived_after = arrived_after
        self.connected_at = connection.opened_at
        self.request_id = ""
        self.on_blocked = None
        self._connection = connection

    @property
    def path(self):
        """Return the path without the query, as text."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def get_header(self, name, default=None):
        """Return the first value of a header as text."""
        return get_header(self.headers, name, default)

    async def read_body(self):
        """Return the complete body.

        :raises RequestError: the body is malformed, too long or too slow.
        :raises PeerClosedError: the caller disconnected before sending all of it.
        """
        return await self._connection.read_body()

    async def run_while_connected(self, work):
        """Run a coroutine function, and cancel it if the caller disconnects.

        :return: whether the coroutine ran to completion.
        """
        return await self._connection.run_while_connected(work)

    def tell_blocked(self):
        """Tell whoever passes the answer on that it has to wait for the caller."""
        if self.on_blocked is not None:
            self.on_blocked()

    async def respond(self, status, headers=(), body=b""):
        """Send a complete answer."""
        length = (b"content-length", str(len(body)).encode())
        end = h11.EndOfMessage()
        # The end goes with the last bytes, so that a stop between them can't tell the
        # caller something else than the log.
        await self.start(status, (length, *headers), *([] if body else [end]))
        if body:
            await self._connection.send_events(h11.Data(data=body), end)
        self.finished = True

    async def start(self, status, headers, *events):
        """Send the status and headers, and further parts with them."""
        self.started = True
        self.started_at = time.monotonic()
        await self._connection.send_head(status, list(headers), *events)

    async def send(self, data):
        """Send a piece of the body."""
        if data:
            await self._connection.send_events(h11.Data(data=data))

    async def finish(self):
        """Mark the end of a complete answer."""
        await self._connection.send_events(h11.EndOfMessage())
        self.finished = True


def head_size(request):
    """Return the bytes of the head of a request."""
    separators = len(b": \r\n")
    fields = sum(len(n) + len(v) + separators for n, v in request.headers)
    return len(request.method) + len(request.target) + len(b"  HTTP/1.1\r\n") + fields


def has_body(exchange):
    """Return whether a request has a body, by its head."""
    is_chunked = exchange.get_header(b"transfer-encoding") is not None
    return is_chunked or exchange.get_header(b"content-length", "0") != "0"


def check_framing(exchange):
    """Reject a request with ambiguous framing, as in request smuggling.

    :raises RequestError: it has both a length and a transfer coding.
    """
    names = [name for name, _ in exchange.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestError(400, "both Content-Length and Transfer-Encoding")
