"""End the requests of an entry that stops, and log what it leaves unfinished."""

import logging
import time

import anyio

from banyanshore.http.server import GRACEFUL_SECONDS
from banyanshore.http.unfinished import MAX_LOGGED, log_unfinished

logger = logging.getLogger(__name__)

# Seconds between checks whether all requests have ended.
CHECK_SECONDS = 0.02
# Seconds after the stop timeout within which an entry ends, whatever its callers do:
# one GRACEFUL_SECONDS for errors to the requests that are cut off, one for connections.
MAX_SECONDS_AFTER_TIMEOUT = 2 * GRACEFUL_SECONDS


class RequestsStop:
    """Wait for the requests of an entry, and end those that take too long.

    :param proxy: the :class:`~banyanshore.entry.proxy.Proxy`.
    :param claimed_calls: the :class:`~banyanshore.entry.claimed.ClaimedCalls`.
    :param servers: the :class:`~banyanshore.http.server.WebServer` instances.
    :param timeout: seconds for which requests are waited for.
    """

    def __init__(self, proxy, claimed_calls, servers, timeout):
        self._proxy = proxy
        self._claimed_calls = claimed_calls
        self._servers = servers
        self._ends_at = time.monotonic() + timeout
        self._is_forced = False
        for server in servers:
            server.is_closing = True

    async def wait(self, force_requested):
        """Wait until the requests have ended, the time is up or a stop is forced."""
        with anyio.move_on_after(self._ends_at - time.monotonic()):
            while self._is_busy() and not force_requested.is_set():
                await anyio.sleep(CHECK_SECONDS)
        self._is_forced = force_requested.is_set()
        if self._is_busy():
            await self._cut_off()

    def get_close_seconds(self):
        """Return the seconds that open connections get to deliver their answers."""
        if self._is_forced:
            return GRACEFUL_SECONDS
        return max(GRACEFUL_SECONDS, self._ends_at - time.monotonic())

    def log_unfinished(self):
        """Log the requests that were cut off or not delivered when servers ended."""
        log_unfinished([row for server in self._servers for row in server.unfinished])

    def _is_busy(self):
        return (
            self._proxy.in_flight
            or self._claimed_calls.pending_proposals
            or any(True for _ in self._iter_active())
        )

    def _iter_active(self):
        for server in self._servers:
            yield from server.iter_active()

    async def _cut_off(self):
        """End all requests; their callers are told, if they read their answers."""
        active = list(self._iter_active())
        calls = self._proxy.end_all()
        for request in active:
            request.refuse_body("Entry is leaving")
        logger.error(
            "stopped with requests cut off",
            extra={
                "cut": len(active),
                "request_ids": [request.id for request in active[:MAX_LOGGED]],
                "calls": calls[:MAX_LOGGED],
            },
        )
        with anyio.move_on_after(GRACEFUL_SECONDS):
            while self._is_busy():
                await anyio.sleep(CHECK_SECONDS)
