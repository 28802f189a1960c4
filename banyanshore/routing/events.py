"""Split a stream of events as it arrives: decisions without input or output.

Load pattern: a faulty target that sends bytes without end, in one piece or a few at a
time. What is held for one answer is bounded, and each byte is looked at once.
"""

from banyanshore.core.exceptions import BanyanshoreError

# Largest event that is held until it is whole, in bytes; usual ones have under a
# thousand.
MAX_EVENT_BYTES = 256 * 1024
_SEPARATORS = (b"\n\n", b"\r\n\r\n")
# Bytes before new ones in which a separator may begin.
_OVERLAP = max(map(len, _SEPARATORS)) - 1


class OversizedEventError(BanyanshoreError):
    """Signal an event that is longer than any event may be."""


class EventSplitter:
    """Split the bytes of one answer into whole events.

    :param max_event_bytes: largest event that is held.
    """

    def __init__(self, max_event_bytes=MAX_EVENT_BYTES):
        self._rest = bytearray()
        self._max_event_bytes = max_event_bytes

    def feed(self, data):
        """Return the events that are whole now, and the id of the last one.

        :return: bytes, empty if none is whole, and the id or ``None``.
        :raises OversizedEventError: what is not whole yet is too long.

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
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        if len(self._rest) > self._max_event_bytes:
            raise OversizedEventError(
                f"an event of more than {self._max_event_bytes} bytes", step="events"
            )
        return whole, _last_event_id(whole)

    def take_rest(self):
        """Return the bytes that are no whole event."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest


def _last_event_id(data):
    position = data.rfind(b"id:")
    while position > 0 and data[position - 1 : position] not in (b"\n", b"\r"):
        position = data.rfind(b"id:", 0, position)
    if position < 0:
        return None
    value = data[position + 3 :].split(b"\n", 1)[0].strip()
    return int(value) if value.isdigit() else None
