"""The agent process, which runs beside one target."""

import logging
import time

import anyio

from banyanshore.agent.announcer import Announcer, RosterHolder
from banyanshore.agent.requests import RequestRunner
from banyanshore.agent.rollout import RolloutDriver
from banyanshore.core.exceptions import UnavailableError
from banyanshore.engines import EngineError, make_engine
from banyanshore.membership.messages import (
    Roster,
    StateChange,
    StateUpdate,
    TargetStatus,
)
from banyanshore.routing.admission import Admission, AdmissionOptions
from banyanshore.routing.messages import (
    AnswerQuery,
    CancelRequest,
    Dispatch,
    RefusalReason,
    Resume,
)
from banyanshore.state import StateHolder
from banyanshore.telemetry.metrics import AgentMetrics
from banyanshore.telemetry.tracing import Tracer
from banyanshore.transport import LinkOptions, LinkPool, TableHandler, serve_peers
from banyanshore.weights.chunks import make_chunk_store
from banyanshore.weights.messages import (
    Availability,
    ChunkRequest,
    ChunkUnavailable,
    HaveUpdate,
    ManifestReply,
    ManifestRequest,
    PieceReceived,
)
from banyanshore.weights.origin import OriginClient

logger = logging.getLogger(__name__)

# Consecutive failed health checks after which the target counts as unavailable.
MAX_FAILED_HEALTH_CHECKS = 2
# Seconds from the announcement that an agent leaves until it may end.
NOTICE_SECONDS = 0.2
# Seconds after the stop timeout for the last replies, and again for the connections.
LAST_REPLIES_SECONDS = 1.0
# Seconds between checks for requests that have ended or that nobody reads.
EXPIRE_INTERVAL = 0.5


