"""Load the desired version: fetch it, get a load permit, order the load, confirm."""

import enum
import logging
import time
from dataclasses import replace

import anyio

from banyanshore.agent.turns import LoadPermits
from banyanshore.engines import EngineError, EngineRefusedError, LoadOrder
from banyanshore.membership.messages import TargetStatus
from banyanshore.state.rollouts import LoadPermitStatus
from banyanshore.weights.transfer import Transfer
from banyanshore.weights.uploads import Uploads

logger = logging.getLogger(__name__)

# Seconds between attempts to load, and to reach a target that doesn't respond.
RETRY_SECONDS = 0.5
# Seconds between checks whether a target has settled after a load.
SETTLE_CHECK_SECONDS = 0.05


class LoadResult(enum.Enum):
    """Known result of a load order."""

    LOADED = "loaded"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_STATUS_BY_RESULT = {
    LoadResult.LOADED: LoadPermitStatus.DONE,
    LoadResult.REFUSED: LoadPermitStatus.FAILED,
    LoadResult.UNKNOWN: LoadPermitStatus.UNKNOWN,
}


def has_ended(order, health):
    """Return whether a load order has certainly ended, given a health report.

    It has ended if it was executed, or if the target has restarted since.

    :param order: the :class:`~banyanshore.state.rollouts.LoadPermitRow` of the order.
    :param health: the :class:`~banyanshore.engines.base.EngineHealth` of the target.
    """
    if health.incarnation != order.target:
        return True
    return (health.model, health.model_version) == (order.model, order.version)


