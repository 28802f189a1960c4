"""Provide helpers for ASGI: requests, responses and problem details."""

import json

import anyio

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.values import dataclass
from banyanshore.http.body_buffer import BodyBuffer

# Seconds and bytes for which the rest of a body is read and discarded after its answer:
# closing a connection with unread bytes resets it, and the caller loses the answer.
DISCARD_SECONDS = 2.0
DISCARD_BYTES = 16 * 1024 * 1024


class BodyTooLargeError(BanyanshoreError):
    """Signal a request body that exceeds the size limit."""


class BodyRefusedError(BanyanshoreError):
    """Signal a request whose body is not waited for any longer.

    :ivar title: title of the refusal.
    """

    def __init__(self, title):
        super().__init__("the body is not waited for", step="read-body")
        self.title = title


class CallerDisconnectedError(BanyanshoreError):
    """Signal a caller that closed the connection."""


@dataclass(frozen=True)
class Problem:
    """Problem details (RFC 9457).

    :param outcome: ``not-run`` or ``unknown`` for requests, else empty.
    :param retry_after: seconds after which to retry, ``None`` to omit the header.
    :param extra: additional members as pairs of name and value.
    """

    status: int
    title: str
    detail: str = ""
    outcome: str = ""
    retry_after: float | None = None
    extra: tuple = ()

    def to_dict(self):
        """Return the members of the JSON document."""
        document = {
            "type": f"urn:banyanshore:problem:{self.title.lower().replace(' ', '-')}",
            "title": self.title,
            "status": self.status,
        }
        if self.detail:
            document["detail"] = self.detail
        if self.outcome:
            document["outcome"] = self.outcome
        document.update(self.extra)
        return document


class Request:
    """HTTP request, and the methods to answer it.

    :ivar id: id of the request for logs, set by its handler.
    :ivar is_ended: whether its answer is whole or has been given up.
    """

    def __init__(self, scope, receive, send):
        self.method = scope["method"]
        self.path = scope["path"]
        self.raw_path = scope.get("raw_path") or self.path.encode()
        self.query = scope.get("query_string", b"")
        self.headers = tuple(
            (bytes(name).lower(), bytes(value)) for name, value in scope["headers"]
        )
        self._receive_event = receive
        self._send = send
        self.id = ""
        self.response_started = False
        self.is_ended = False
        self._is_body_complete = not self._has_body()
        self._body_scope = None
        self._refusal_title = ""
        # The connection of the web server, ``None`` in other servers.
        self._connection = scope.get("state", {}).get("connection")
        if self._connection is not None:
            self._connection.request = self

    def get_header(self, name, default=""):
        """Return a header's value as text."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key == wanted:
                return value.decode("latin-1")
        return default

    def _has_body(self):
        names = dict(self.headers)
        return b"transfer-encoding" in names or (
            names.get(b"content-length", b"0") != b"0"
        )

    async def _receive(self):
        event = await self._receive_event()
        if event["type"] == "http.request" and not event.get("more_body"):
            self._is_body_complete = True
        return event

    async def read_body(self, max_bytes):
        """Return the complete body.

        :raises BodyTooLargeError: it exceeds ``max_bytes``.
        :raises BodyRefusedError: :meth:`refuse_body` was called before it was complete.
        :raises CallerDisconnectedError: the caller left before sending all of it.
        """
        try:
            with anyio.CancelScope() as self._body_scope:
                return await self._read_whole_body(max_bytes)
        finally:
            if self._connection is not None:
                self._connection.end_body(self._is_body_complete)
        raise BodyRefusedError(self._refusal_title)

    def refuse_body(self, title):
        """Stop waiting for the rest of the body.

        :param title: title of the refusal.
        :return: whether the rest was being waited for.
        """
        if self._body_scope is None or self._is_body_complete:
            return False
        self._refusal_title = title
        self._body_scope.cancel()
        return True

    async def _read_whole_body(self, max_bytes):
        body = BodyBuffer()
        while not await self._read_piece(body, max_bytes):
            pass
        return body.take()

    async def _read_piece(self, body, max_bytes):
        """Read the next piece of the body; return whether the body is whole."""
        event = await self._receive()
        if event["type"] == "http.disconnect":
            raise CallerDisconnectedError("the caller left", step="read-body")
        body.append(event.get("body", b""))
        if self._connection is not None and not self._is_body_complete:
            self._connection.hold_body(len(body))
        if len(body) > max_bytes:
            raise BodyTooLargeError(
                f"the body exceeds {max_bytes} bytes", step="read-body"
            )
        return not event.get("more_body")

    async def wait_for_disconnect(self):
        """Return once the caller has closed the connection."""
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                return

    async def start(self, status, headers):
        """Send the status line and headers.

        The headers announce the close of the connection: the server closes it if it
        stops, and if the body of the request was not read.
        """
        self.response_started = True
        all_headers = list(headers)
        if not self._is_body_complete or self._is_closing():
            all_headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": all_headers}
        )

    def _is_closing(self):
        return self._connection is not None and self._connection.is_closing

    async def send_body(self, data, more=True):
        """Send a piece of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def respond(self, status, body, content_type, headers=()):
        """Send a complete response."""
        all_headers = [
            (b"content-type", content_type.encode()),
            (b"content-length", str(len(body)).encode()),
            *headers,
        ]
        await self.start(status, all_headers)
        if not self._is_body_complete:
            await self.send_body(body)
            await self._discard_body()
            body = b""
        await self.send_body(body, more=False)

    async def _discard_body(self):
        dropped = 0
        with anyio.move_on_after(DISCARD_SECONDS):
            while not self._is_body_complete and dropped < DISCARD_BYTES:
                event = await self._receive()
                if event["type"] == "http.disconnect":
                    return
                dropped += len(event.get("body", b""))

    async def respond_json(self, status, document, headers=()):
        """Send a JSON response."""
        body = json.dumps(document).encode() + b"\n"
        await self.respond(status, body, "application/json", headers)

    async def respond_problem(self, problem, headers=()):
        """Send a :class:`Problem` as the response."""
        extra = list(headers)
        if problem.retry_after is not None:
            seconds = max(1, round(problem.retry_after + 0.49))
            extra.append((b"retry-after", str(seconds).encode()))
        body = json.dumps(problem.to_dict()).encode() + b"\n"
        await self.respond(problem.status, body, "application/problem+json", extra)


def make_application(handle):
    """Return an ASGI application that handles requests with a coroutine function."""

    async def application(scope, receive, send):
        if scope["type"] == "http":
            request = Request(scope, receive, send)
            try:
                await handle(request)
            finally:
                request.is_ended = True
        elif scope["type"] == "websocket":
            await send({"type": "websocket.close", "code": 1003})

    return application


async def run_until_disconnect(request, work):
    """Run a coroutine function, and cancel it if the caller disconnects.

    :return: whether the coroutine ran to completion.
    """
    finished = False
    async with anyio.create_task_group() as tasks:

        async def watch():
            await request.wait_for_disconnect()
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        await work()
        finished = True
        tasks.cancel_scope.cancel()
    return finished
