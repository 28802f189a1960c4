"""Load versions into the target: stage chunks, notify gateways, order and wait."""

import logging
import time

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.loader.decisions import Action, LoaderState, next_action
from banyanshore.loader.target_turn import TargetTurn
from banyanshore.weights.staged import OrderOutcome, StagedEngineError

logger = logging.getLogger(__name__)

# Seconds between the report that the target is about to load and the load order, so
# that the gateways receive the report first.
NOTICE_SECONDS = 0.08
# Seconds in which a request that a gateway has sent arrives over a link that is not
# congested.
ARRIVAL_SECONDS = 0.1
# Seconds before a load order that had no effect is retried.
ORDER_RETRY_SECONDS = 0.1


class LoadDriver:
    """Load the desired version into the target.

    :param loader: the :class:`~banyanshore.loader.process.Loader`.
    """

    def __init__(self, loader):
        self._loader = loader
        self._settings = loader.settings
        self._target = loader.target
        self._turn = TargetTurn(loader)

    async def run(self):
        """Load each desired version into the target, until cancelled."""
        while True:
            await anyio.sleep(self._settings.report_interval / 3)
            self._loader.rosters.release_held()
            desired_version, transfer = (
                self._loader.desired_version(),
                self._loader.transfer,
            )
            if (
                desired_version is None
                or transfer is None
                or transfer.version != desired_version.version
            ):
                continue
            load_at = self._turn.plan(desired_version, transfer)
            self._target.is_loading = self._turn.is_draining
            layers = desired_version.layers
            state = LoaderState(
                self._target.report,
                layers,
                desired_version.version,
                transfer.completed.is_set(),
                load_at,
                transfer.has_first_layer(layers),
                self._is_outdated(desired_version),
            )
            action = next_action(time.monotonic(), state)
            if action is Action.LOAD:
                await self._load(desired_version, transfer)
            elif action is Action.UNLOAD:
                await self._unload_older(desired_version, transfer)

    def _is_outdated(self, desired_version):
        """Return whether requests to the target's version should have arrived."""
        report = self._target.report
        model = desired_version.model
        if report is None or report.model != model:
            return False
        sent_at = boottime_now() - ARRIVAL_SECONDS
        oldest = self._loader.versions.oldest_allowed_version(sent_at, model)
        return report.model_version < oldest

    async def _load(self, desired_version, transfer):
        """Have the target load all layers of a version."""
        try:
            check = await transfer.stage_all()
            self._target.is_loading = True
            await self._target.send_report()
            await anyio.sleep(NOTICE_SECONDS)
            await self._order(desired_version, transfer, None, check)
        except StagedEngineError as error:
            await self._wait_after_failure(error)
        finally:
            self._target.is_loading = False

    async def _unload_older(self, desired_version, transfer):
        """Have the target load the first layer of a version in place of an older one.

        The gateways need no notice, since they don't use the older version any more.
        """
        try:
            check = await transfer.stage_first_layer(desired_version.layers)
            await self._order(desired_version, transfer, 1, check)
        except StagedEngineError as error:
            await self._wait_after_failure(error)

    async def _wait_after_failure(self, error):
        logger.warning("load not ordered", extra={"why": str(error)})
        await anyio.sleep(ORDER_RETRY_SECONDS)

    def _may_order(self, transfer, check):
        """Return whether what was staged and verified is still what is to be loaded."""
        # Chunks of a newer version may have been staged meanwhile.
        is_current = self._loader.transfer is transfer
        is_staged = self._target.staging.version == transfer.version
        return is_current and is_staged and check.is_valid(boottime_now())

    async def _order(self, desired_version, transfer, end_layer, check):
        """Order the load of a version, and wait until it has ended.

        :param end_layer: layer after the last one to load, ``None`` for all.
        :param check: the :class:`~banyanshore.loader.decisions.StagedCheck`.
        :raises StagedEngineError: the order was not sent since the check doesn't hold
            any more, or it may or may not have arrived.
        """
        async with self._target.staging.lock:
            outcome = await self._target.engine.load(
                desired_version.model,
                desired_version.version,
                end_layer,
                lambda: self._may_order(transfer, check),
            )
        self._loader.metrics.loads.labels(outcome).inc()
        logger.info(
            "load ordered",
            extra={
                "model_version": desired_version.version,
                "end_layer": end_layer,
                "outcome": outcome,
                "mended": check.restaged,
                "check_age": round(boottime_now() - check.began_at, 3),
                "since_heard": round(boottime_now() - desired_version.known_since, 2),
            },
        )
        if outcome in (OrderOutcome.STARTED, OrderOutcome.IN_EFFECT):
            await self._wait_until_loaded(desired_version)
        else:
            await anyio.sleep(ORDER_RETRY_SECONDS)

    async def _wait_until_loaded(self, desired_version):
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
                "end_layer": report.end_layer,
                "since_heard": round(boottime_now() - desired_version.known_since, 2),
            },
        )
        self._target.is_loading = False
        await self._target.send_report()
