"""Bring the target to the intended version: fetch, wait for a turn, load, confirm."""

import enum
import logging
import time
from dataclasses import replace

import anyio

from banyanshore.agent.turns import Turns
from banyanshore.engines import EngineError, EngineRefusedError, LoadOrder
from banyanshore.membership.messages import TargetStatus
from banyanshore.state.rollouts import LoadPermitStatus
from banyanshore.weights.transfer import Transfer
from banyanshore.weights.uploads import Uploads

logger = logging.getLogger(__name__)

# Seconds between attempts to load, and to reach a target that doesn't answer.
RETRY_SECONDS = 0.5
# Seconds between looks at whether a target that has loaded bears work again.
SETTLE_CHECK_SECONDS = 0.05


class LoadResult(enum.Enum):
    """What is known of an order to load."""

    LOADED = "loaded"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_STATUS_BY_RESULT = {
    LoadResult.LOADED: LoadPermitStatus.DONE,
    LoadResult.REFUSED: LoadPermitStatus.FAILED,
    LoadResult.UNKNOWN: LoadPermitStatus.UNKNOWN,
}


def has_ended(order, health):
    """Tell whether an order to load has certainly ended, by what its target reports.

    It has if it was carried out, or if the target has started anew since.

    :param order: the :class:`~banyanshore.state.rollouts.LoadPermitRow` that tells of
        it.
    """
    if health.incarnation != order.target:
        return True
    return (health.model, health.model_version) == (order.model, order.version)


