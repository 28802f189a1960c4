"""Monitor the target beside a loader and report its load to the gateways."""

import logging
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
    :ivar links: the :class:`~banyanshore.transport.LinkPool` to the gateways.
    """

    def __init__(self, settings, engine, registry, incarnation):
        self.engine = engine
        self.staging = StagingArea(engine)
        self.report = None
        self.is_loading = False
        self.links = None
        self._settings = settings
        self._registry = registry
        self._incarnation = incarnation
        self._sequence = 0
        self._last_sent = (None, 0.0)

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
        if content == last and now - sent_at < IDLE_REPORT_SECONDS:
            return
        self._last_sent = (content, now)
        self._sequence += 1
        message = self._make_message(report)
        hubs = choose_hubs(self._registry.members_of(GATEWAY_ROLE))
        for row in hubs_for(self._settings.data_centre, hubs):
            link = self.links.get(row.address, row.instance)
            await link.notify_or_drop(message)

    def _make_message(self, report):
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
        )
