"""Callers of an entry that read slowly, send slowly, or send further requests."""

import contextlib
import re
import socket
import threading
import time

_LENGTH = re.compile(rb"content-length: (\d+)\r\n", re.IGNORECASE)
END_OF_HEAD = b"\r\n\r\n"
# End of an answer that was sent in chunks.
LAST_CHUNK = b"\r\n0\r\n\r\n"
# Bytes that a caller reads at a time.
READ_BYTES = 16 * 1024
# Seconds after which a caller gives up.
TIMEOUT = 20.0


class RawCaller:
    """A caller with one connection, which runs in a thread.

    :param receive_buffer: ``SO_RCVBUF`` in bytes, ``None`` for the system's own size.
    :param bytes_per_second: rate at which it reads, ``None`` for as fast as it can.
    :ivar received: all bytes that were received.
    :ivar error: name of the error that ended the connection, empty for an orderly end.
    :ivar began: event that is set once the first bytes were received.
    """

    def __init__(self, port, receive_buffer=None, bytes_per_second=None):
        self._socket = socket.socket()
        if receive_buffer:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._socket.settimeout(TIMEOUT)
        self._socket.connect(("127.0.0.1", port))
        self._bytes_per_second = bytes_per_second
        self._reader = threading.Thread(target=self._read)
        self._sender = None
        self.received = bytearray()
        self.error = ""
        self.began = threading.Event()
        self.ended = threading.Event()

    def ask(self, method, path, body=b"", headers=()):
        """Send a request, and read its answer in the background."""
        self.ask_raw(make_request(method, path, body, headers))

    def ask_raw(self, data):
        """Send the end of a request, and read its answer in the background."""
        self.send(data)
        self._reader.start()

    def send(self, data):
        """Send bytes."""
        self._socket.sendall(data)

    def keep_sending(self, data, interval):
        """Send bytes again and again in the background, until the connection ends."""

        def send():
            with contextlib.suppress(OSError):
                while not self.ended.wait(interval):
                    self.send(data)

        self._sender = threading.Thread(target=send)
        self._sender.start()

    def _read(self):
        try:
            while data := self._socket.recv(READ_BYTES):
                self.received += data
                self.began.set()
                if self._is_whole():
                    break
                if self._bytes_per_second:
                    time.sleep(len(data) / self._bytes_per_second)
        except OSError as error:
            self.error = type(error).__name__
        self.began.set()
        self.ended.set()

    def _is_whole(self):
        head_end = self.received.find(END_OF_HEAD) + len(END_OF_HEAD)
        if head_end < len(END_OF_HEAD):
            return False
        length = _LENGTH.search(self.received, 0, head_end)
        if length is None:
            # The answer to a further request may follow in the bytes read last.
            last = len(self.received) - READ_BYTES - len(LAST_CHUNK)
            return self.received.find(LAST_CHUNK, max(head_end, last)) >= 0
        return len(self.received) - head_end >= int(length[1])

    def wait(self):
        """Wait until the first answer is whole or the connection has ended."""
        self._reader.join()
        if self._sender is not None:
            self._sender.join()
        self._socket.close()

    @property
    def status(self):
        """Return the status of the first answer if it is whole, else 0."""
        return int(self.received.split(b" ", 2)[1]) if self._is_whole() else 0


def make_request(method, path, body=b"", headers=()):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "host: a.example", *headers]
    if body:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body