class RolloutDriver:
    """Follow the desired state with the target of one agent.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    :param ask_entry: async callable that sends a call to an entry.
    """

    def __init__(
        self, settings, engine, store, origin, links, rosters, state, announcer,
        admission, metrics, ask_entry,
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
        self._turns = Turns(settings, ask_entry, lambda: self.loaded != ("", ""))
        self._changed = anyio.Event()
        self._highest_fence = (0, 0)
        self._must_reload = False
        # Time at which an order of an agent before this one has run out.
        self._takeover_deadline = time.monotonic() + settings.engine.load_timeout
        self._has_taken_over = False
        # Whether the target may still carry out an order to load that was given up.
        self._is_uncertain = False
        # What a turn has been asked for and not given back yet, if anything.
        self._turn_spec = None
        self.uploads = Uploads(settings, metrics)
        self.transfer = None
        self.loaded = ("", "")
        state.on_change.append(self._on_state)

    def _on_state(self, desired):
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def on_health(self, health):
        """Compare what the target says with what it was ordered to serve."""
        if not self._engine.has_weights:
            return
        self._note_target(health)
        reported = (health.model, health.model_version)
        if self.loaded != ("", "") and reported != self.loaded:
            logger.warning(
                "target reports version %r, ordered %r; it takes no requests until "
                "it is loaded again",
                health.model_version,
                self.loaded[1],
            )
            self._set_loaded(("", ""))
            self._must_reload = True
            self._on_state(None)

    async def run(self):
        """Follow the desired state until cancelled."""
        if not self._engine.has_weights:
            return
        while True:
            changed = self._changed
            desired = self._state.desired
            spec = desired and desired.model_of_service(self._settings.service)
            async with anyio.create_task_group() as tasks:
                if spec is not None:
                    tasks.start_soon(self._bring_to, spec)
                await self._wait_for_other_spec(changed, spec)
                # A newer version ends the transfer of an older one at once; chunks
                # that they share stay in the store.
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

    async def _bring_to(self, spec):
        wanted = (spec.name, spec.version)
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
        # The first transfer of an agent may be one that others are in the middle of.
        self.transfer.asks_other_data_centres = not self._has_taken_over
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.transfer.run)
            if self._turn_spec is not None:
                await self._drop_turn()
            await self._take_over(spec)
            is_settled = self.loaded == wanted or self._is_uncertain
            if not is_settled and await self._is_serving(wanted):
                self._set_loaded(wanted)
            await self.transfer.completed.wait()
            self._announcer.ready_version = spec.version
            if self.loaded != wanted:
                await self._load(spec)
            self._store.keep_only(self.transfer.manifest.chunk_digests)

    async def _take_over(self, spec):
        """Wait out an order to load that an agent before this one may have given.

        Until it has ended the target may change its version at any moment, whatever
        it says that it serves.
        """
        if self._has_taken_over:
            return
        order = await self._turns.find_open_order(spec, self._takeover_deadline)
        if order is not None:
            logger.info("an order to load %s is open", order.version)
            self._is_uncertain = not await self._wait_for_end(order)
            if not self._is_uncertain:
                ended = replace(spec, version=order.version)
                await self._turns.report(ended, LoadPermitStatus.DONE)
        self._has_taken_over = True

    async def _wait_for_end(self, order):
        """Return whether an order has certainly ended before it must have run out."""
        while time.monotonic() < self._takeover_deadline:
            try:
                if has_ended(order, await self._engine.health()):
                    return True
            except EngineError as error:
                logger.debug("target gives no health report: %s", error)
            await anyio.sleep(RETRY_SECONDS)
        return False

    def _serves_model(self, spec):
        def serves_model(service):
            model = self._state.desired.model_of_service(service)
            return model is not None and model.name == spec.name

        return serves_model

    async def _is_serving(self, wanted):
        try:
            health = await self._engine.health()
        except EngineError:
            return False
        return (health.model, health.model_version) == wanted

    async def _drop_turn(self):
        """Serve on with what is loaded after a load that was called off."""
        if self._announcer.status == TargetStatus.LOADING:
            self._announcer.status = self._loaded_status()
            await self._announcer.announce()
        status = (
            LoadPermitStatus.UNKNOWN if self._is_uncertain else LoadPermitStatus.DONE
        )
        await self._turns.report(self._turn_spec, status)
        self._turn_spec = None

    async def _load(self, spec):
        await self._hand_over_chunks(spec)
        while self._announcer.status != TargetStatus.LEAVING:
            await self._learn_target()
            self._turn_spec = spec
            slot = await self._turns.wait(spec)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._turns.renew_forever, spec)
                result = await self._load_within_slot(spec, slot)
                tasks.cancel_scope.cancel()
            await self._turns.report(spec, _STATUS_BY_RESULT[result])
            self._turn_spec = None
            if result is LoadResult.LOADED:
                return
            await anyio.sleep(RETRY_SECONDS)

    async def _load_within_slot(self, spec, slot):
        target = self._turns.target
        self._announcer.status = TargetStatus.LOADING
        await self._announcer.announce()
        await self._wait_until_idle()
        await self._learn_target()
        if self._turns.target != target:
            # The turn must name the target that is given the order.
            slot = await self._turns.wait(spec)
        # An order that is on its way can't be taken back: whatever is intended by
        # then, nothing is admitted until the target has said what came of it.
        with anyio.CancelScope(shield=True):
            result = await self._order_load(spec, slot)
            await self._take_result(spec, result)
        if result is LoadResult.LOADED:
            await self._wait_until_settled()
        return result

    async def _take_result(self, spec, result):
        if result is not LoadResult.REFUSED:
            # A refusal says nothing of what was ordered before.
            self._is_uncertain = result is LoadResult.UNKNOWN
        if result is LoadResult.LOADED:
            self._set_loaded((spec.name, spec.version))
            await self._announcer.announce()
        elif result is LoadResult.REFUSED:
            await self._keep_previous()
        else:
            # It may still be loading, so it serves nothing until it has loaded.
            self._set_loaded(("", ""))
            await self._announcer.announce()

    async def _learn_target(self):
        """Wait until the target tells its incarnation."""
        while True:
            try:
                self._note_target(await self._engine.health())
                return
            except EngineError as error:
                logger.debug("target gives no health report: %s", error)
                await anyio.sleep(RETRY_SECONDS)

    def _note_target(self, health):
        if health.incarnation != self._turns.target:
            # What an earlier one was ordered has died with it.
            self._turns.target = health.incarnation
            self._is_uncertain = False

    async def _wait_until_settled(self):
        """Keep the turn until the target bears the work that there is for it."""
        settings = self._settings
        cold_since = time.monotonic()
        with anyio.move_on_after(settings.settle_seconds):
            while not self._admission.has_settled(
                time.monotonic(), cold_since, settings.settle_quiet_seconds
            ):
                await anyio.sleep(SETTLE_CHECK_SECONDS)

    async def _keep_previous(self):
        """Serve on with the version that the target still has, if it is whole."""
        previous = self.loaded
        still_there = previous != ("", "") and await self._is_serving(previous)
        self._set_loaded(previous if still_there else ("", ""))
        await self._announcer.announce()

    async def _hand_over_chunks(self, spec):
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
                logger.warning("chunk %d not handed over: %s", index, error)
                await anyio.sleep(RETRY_SECONDS)

    async def _wait_until_idle(self):
        while self._admission.in_flight or self._admission.foreign:
            await anyio.sleep(0.02)

    async def _order_load(self, spec, slot_fence):
        desired = self._state.desired.fence
        self._highest_fence = max(
            self._highest_fence, slot_fence, (desired.term, desired.index)
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
        if self._announcer.status != TargetStatus.LEAVING:
            self._announcer.status = self._loaded_status()
        self._admission.become_cold()

    def _loaded_status(self):
        is_loaded = self.loaded != ("", "")
        return TargetStatus.SERVING if is_loaded else TargetStatus.STARTING
