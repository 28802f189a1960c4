"""Upload chunks to peers within a bandwidth budget, yielding to requests."""

import time
from collections import Counter
from contextlib import contextmanager

import anyio

from banyanshore.routing.budgets import ByteBudget
from banyanshore.weights.messages import ChunkPiece
from banyanshore.weights.pacing import MAX_PIECE_BYTES, PacingOptions, UploadPacer


class Uploads:
    """Send chunks of all versions from one agent to its peers.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    :param metrics: the :class:`~banyanshore.telemetry.metrics.AgentMetrics`.
    """

    def __init__(self, settings, metrics):
        options = settings.weights
        self._own_data_centre = settings.data_centre
        self._target_delay = options.yield_delay_seconds
        self._budget = ByteBudget(options.upload_bytes_per_second)
        self._metrics = metrics
        self._pacer_by_data_centre = {}
        self._active = Counter()

    @property
    def active(self):
        """Return the number of uploads in progress."""
        return self._active.total()

    def has_room(self, data_centre):
        """Return whether another upload to a data centre may start now."""
        pacer = self._pacer(data_centre)
        return pacer is None or self._active[data_centre] < pacer.max_uploads()

    @contextmanager
    def track(self, data_centre):
        """Count an upload to a data centre while the context is active."""
        self._active[data_centre] += 1
        try:
            yield
        finally:
            self._active[data_centre] -= 1

    async def send(self, data_centre, data, responder):
        """Send a chunk in pieces; the last piece finishes the call."""
        pacer = self._pacer(data_centre)
        start = 0
        while start < len(data):
            size = MAX_PIECE_BYTES if pacer is None else pacer.piece_bytes()
            piece = data[start : start + size]
            start += len(piece)
            await self._wait_for_room(pacer, len(piece))
            self._metrics.weight_bytes.labels("sent").inc(len(piece))
            send = responder.finish if start == len(data) else responder.send
            sent_at = time.monotonic() if pacer is not None else 0.0
            await send(ChunkPiece(piece, sent_at))

    def record_received(self, peer, receipt):
        """Record a :class:`~banyanshore.weights.messages.PieceReceived`.

        :param peer: instance that sent it.
        """
        pacer = self._pacer(receipt.data_centre)
        if pacer is not None:
            now = time.monotonic()
            pacer.record_delivery(now, peer, receipt.size, receipt.delay)
            rate = self._metrics.upload_rate.labels(receipt.data_centre)
            rate.set(pacer.rate)

    async def _wait_for_room(self, pacer, size):
        await anyio.sleep(self._budget.seconds_until_room(time.monotonic()))
        if pacer is not None:
            await anyio.sleep(pacer.reserve(time.monotonic(), size))
        self._budget.spend(time.monotonic(), size)

    def _pacer(self, data_centre):
        """Return the pacer for a data centre, ``None`` if uploads to it need none."""
        if not self._target_delay or data_centre in ("", self._own_data_centre):
            return None
        pacer = self._pacer_by_data_centre.get(data_centre)
        if pacer is None:
            pacer = UploadPacer(PacingOptions(self._target_delay))
            self._pacer_by_data_centre[data_centre] = pacer
        return pacer
