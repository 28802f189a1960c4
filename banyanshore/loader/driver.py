"""Carry out what is decided about loading: stage, tell the gateways, order, wait."""

import logging
import time

import anyio

from banyanshore.loader.decisions import (
    Action,
    Situation,
    find_turn,
    load_time,
    may_drain,
    next_action,
)
from banyanshore.weights.staged import OrderOutcome, StagedEngineError

logger = logging.getLogger(__name__)

# Seconds between a report that the target is about to load and the order, in which the
# gateways hear of it.
NOTICE_SECONDS = 0.08
# Seconds before an order that had no effect is looked at again.
ORDER_RETRY_SECONDS = 0.5


class LoadDriver:
    """Bring the target to the version that is wanted.

    :param loader: the :class:`~banyanshore.loader.process.Loader`.
    """

    def __init__(self, loader):
        self._loader = loader
        self._settings = loader.settings
        self._target = loader.target

    async def run(self):
        """Have the target load what is wanted, until cancelled."""
        while True:
            await anyio.sleep(self._settings.report_interval / 3)
            wanted, transfer = self._loader.wanted(), self._loader.transfer
            if wanted is None or transfer is None or transfer.version != wanted.version:
                continue
            turn = find_turn(
                self._settings.instance, self._loader.rosters.loaders(), wanted.version
            )
            self._target.is_loading = self._must_drain(wanted, transfer, turn)
            situation = Situation(
                self._target.report,
                wanted.layers,
                wanted.version,
                transfer.completed.is_set(),
                load_time(turn, transfer.completed_at, self._switch_at(wanted)),
            )
            if next_action(time.monotonic(), situation) is Action.LOAD:
                await self._load(wanted, transfer)

    def _switch_at(self, wanted):
        return wanted.known_since + self._settings.version_switch_seconds

    def _must_drain(self, wanted, transfer, turn):
        report = self._target.report
        if report is None or not 0 < report.model_version < wanted.version:
            return False
        now = time.monotonic()
        return may_drain(
            turn,
            transfer.progress,
            now - wanted.known_since,
            transfer.seconds_without_chunk(now),
        )

    async def _load(self, wanted, transfer):
        try:
            mended = await transfer.stage_all()
            self._target.is_loading = True
            await self._target.send_report()
            await anyio.sleep(NOTICE_SECONDS)
            outcome = await self._target.engine.load(wanted.model, wanted.version)
            self._loader.metrics.loads.labels(outcome).inc()
            logger.info(
                "load ordered",
                extra={
                    "model_version": wanted.version,
                    "outcome": outcome,
                    "mended": mended,
                    "since_heard": round(time.monotonic() - wanted.known_since, 2),
                },
            )
            if outcome in (OrderOutcome.STARTED, OrderOutcome.IN_EFFECT):
                await self._wait_until_loaded(wanted)
            else:
                await anyio.sleep(ORDER_RETRY_SECONDS)
        except StagedEngineError as error:
            logger.warning("load not ordered", extra={"why": str(error)})
            await anyio.sleep(ORDER_RETRY_SECONDS)
        finally:
            self._target.is_loading = False

    async def _wait_until_loaded(self, wanted):
        while True:
            report = await self._target.engine.read_report()
            if not report.is_busy:
                break
            await anyio.sleep(self._settings.report_interval / 3)
        self._target.report = report
        logger.info(
            "load ended",
            extra={
                "model_version": report.model_version,
                "since_heard": round(time.monotonic() - wanted.known_since, 2),
            },
        )
        self._target.is_loading = False
        await self._target.send_report()
