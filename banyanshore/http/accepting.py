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
# Seconds until the next attempt while connections that were stopped end.
FULL_SECONDS = 0.005


class Acceptor:
    """Accept connections on an address.

    :param listener: the anyio listener, whose own acceptance isn't used.
    """

    def __init__(self, listener):
        self._listener = listener
        self._waiting = anyio.CancelScope()

    async def run(self, start, callers):
        """Accept connections until :meth:`stop`, then those that still wait.

        :param start: function that is called with each accepted socket.
        :param callers: the :class:`~banyanshore.http.caller_account.CallerAccount`; if
            it has no room for one more, it is asked again after :data:`FULL_SECONDS`.
        """
        attribute = anyio.abc.SocketAttribute.raw_socket
        sockets = [item.extra(attribute) for item in self._listener.listeners]
        async with self._listener:
            with self._waiting:
                async with anyio.create_task_group() as tasks:
                    for item in sockets:
                        tasks.start_soon(self._accept_forever, item, start, callers)
            for item in sockets:
                _accept_all(item, start)

    def stop(self):
        """Accept no connections but those that already wait."""
        self._waiting.cancel()

    async def _accept_forever(self, listening, start, callers):
        while True:
            await anyio.wait_readable(listening)
            if not callers.make_way():
                await anyio.sleep(FULL_SECONDS)
            elif not _accept_all(listening, start, callers.has_way):
                await anyio.sleep(RETRY_SECONDS)


async def open_acceptor(address, receive_buffer):
    """Listen on an address, and return the :class:`Acceptor`.

    :param address: ``HOST:PORT``.
    :param receive_buffer: bytes that the system keeps for each connection until they
        are read.
    :raises BindError: the address can't be listened on.
    """
    host, port = split_address(address)
    try:
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=BACKLOG, reuse_port=False
        )
    except OSError as error:
        raise BindError(address, error) from error
    for item in listener.listeners:
        raw = item.extra(anyio.abc.SocketAttribute.raw_socket)
        # Connections inherit it.
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    return Acceptor(listener)


def _accept_all(listening, start, may_accept_more=lambda: True):
    """Accept the connections that wait; return whether the system allowed it."""
    while True:
        try:
            raw, _ = listening.accept()
        except BlockingIOError:
            return True
        except ConnectionAbortedError:
            continue
        except OSError as error:
            logger.warning("connection not accepted", extra={"why": str(error)})
            return False
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        start(raw)
        if not may_accept_more():
            return True