class Agent(TableHandler):
    """Run requests on one target, and load the desired weights into it.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.metrics = AgentMetrics()
        self.tracer = Tracer(
            settings.instance, settings.data_centre, settings.trace_file
        )
        self.state = StateHolder()
        self.rosters = RosterHolder()
        self.admission = Admission(
            AdmissionOptions(
                settings.admission.cold_limit,
                settings.admission.cold_completions,
                settings.admission.cold_seconds,
                settings.admission.full_limit,
                settings.admission.ramp_completions,
                settings.admission.cold_ttft_factor,
            )
        )
        self.leaving = False
        self._is_healthy = False
        self._has_seen_target = False

    async def run(self, stop_requested, force_requested, task_status=None):
        """Run until a stop is requested and all requests have ended.

        :param stop_requested: event that starts a graceful shutdown.
        :param force_requested: event that cuts a graceful shutdown short.
        """
        settings = self.settings
        self.engine = make_engine(settings.engine, settings.admission.full_limit)
        self.store = make_chunk_store(settings.data_dir)
        self.origin = OriginClient(settings.weights.stall_timeout)
        async with anyio.create_task_group() as tasks:
            self._start(tasks)
            await tasks.start(
                serve_peers,
                self.settings.peers_bind,
                self,
                self.settings.instance,
                self.link_options,
            )
            if settings.metrics_bind:
                tasks.start_soon(self._serve_metrics)
            for task in (
                self.link_options.ticker.run,
                self._watch_health,
                self._announce_forever,
                self._expire_forever,
                self.rollout.run,
            ):
                tasks.start_soon(task)
            logger.info("agent started", extra={"peers_bind": settings.peers_bind})
            await stop_requested.wait()
            await self._leave(force_requested)
            tasks.cancel_scope.cancel()
        self.tracer.close()

    def _start(self, tasks):
        settings = self.settings
        options = LinkOptions.from_settings(settings.transport)
        self.link_options = options
        self.links = LinkPool(tasks, self, settings.instance, options)
        self.announcer = Announcer(
            settings, self.links, self.state, self.rosters, self.admission
        )
        self.requests = RequestRunner(
            settings, self.engine, self.admission, tasks, self.tracer, self.metrics
        )
        self.rollout = RolloutDriver(
            settings,
            self.engine,
            self.store,
            self.origin,
            self.links,
            self.rosters,
            self.state,
            self.announcer,
            self.admission,
            self.metrics,
            self.call_entry,
        )
        self.requests.incarnation = self.announcer.incarnation
        self.requests.get_refusal_reason = self._refusal_reason
        self.requests.get_loaded_version = lambda: self.rollout.loaded

    async def _serve_metrics(self):
        from banyanshore.http.caller_account import CallerAccount
        from banyanshore.http.metrics import metrics_application
        from banyanshore.http.server import serve_http

        settings = self.settings
        callers = CallerAccount(
            settings.memory_bytes,
            settings.max_descriptors,
            self.metrics.stopped_callers,
        )
        application = metrics_application(self.metrics)
        await serve_http(application, settings.metrics_bind, callers=callers)

    def _refusal_reason(self):
        """Return the reason to refuse new requests now, or ``None``."""
        if self.leaving:
            return RefusalReason.LEAVING
        desired = self.state.desired
        if desired is None or self.announcer.status != TargetStatus.SERVING:
            return RefusalReason.NOT_SERVING
        settings = self.settings
        if not desired.in_service(settings.data_centre, settings.instance):
            return RefusalReason.OUT_OF_SERVICE
        return None

    async def call_entry(self, body, timeout):
        """Send a call to a connected entry, and return the reply.

        :raises UnavailableError: no entry is connected.
        """
        for peer in self.announcer.choose_entries():
            link = self.links.get(peer.address, peer.instance)
            if link.is_open:
                return await link.connection.call(body, timeout)
        raise UnavailableError("no entry is connected", step="ask-entry")

    async def _on_dispatch(self, body, responder):
        await self.requests.handle_dispatch(body, responder)

    async def _on_resume(self, body, responder):
        await self.requests.handle_resume(body, responder)

    async def _on_query(self, body, responder):
        await responder.finish(self.requests.query(body.attempt))

    async def _on_chunk_request(self, body, responder):
        if self.rollout.transfer is None:
            await responder.finish(ChunkUnavailable(Availability.QUEUED))
        else:
            await self.rollout.transfer.handle_chunk_request(body, responder)

    async def _on_manifest_request(self, body, responder):
        transfer = self.rollout.transfer
        content = transfer.manifest_content(body.manifest_digest) if transfer else b""
        await responder.finish(ManifestReply(content))

    async def _on_state_update(self, connection, body):
        self.state.apply(body.published)

    async def _on_state_change(self, connection, body):
        self.state.apply_delta(body.delta)

    async def _on_roster(self, connection, body):
        self.rosters.apply(body)

    async def _on_cancel(self, connection, body):
        self.requests.cancel(body.request_id)

    async def _on_piece_received(self, connection, body):
        self.rollout.uploads.record_received(connection.peer, body)

    async def _on_have(self, connection, body):
        if self.rollout.transfer is not None:
            self.rollout.transfer.handle_have(connection.peer, body)

    async def _announce_forever(self):
        while True:
            await self.announcer.announce_if_due(time.monotonic())
            self.metrics.limit.set(self.admission.limit)
            self.metrics.in_flight.set(self.admission.in_flight)
            await anyio.sleep(self.settings.announce_interval)

    async def _expire_forever(self):
        while True:
            await anyio.sleep(EXPIRE_INTERVAL)
            self.requests.expire(time.monotonic())

    async def _watch_health(self):
        failed = 0
        while True:
            try:
                health = await self.engine.health()
                failed = 0
                self._on_health(health)
            except EngineError as error:
                failed += 1
                if failed == MAX_FAILED_HEALTH_CHECKS:
                    logger.warning("health check of the target failed: %s", error)
                    self._on_target_lost()
            await anyio.sleep(self.settings.engine.health_interval)

    def _on_health(self, health):
        if not self._has_seen_target:
            # Requests that run now were sent to the target before this agent started.
            self._has_seen_target = True
            self.admission.foreign = health.in_flight
        self.admission.observe_incarnation(health.incarnation)
        self.admission.observe_foreign(health.in_flight)
        self.rollout.on_health(health)
        if not self._is_healthy:
            self._is_healthy = True
            if not self.engine.has_weights and not self.leaving:
                self.announcer.status = TargetStatus.SERVING

    def _on_target_lost(self):
        self._is_healthy = False
        self.admission.become_cold()
        if not self.engine.has_weights and not self.leaving:
            self.announcer.status = TargetStatus.STARTING

    async def _leave(self, force_requested):
        """Refuse new requests, wait for the running ones to end, then return."""
        self.leaving = True
        self.announcer.status = TargetStatus.LEAVING
        logger.info("leaving", extra={"running": self.requests.running})
        ends_at = time.monotonic() + self.settings.stop_timeout
        await self.announcer.announce()
        # Entries may have sent requests before they receive the announcement.
        await anyio.sleep(NOTICE_SECONDS)
        with anyio.move_on_after(ends_at - time.monotonic()):
            while self._is_busy() and not force_requested.is_set():
                await anyio.sleep(0.05)
        if self.requests.running:
            cancelled = self.requests.cancel_all()
            logger.error("stopped with requests cut off", extra={"cut": cancelled})
        with anyio.move_on_after(LAST_REPLIES_SECONDS):
            while self._is_busy():
                await anyio.sleep(0.02)
        if unread := self.requests.find_unread():
            logger.warning("answers not delivered", extra={"request_ids": unread})
        seconds_left = ends_at - time.monotonic()
        if force_requested.is_set():
            seconds_left = 0.0
        await self.links.finish(max(LAST_REPLIES_SECONDS, seconds_left))

    def _is_busy(self):
        return self.requests.running or self.requests.find_unread()


Agent.call_by_type = {
    Dispatch: Agent._on_dispatch,
    Resume: Agent._on_resume,
    AnswerQuery: Agent._on_query,
    ChunkRequest: Agent._on_chunk_request,
    ManifestRequest: Agent._on_manifest_request,
}
Agent.notice_by_type = {
    StateUpdate: Agent._on_state_update,
    StateChange: Agent._on_state_change,
    Roster: Agent._on_roster,
    CancelRequest: Agent._on_cancel,
    HaveUpdate: Agent._on_have,
    PieceReceived: Agent._on_piece_received,
}
