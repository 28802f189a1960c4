"""The rows of docs/design/answers.md, and the bytes that targets send in them."""

from dataclasses import dataclass
from pathlib import Path

import anyio

from tests.http.raw import reset

PAGE = Path(__file__).resolve().parent.parent / "docs" / "design" / "answers.md"
_COLUMNS = "| kind | framing | body ends | connection ends | verdict |"
_EVENTS = b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
_PLAIN = b"some bytes"


@dataclass(frozen=True)
class AnswerRow:
    """One way in which a target's answer ends, and whether it is complete then."""

    kind: str
    framing: str
    body_end: str
    connection_end: str
    verdict: str

    def __str__(self):
        parts = (self.kind, self.framing, self.body_end, self.connection_end)
        return "-".join(part.replace(" ", "_").replace(",", "") for part in parts)

    @property
    def is_complete(self):
        return self.verdict == "complete"

    @property
    def has_ended_by_framing(self):
        return not self.body_end.startswith("before") and self.framing != "close"

    def body(self):
        """Return the bytes of the body that the target sends."""
        if self.kind == "body":
            return _PLAIN
        if "without an event" in self.body_end:
            return b""
        if "inside the first event" in self.body_end:
            return b"id: 1\nda"
        return _EVENTS + (b"id: 3\nda" if "inside an event" in self.body_end else b"")

    def framed(self):
        """Return the framing headers and the body, as sent."""
        body = self.body()
        if self.framing == "chunked":
            chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            last = b"0\r\n\r\n" if self.has_ended_by_framing else b""
            return b"transfer-encoding: chunked\r\n\r\n" + chunk + last
        if self.framing == "length":
            missing = 0 if self.has_ended_by_framing else 7
            return b"content-length: %d\r\n\r\n%b" % (len(body) + missing, body)
        return b"\r\n" + body

    async def send(self, stream, head):
        """Send the answer, and end the connection."""
        await stream.send(head + self.framed())
        # The reader must take the bytes before a reset drops them.
        await anyio.sleep(0.05)
        if self.connection_end == "reset":
            reset(stream)


def read_rows():
    """Return the :class:`AnswerRow` objects of the page."""
    lines = PAGE.read_text().splitlines()
    first = lines.index(_COLUMNS) + 2
    rows = []
    for line in lines[first:]:
        if not line:
            break
        rows.append(AnswerRow(*(cell.strip() for cell in line.strip("|").split("|"))))
    return rows
