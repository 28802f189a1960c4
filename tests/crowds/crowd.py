"""Callers that keep to no protocol: they send ahead, read nothing, and stay."""

import contextlib
import selectors
import socket

# Seconds without any byte taken after which the rest of the crowd counts as held up.
QUIET_SECONDS = 1.0
# Receive buffer of a caller that reads nothing, in bytes: what it doesn't read stays
# with the process.
RECEIVE_BUFFER_BYTES = 4096
# Bytes that a caller sends before the next one has its turn.
PIECE_BYTES = 300_000


class Crowd:
    """Callers that all send the same bytes, each on a connection of its own.

    :param address: ``HOST:PORT`` of the process.
    :param size: number of the callers.
    :param content: what each caller sends, a piece at a time.
    """

    def __init__(self, address, size, content):
        host, _, port = address.partition(":")
        self._address = (host, int(port))
        self._size = size
        self._content = memoryview(content)
        self._sockets = []

    def send(self, on_step):
        """Connect, and send until all is sent, held up or ended by the process.

        :param on_step: called now and then meanwhile.
        """
        selector = selectors.DefaultSelector()
        for _ in range(self._size):
            caller = socket.socket()
            self._sockets.append(caller)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            caller.settimeout(QUIET_SECONDS)
            # The process may refuse a connection, or end it at once.
            with contextlib.suppress(OSError):
                caller.connect(self._address)
                caller.setblocking(False)
                selector.register(caller, selectors.EVENT_WRITE, [self._content])
        while selector.get_map():
            ready = selector.select(QUIET_SECONDS)
            if not ready:
                break
            for key, _ in ready:
                _send_piece(selector, key)
            on_step()
        selector.close()

    def close(self):
        """Close all connections."""
        for caller in self._sockets:
            caller.close()


def _send_piece(selector, key):
    try:
        sent = key.fileobj.send(key.data[0][:PIECE_BYTES])
    except BlockingIOError:
        return
    except OSError:
        selector.unregister(key.fileobj)
        return
    key.data[0] = key.data[0][sent:]
    if not key.data[0]:
        selector.unregister(key.fileobj)
