"""Incremental splitting of a server-sent event stream, free of I/O.

Load pattern: a faulty target sends bytes without end, all at once or a few at a time.
The buffer of an answer is therefore bounded, and each byte is searched once.
"""

import re

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.framing import Framing

_EVENT_STREAM = "text/event-stream"
# Largest event that is buffered until it is complete, in bytes; typical events have
# less than a thousand.
MAX_EVENT_BYTES = 256 * 1024
_SEPARATORS = (b"\n\n", b"\r\n\r\n")
_ID_LINE = re.compile(rb"^id: *(\d+) *\r?$", re.MULTILINE)
# Buffered bytes to search again, since a separator may begin in them.
_OVERLAP = max(map(len, _SEPARATORS)) - 1


def is_event_stream(content_type):
    """Return whether a content type is that of a stream of events.

    >>> is_event_stream("Text/Event-Stream; charset=utf-8"), is_event_stream("")
    (True, False)
    """
    return content_type.partition(";")[0].strip().lower() == _EVENT_STREAM


class EventStreamError(BanyanshoreError):
    """Base class of errors of a target's stream of events."""


class OversizedEventError(EventStreamError):
    """Raised when an event exceeds the maximum size."""


class RepeatedEventError(EventStreamError):
    """Raised when a resumed answer repeats an event."""


class IncompleteStreamError(EventStreamError):
    """Raised when an answer has ended before its events were complete."""


class EventSplitter:
    """Split the bytes of one answer into complete events.

    :param max_event_bytes: largest event that is buffered.
    :param resumed_after: id of the last event before this answer, if it resumes a
        stream, else ``None``.
    :ivar has_events: whether any event was complete.
    """

    def __init__(self, max_event_bytes=MAX_EVENT_BYTES, resumed_after=None):
        self.has_events = False
        self._rest = bytearray()
        self._resumed_after = resumed_after
        self._max_event_bytes = max_event_bytes

    @property
    def incomplete_bytes(self):
        """Return the buffered size of the incomplete event."""
        return len(self._rest)

    @property
    def is_inside_event(self):
        """Return whether a part of an event is buffered; comments aren't events.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"data: a\\n\\n: comment\\n"), splitter.is_inside_event
        ((b'data: a\\n\\n', None), False)
        >>> splitter.feed(b"da"), splitter.is_inside_event
        ((b'', None), True)
        """
        lines = self._rest.splitlines()
        return any(line and not line.startswith(b":") for line in lines)

    def feed(self, data):
        """Buffer new bytes; return the events that are complete now, and the last id.

        :return: bytes, empty if no event is complete, and the id or ``None``.
        :raises OversizedEventError: the incomplete event is too long.
        :raises RepeatedEventError: a resumed answer begins with an earlier event.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 4\\ndata: a\\n\\nid: 5\\nda")
        (b'id: 4\\ndata: a\\n\\n', 4)
        >>> splitter.take_rest()
        b'id: 5\\nda'
        """
        searched_from = max(0, len(self._rest) - _OVERLAP)
        self._rest += data
        end = 0
        for separator in _SEPARATORS:
            position = self._rest.rfind(separator, searched_from)
            if position >= 0:
                end = max(end, position + len(separator))
        complete = bytes(self._rest[:end])
        del self._rest[:end]
        self._check_first_id(complete)
        self.has_events = self.has_events or bool(complete)
        if len(self._rest) > self._max_event_bytes:
            raise OversizedEventError(
                f"an event of more than {self._max_event_bytes} bytes", step="events"
            )
        return complete, _last_event_id(complete)

    def _check_first_id(self, events):
        after = self._resumed_after
        if after is None or (first_id := _first_event_id(events)) is None:
            return
        self._resumed_after = None
        if first_id <= after:
            raise RepeatedEventError(
                f"event {first_id} again after event {after}", step="events"
            )

    def finish(self, framing):
        """Return what follows the last event of a complete answer, as comments.

        :param framing: the :class:`~banyanshore.core.framing.Framing` of the answer.
        :raises IncompleteStreamError: the answer has ended inside an event, or, if its
            end is that of its connection, before its first event.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"data: a\\n\\n: end\\n"), splitter.finish(Framing.CHUNKED)
        ((b'data: a\\n\\n', None), b': end\\n')
        """
        if self.is_inside_event:
            raise IncompleteStreamError("ended inside an event", step="events")
        if not self.has_events and framing is Framing.CLOSE:
            raise IncompleteStreamError("ended before the first event", step="events")
        return self.take_rest()

    def take_rest(self):
        """Return and clear the bytes of the incomplete event."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest


def _first_event_id(data):
    found = _ID_LINE.search(data)
    return int(found[1]) if found else None


def _last_event_id(data):
    position = data.rfind(b"id:")
    while position > 0 and data[position - 1 : position] not in (b"\n", b"\r"):
        position = data.rfind(b"id:", 0, position)
    if position < 0:
        return None
    value = data[position + 3 :].split(b"\n", 1)[0].strip()
    return int(value) if value.isdigit() else None
