"""The account of bytes and connections of a process, applied to its connections."""

import logging
import resource
import time

from banyanshore.core.byte_account import (
    CONNECTION_BYTES,
    DESCRIPTOR_FRACTION,
    MEMORY_FRACTION,
    ByteAccount,
)

logger = logging.getLogger(__name__)

# Memory in bytes and descriptors of a process whose settings say nothing.
DEFAULT_MEMORY_BYTES = 256_000_000
DEFAULT_DESCRIPTORS = 4096
# Callers that are logged one by one within a second; the next line counts the others.
MAX_LOGGED_IN_SECOND = 20
# Seconds between looks at the buffers of connections that are in use, and bytes that
# are written to one before the next look at it.
LOOK_SECONDS = 0.5
LOOK_BYTES = 64 * 1024


class CallerAccount:
    """Stop connections of callers that exceed the memory or descriptors of a process.

    :param memory_bytes: memory that the process may use.
    :param max_descriptors: descriptors that it may have; the limit of the system
        counts if it is lower.
    :param stopped: counter of the callers that were asked to stop, by ``stage`` and
        ``reason``, or ``None``.
    """

    def __init__(
        self,
        memory_bytes=DEFAULT_MEMORY_BYTES,
        max_descriptors=DEFAULT_DESCRIPTORS,
        stopped=None,
    ):
        limit = min(max_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.account = ByteAccount(
            int(MEMORY_FRACTION * memory_bytes), int(DESCRIPTOR_FRACTION * limit)
        )
        self._stopped = stopped
        self._logged_second = 0
        self._logged = 0
        self._unlogged = 0

    def has_way(self):
        """Return whether a connection may be accepted without stopping another."""
        return not self.account.needs_descriptor

    def make_way(self):
        """Stop a connection for one that waits, if there are as many as may be.

        :return: whether one may be accepted now.
        """
        account = self.account
        if account.needs_descriptor:
            share = account.choose_connection()
            if share is not None:
                self._stop(share, "descriptors")
        return not account.is_full

    def open(self):
        """Return the share of a connection that was accepted."""
        share = self.account.open(time.monotonic())
        self.make_room()
        return share

    def hold(self, share, size):
        """Set the bytes that are held for a caller, and make room for them."""
        self.account.hold(share, size, time.monotonic())
        if self.account.is_over:
            self.make_room()

    def hold_more(self, share, size):
        """Add to the bytes that are held for a caller."""
        self.hold(share, share.held - CONNECTION_BYTES + size)

    def record_written(self, share, size):
        """Record that bytes were given to the system for a caller."""
        share.unseen += size
        if share.unseen >= LOOK_BYTES:
            self.look_at(share)
            self.make_room()

    def look_at(self, share):
        """Count the bytes in the buffers of a connection."""
        unsent, unread = share.holder.count_buffered_bytes()
        now = time.monotonic()
        self.account.record_buffered(share, unsent + unread, now, unsent)

    def make_room(self):
        """Stop connections until the others are within the budget."""
        if not self.account.is_over:
            return
        for share in self.account.choose(time.monotonic()):
            self._stop(share, "memory")

    def _stop(self, share, reason):
        if self._stopped is not None:
            self._stopped.labels(share.stage.value, reason).inc()
        self._log(share, reason)
        share.holder.stop()

    def _log(self, share, reason):
        now = time.monotonic()
        if int(now) != self._logged_second:
            self._logged_second, self._logged = int(now), 0
        self._logged += 1
        if self._logged > MAX_LOGGED_IN_SECOND:
            self._unlogged += 1
            return
        unlogged, self._unlogged = self._unlogged, 0
        logger.warning(
            "caller asked to stop",
            extra={
                "why": reason,
                "stage": share.stage.value,
                "request_id": share.holder.request_id,
                "bytes": share.size,
                "without_progress": round(now - share.moved_at, 2),
                "bytes_of_all": self.account.total,
                "budget": self.account.budget,
                "not_logged_before": unlogged,
            },
        )
