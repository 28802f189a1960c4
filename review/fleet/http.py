"""HTTP/1.1 for the stand-ins: just what the pages need, from the standard library."""

import asyncio
import json
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer that was read whole.

    :ivar first: the three parts of the first line.
    :ivar headers: pairs of name in lower case and value.
    """

    first: tuple
    headers: list = field(default_factory=list)
    body: bytes = b""

    def get(self, name, default=""):
        """Return the first value of a header."""
        return next((v for n, v in self.headers if n == name), default)

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.first[1])


async def read_head(reader):
    """Return a message without its body, ``None`` at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Message(tuple(first.split(" ", 2)), headers)


async def read_message(reader, has_body=True):
    """Return a message with its body, ``None`` at the end of the stream."""
    message = await read_head(reader)
    if message is None or not has_body:
        return message
    if message.get("transfer-encoding").lower() == "chunked":
        message.body = await _read_chunks(reader)
    elif message.get("content-length"):
        message.body = await reader.readexactly(int(message.get("content-length")))
    return message


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def encode(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(address, method, path, headers=(), body=b"", timeout=1.0):
    """Send a request over a channel of its own; return the whole answer.

    :raises OSError: no whole answer.
    :raises TimeoutError: not within the timeout.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            names = {name.lower() for name, _ in headers}
            lines = list(headers)
            if "host" not in names:
                lines.insert(0, ("Host", address))
            writer.write(encode(f"{method} {path} HTTP/1.1", lines, body))
            answer = await read_message(reader)
        except (asyncio.IncompleteReadError, ValueError) as error:
            raise OSError(f"no whole answer: {error!r}") from None
        finally:
            writer.transport.abort()
        if answer is None:
            raise OSError("the channel ended without an answer")
        return answer


async def call_json(address, method, path, document=None, timeout=1.0):
    """Do as :func:`call` with a JSON body; return the status and the document."""
    body = b"" if document is None else json.dumps(document).encode()
    headers = [("Content-Type", "application/json")]
    answer = await call(address, method, path, headers, body, timeout)
    try:
        return answer.status, json.loads(answer.body or b"null")
    except ValueError:
        return answer.status, None
