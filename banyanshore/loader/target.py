"""Monitor the target beside a loader and report its load to the gateways."""

import logging
import math
import time

import anyio

from banyanshore.loader.staging import StagingArea
from banyanshore.membership.feed import GATEWAY_ROLE
from banyanshore.membership.hubs import choose_hubs, hubs_for
from banyanshore.membership.load_reports import LoadReport
from banyanshore.weights.staged import StagedEngineError

logger = logging.getLogger(__name__)

# Seconds between reports while the load doesn't change.
IDLE_REPORT_SECONDS = 1.0
# Change of the time at which the target is expected to serve that is reported at once,
# in seconds; callers are told times of about this precision.
READY_CHANGE_SECONDS = 0.4


class TargetMonitor:
    """Read the load of the target and report it to the gateways.

    :param settings: the :class:`~banyanshore.conf.registered.LoaderSettings`.
    :param engine: the :class:`~banyanshore.weights.staged.StagedEngine`.
    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param incarnation: incarnation of this loader.
    :ivar report: the last :class:`~banyanshore.weights.staged.EngineReport`, ``None``
        while the target doesn't respond.
    :ivar staging: the :class:`~banyanshore.loader.staging.StagingArea`.
    :ivar is_loading: whether the target is loading or about to load.
    :ivar expect_ready: callable that returns the seconds until the target is expected
        to serve the version that it should, ``inf`` if unknown.
    :ivar links: the :class:`~banyanshore.transport.LinkPool` to the gateways.
    """

    def __init__(self, settings, engine, registry, incarnation):
        self.engine = engine
        self.staging = StagingArea(engine)
        self.report = None
        self.is_loading = False
        self.expect_ready = lambda: math.inf
        self.links = None
        self._settings = settings
        self._registry = registry
        self._incarnation = incarnation
        self._sequence = 0
        self._last_sent = (None, 0.0)
        # Time at which the last sent report expects the target to serve.
        self._last_ready_at = math.inf

    async def run(self):
        """Read and report the load until cancelled."""
        while True:
            await self._read_report()
            await self.send_report()
            await anyio.sleep(self._settings.report_interval)

    async def _read_report(self):
        had_target = self.report is not None
        try:
            self.report = await self.engine.read_report()
        except StagedEngineError as error:
            self.report = None
            if had_target:
                logger.warning("target lost", extra={"why": str(error)})
            return
        if not had_target:
            version = self.report.model_version
            logger.info("target reached", extra={"model_version": version})

    async def send_report(self):
        """Report the load to the gateways if it changed or the last report is old."""
        report = self.report
        if report is None:
            return
        content = (report, self.is_loading)
        last, sent_at = self._last_sent
        now = time.monotonic()
        ready_in = self.expect_ready()
        is_same = content == last and not self._is_ready_changed(now, ready_in)
        if is_same and now - sent_at < IDLE_REPORT_SECONDS:
            return
        self._last_sent = (content, now)
        self._last_ready_at = now + ready_in
        self._sequence += 1
        message = self._make_message(report, ready_in)
        hubs = choose_hubs(self._registry.members_of(GATEWAY_ROLE))
        for row in hubs_for(self._settings.data_centre, hubs):
            link = self.links.get(row.address, row.instance)
            await link.notify_or_drop(message)

    def _is_ready_changed(self, now, ready_in):
        """Return whether the target is expected to serve at another time than told.

        A target that is ready, or of which nothing is known, remains so.
        """
        last = max(now, self._last_ready_at)
        if math.inf in (last, ready_in):
            return last != ready_in
        return abs(now + ready_in - last) > READY_CHANGE_SECONDS

    def _make_message(self, report, ready_in):
        return LoadReport(
            self._settings.target_address,
            self._incarnation,
            self._sequence,
            report.model,
            report.model_version,
            report.end_layer,
            report.active,
            report.queued,
            report.pace,
            self.is_loading,
            round(ready_in, 2),
            report.memory_used,
        )
