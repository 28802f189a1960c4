"""Accept connections so that none is lost when accepting ends.

Load pattern: callers connect while a process stops. Closing a listening socket resets
the connections that wait to be accepted, and cancelling an acceptance drops the
connection that it has taken, though their callers may have sent requests.
"""

import logging
import socket

import anyio

from banyanshore.core.exceptions import BindError
from banyanshore.transport.links import split_address

logger = logging.getLogger(__name__)

# Connections that may wait to be accepted.
BACKLOG = 1024
# Seconds until the next attempt after the system had no descriptor or memory left.
RETRY_SECONDS = 0.1


class Acceptor:
    """Accept connections on an address.

    :param address: ``HOST:PORT``.
    :raises BindError: the address can't be listened on.
    """

    def __init__(self, address):
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            self._socket = socket.create_server(
                (host, port), family=family, backlog=BACKLOG
            )
        except OSError as error:
            raise BindError(address, error) from error
        self._socket.setblocking(False)
        self._waiting = anyio.CancelScope()

    async def run(self, start):
        """Accept connections until :meth:`stop`, then those that still wait.

        :param start: function that is called with each accepted socket.
        """
        with self._socket:
            with self._waiting:
                while True:
                    await anyio.wait_readable(self._socket)
                    if not self._accept_all(start):
                        await anyio.sleep(RETRY_SECONDS)
            self._accept_all(start)

    def stop(self):
        """Accept no connections but those that already wait."""
        self._waiting.cancel()

    def _accept_all(self, start):
        """Accept the connections that wait; return whether the system allowed it."""
        while True:
            try:
                raw, _ = self._socket.accept()
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue
            except OSError as error:
                logger.warning("connection not accepted", extra={"why": str(error)})
                return False
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            start(raw)