class RolloutDriver:
    """Load the desired version into the target of one agent.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    :param call_entry: async callable that sends a call to an entry.
    :ivar loaded: model and version that are loaded; both are empty if none is, or if
        that isn't certain.
    """

    def __init__(
        self, settings, engine, store, origin, links, rosters, state, announcer,
        admission, metrics, call_entry,
    ):  # fmt: skip
        self._settings = settings
        self._engine = engine
        self._store = store
        self._origin = origin
        self._links = links
        self._rosters = rosters
        self._state = state
        self._announcer = announcer
        self._admission = admission
        self._metrics = metrics
        self._permits = LoadPermits(
            settings, call_entry, lambda: self.loaded != ("", "")
        )
        # Set when the desired state changes or the target must be reloaded.
        self._changed = anyio.Event()
        self._highest_fence = (0, 0)
        self._must_reload = False
        # Time by which a load order of this agent's earlier incarnation has expired.
        self._takeover_deadline = time.monotonic() + settings.engine.load_timeout
        self._has_taken_over = False
        # Whether the target may still execute a load order that this agent gave up.
        self._is_uncertain = False
        # Spec for which a permit was requested and not released yet, or None.
        self._permit_spec = None
        self.uploads = Uploads(settings, metrics)
        self.transfer = None
        self.loaded = ("", "")
        state.on_change.append(self._on_state)

    def _on_state(self, desired):
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def on_health(self, health):
        """Compare the version that the target reports with the loaded one."""
        if not self._engine.has_weights:
            return
        self._observe_incarnation(health)
        reported = (health.model, health.model_version)
        if self.loaded != ("", "") and reported != self.loaded:
            logger.warning(
                "target reports version %r, ordered %r; it gets no requests until "
                "it is loaded again",
                health.model_version,
                self.loaded[1],
            )
            self._set_loaded(("", ""))
            self._must_reload = True
            self._on_state(None)

    async def run(self):
        """Load each desired version, until cancelled."""
        if not self._engine.has_weights:
            return
        while True:
            changed = self._changed
            desired = self._state.desired
            spec = desired and desired.model_of_service(self._settings.service)
            async with anyio.create_task_group() as tasks:
                if spec is not None:
                    tasks.start_soon(self._roll_out, spec)
                await self._wait_for_other_spec(changed, spec)
                # Another version cancels the transfer of this one immediately; chunks
                # that both share stay in the store.
                tasks.cancel_scope.cancel()

    async def _wait_for_other_spec(self, changed, spec):
        while True:
            await changed.wait()
            changed = self._changed
            desired = self._state.desired
            other = desired.model_of_service(self._settings.service)
            if (other and other.weights) != (spec and spec.weights):
                return
            if self._must_reload:
                self._must_reload = False
                return

    async def _roll_out(self, spec):
        desired_version = (spec.name, spec.version)
        self.transfer = Transfer(
            self._settings,
            spec,
            self._store,
            self._origin,
            self._links,
            self._rosters,
            self._metrics,
            self.uploads,
            self._serves_model(spec),
        )
        # Other data centres may be in the middle of the first transfer of an agent.
        self.transfer.asks_other_data_centres = not self._has_taken_over
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.transfer.run)
            if self._permit_spec is not None:
                await self._release_unused_permit()
            await self._take_over(spec)
            is_decided = self.loaded == desired_version or self._is_uncertain
            if not is_decided and await self._is_serving(desired_version):
                self._set_loaded(desired_version)
            await self.transfer.completed.wait()
            self._announcer.ready_version = spec.version
            if self.loaded != desired_version:
                await self._load(spec)
            self._store.keep_only(self.transfer.manifest.chunk_digests)

    async def _take_over(self, spec):
        """Wait for the end of a load order of this agent's earlier incarnation.

        Until it has ended, the target may change its version at any time, whatever
        version it reports.
        """
        if self._has_taken_over:
            return
        order = await self._permits.find_open_order(spec, self._takeover_deadline)
        if order is not None:
            logger.info("load order for version %s is open", order.version)
            self._is_uncertain = not await self._wait_for_order_end(order)
            if not self._is_uncertain:
                ended = replace(spec, version=order.version)
                await self._permits.report(ended, LoadPermitStatus.DONE)
        self._has_taken_over = True

    async def _wait_for_order_end(self, order):
        """Return whether an order has certainly ended before it expires."""
        while time.monotonic() < self._takeover_deadline:
            try:
                if has_ended(order, await self._engine.health()):
                    return True
            except EngineError as error:
                logger.debug("health check of the target failed: %s", error)
            await anyio.sleep(RETRY_SECONDS)
        return False

    def _serves_model(self, spec):
        def serves_model(service):
            model = self._state.desired.model_of_service(service)
            return model is not None and model.name == spec.name

        return serves_model

    async def _is_serving(self, expected):
        """Return whether the target reports this model and version as loaded."""
        try:
            health = await self._engine.health()
        except EngineError:
            return False
        return (health.model, health.model_version) == expected

    async def _release_unused_permit(self):
        """Release the permit of a cancelled load and serve the loaded version again."""
        await self._serve_loaded()
        status = (
            LoadPermitStatus.UNKNOWN if self._is_uncertain else LoadPermitStatus.DONE
        )
        await self._permits.report(self._permit_spec, status)
        self._permit_spec = None

    async def _load(self, spec):
        await self._put_chunks(spec)
        while not self._is_leaving:
            await self._wait_for_incarnation()
            self._permit_spec = spec
            permit_fence = await self._permits.acquire(spec)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._permits.renew_forever, spec)
                result = await self._load_with_permit(spec, permit_fence)
                tasks.cancel_scope.cancel()
            if result is None:
                await self._release_unused_permit()
                return
            await self._permits.report(spec, _STATUS_BY_RESULT[result])
            self._permit_spec = None
            if result is LoadResult.LOADED:
                return
            await anyio.sleep(RETRY_SECONDS)

    async def _load_with_permit(self, spec, permit_fence):
        """Order the load; return its result, or ``None`` if this agent leaves first."""
        incarnation = self._permits.target_incarnation
        await self._stop_serving()
        while self._permits.has_expired():
            # This process was paused, and others may load now: serve meanwhile.
            await self._serve_loaded()
            permit_fence = await self._permits.acquire(spec)
            await self._stop_serving()
        await self._wait_for_incarnation()
        if self._permits.target_incarnation != incarnation:
            # The permit must name the incarnation that receives the order.
            permit_fence = await self._permits.acquire(spec)
        if self._is_leaving:
            return None
        # A sent order can't be revoked, so whatever version is desired by then, no
        # request is admitted until the result of the order is known.
        with anyio.CancelScope(shield=True):
            result = await self._order_load(spec, permit_fence)
            await self._apply_result(spec, result)
        if result is LoadResult.LOADED:
            await self._wait_until_settled()
        return result

    async def _apply_result(self, spec, result):
        if result is not LoadResult.REFUSED:
            # A refusal says nothing about earlier orders.
            self._is_uncertain = result is LoadResult.UNKNOWN
        if result is LoadResult.LOADED:
            self._set_loaded((spec.name, spec.version))
            await self._announcer.announce()
        elif result is LoadResult.REFUSED:
            await self._restore_previous()
        else:
            # The target may still be loading, so it serves nothing until it has loaded.
            self._set_loaded(("", ""))
            await self._announcer.announce()

    async def _wait_for_incarnation(self):
        """Wait until the target reports its incarnation."""
        while True:
            try:
                self._observe_incarnation(await self._engine.health())
                return
            except EngineError as error:
                logger.debug("health check of the target failed: %s", error)
                await anyio.sleep(RETRY_SECONDS)

    def _observe_incarnation(self, health):
        if health.incarnation != self._permits.target_incarnation:
            # Orders to an earlier incarnation have ended with it.
            self._permits.target_incarnation = health.incarnation
            self._is_uncertain = False

    async def _wait_until_settled(self):
        """Keep the permit until the target can take the requests offered to it."""
        settings = self._settings
        cold_since = time.monotonic()
        with anyio.move_on_after(settings.settle_seconds):
            while not self._admission.has_settled(
                time.monotonic(), cold_since, settings.settle_quiet_seconds
            ):
                await anyio.sleep(SETTLE_CHECK_SECONDS)

    async def _restore_previous(self):
        """Serve the previous version again if the target still reports it as loaded."""
        previous = self.loaded
        is_still_loaded = previous != ("", "") and await self._is_serving(previous)
        self._set_loaded(previous if is_still_loaded else ("", ""))
        await self._announcer.announce()

    async def _put_chunks(self, spec):
        """Send all chunks to the target."""
        manifest = self.transfer.manifest
        order = self._build_order(spec, (0, 0))
        index = 0
        while index < manifest.chunk_count:
            digest = manifest.chunk_digests[index]
            data = await anyio.to_thread.run_sync(self._store.get, digest)
            try:
                await self._engine.put_chunk(order, index, data)
                index += 1
            except EngineError as error:
                logger.warning("chunk %d not sent to the target: %s", index, error)
                await anyio.sleep(RETRY_SECONDS)

    @property
    def _is_leaving(self):
        return self._announcer.status == TargetStatus.LEAVING

    async def _stop_serving(self):
        if not self._is_leaving:
            self._announcer.status = TargetStatus.LOADING
            await self._announcer.announce()
        await self._wait_until_idle()

    async def _serve_loaded(self):
        """Serve the loaded version again, if the target was about to load another."""
        if self._announcer.status == TargetStatus.LOADING:
            self._announcer.status = self._loaded_status()
            await self._announcer.announce()

    async def _wait_until_idle(self):
        while self._admission.in_flight or self._admission.foreign:
            await anyio.sleep(0.02)

    async def _order_load(self, spec, permit_fence):
        desired = self._state.desired.fence
        self._highest_fence = max(
            self._highest_fence, permit_fence, (desired.term, desired.index)
        )
        order = self._build_order(spec, self._highest_fence)
        try:
            await self._engine.load(order)
            return LoadResult.LOADED
        except EngineRefusedError as error:
            logger.error("target refused version %s: %s", spec.version, error)
            return LoadResult.REFUSED
        except EngineError as error:
            logger.error("target did not load version %s: %s", spec.version, error)
            return LoadResult.UNKNOWN

    def _build_order(self, spec, fence):
        manifest = self.transfer.manifest
        return LoadOrder(
            spec.name, spec.version, fence, manifest.chunk_digests, manifest.length
        )

    def _set_loaded(self, loaded):
        self.loaded = loaded
        self._announcer.model, self._announcer.model_version = loaded
        if not self._is_leaving:
            self._announcer.status = self._loaded_status()
        self._admission.become_cold()

    def _loaded_status(self):
        is_loaded = self.loaded != ("", "")
        return TargetStatus.SERVING if is_loaded else TargetStatus.STARTING
