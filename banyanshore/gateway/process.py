"""The gateway process: a reverse proxy from callers to registered targets."""

import logging
import random
import time
from functools import partial
from types import MappingProxyType

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.stopping import NOT_STOPPING, StopPlan
from banyanshore.gateway.news import UpdateExchange
from banyanshore.gateway.permits import PermitExchange
from banyanshore.gateway.placements import PlacementExchange
from banyanshore.gateway.relay import WeightsRelay
from banyanshore.gateway.request_handler import RequestHandler
from banyanshore.gateway.request_limits import LimitExchange
from banyanshore.gateway.returning import ReturningTargets
from banyanshore.gateway.screening import Screening
from banyanshore.gateway.suspected_parts import SuspectedParts
from banyanshore.gateway.suspects import Suspects
from banyanshore.gateway.turns import TurnExchange
from banyanshore.gateway.withdrawals import Withdrawals
from banyanshore.http.caller_account import CallerAccount
from banyanshore.http.listener import Listener, ListenerLimits
from banyanshore.http.unfinished import log_unfinished
from banyanshore.membership.feed import GATEWAY_ROLE, FeedClient, MemberRow, Registry
from banyanshore.membership.follower import Follower
from banyanshore.membership.load_reports import (
    BegunAnswersReport,
    CrashNotice,
    LimitNotice,
    LoadReport,
    PartNotice,
    PlacementNotice,
    TargetAnswered,
    UnbegunLossNotice,
    UpdateBatch,
)
from banyanshore.membership.permits import PermitRequest
from banyanshore.routing.answer_memory import AnswerMemory
from banyanshore.routing.board import TargetBoard
from banyanshore.routing.lateness import TimeBudgets
from banyanshore.routing.notices import TargetNotices
from banyanshore.routing.ranks import ONLY_RANK
from banyanshore.routing.request_limits import RequestLimits
from banyanshore.routing.retry_after import NONE_RETURNING, retry_after_seconds
from banyanshore.routing.roster import GatewayRoster
from banyanshore.routing.shares import ColdShares, RetryShare
from banyanshore.routing.version_switch import VersionSwitch
from banyanshore.routing.withdrawal import WithdrawalRule
from banyanshore.state import StateHolder
from banyanshore.telemetry.gateway import GatewayMetrics
from banyanshore.transport import LinkOptions
from banyanshore.weights.messages import (
    ChunkRequest,
    HaveUpdate,
    ManifestRequest,
    PieceReceived,
)
from banyanshore.weights.relay_messages import ChunkPush

logger = logging.getLogger(__name__)

# Seconds without a confirmed state after which the gateway is not ready, so that
# callers go to others; shorter than the time after which it would refuse their keys.
READY_SECONDS = 3.0
# Seconds for which a leaving gateway still accepts connections, until callers are no
# longer sent to it: two readiness checks a second apart, and the network latency.
LEAVE_SECONDS = 2.6
# Seconds for which a stop that was cut short still delivers answers.
CUT_SHORT_SECONDS = 1.0
# Seconds between clean-ups of state that is no longer needed.
UPKEEP_INTERVAL = 5.0


class Gateway(Follower):
    """Everything that runs on one gateway instance.

    :param settings: the :class:`~banyanshore.conf.registered.GatewaySettings`.
    :param dialect: the :class:`~banyanshore.routing.caller_requests.CallerDialect`.
    :param make_origin: callable that gets the address of the origin of weights.
    """

    def __init__(self, settings, dialect, make_origin):
        self.settings = settings
        self.dialect = dialect
        self.metrics = GatewayMetrics()
        self.state = StateHolder()
        self.registry = Registry()
        self.versions = VersionSwitch(settings.version_switch_seconds)
        rule = WithdrawalRule(
            settings.version_switch_seconds, settings.version_bound_seconds
        )
        self.withdrawals = Withdrawals(rule, self.newer_known_for)
        self.callers = CallerAccount(
            settings.memory_bytes,
            settings.max_descriptors,
            self.metrics.stopped_callers,
        )
        self.answer_memory = AnswerMemory(
            settings.memory_bytes, partial(self.callers.hold, self.callers.open())
        )
        self.screening = Screening(settings.key_lease_seconds, settings.change_seconds)
        # Opened when the process runs.
        self.caller_listener = None
        self._listener_limits = ListenerLimits()
        self.leaving = False
        self.stop_plan = NOT_STOPPING
        # The requests that are being processed.
        self.runs = set()
        cold_start = settings.cold_start
        self._random = random.Random()
        self.turns = TurnExchange(self._random, self.metrics)
        self.time_budgets = TimeBudgets()
        self.board = TargetBoard(
            settings,
            self.registry.targets,
            ColdShares(settings.instance, cold_start.overage, cold_start.margin),
            self._random,
            TargetNotices(settings.max_target_pause_seconds),
            RequestLimits(),
        )
        self.returning = ReturningTargets(self)
        self.link_options = LinkOptions.from_settings(settings.transport)
        member = self._member()
        self.feed = FeedClient(
            settings, member, self.state, self.registry, self.link_options
        )
        self.state.on_change.append(self._on_state)
        self._retry_share_by_service = {}
        self._data_centres_out_of_service = set()
        self._roster = GatewayRoster(settings.instance, time.monotonic())
        self.feed.count_gateways = lambda: len(self.gateway_names())
        self.feed.on_rows.append(self._on_rows)
        self.feed.on_ages.append(self._record_ages)
        self.feed.on_confirmed.append(self._on_confirmed)
        parts = SuspectedParts(member, self.metrics)
        self.suspects = Suspects(self.registry, self.metrics, parts)
        self.limits = LimitExchange(self.registry, self.board.limits, self.metrics)
        self.updates = UpdateExchange(
            member, self.registry, self.board, self.suspects, self.limits
        )
        self.updates.on_room = self.turns.record_news
        self.placements = PlacementExchange(
            self.state, self.board, self.updates, self.metrics
        )
        self.request_handler = RequestHandler(self)
        self.limits.updates = self.updates
        self.permits = PermitExchange(
            member, self.registry, self.limits, self.updates, self.metrics
        )
        self.limits.on_change.append(self.permits.update_issuers)
        self.suspects.send = self.updates.send
        self.suspects.forward_again = self.updates.forward_again
        parts.send = self.updates.send
        parts.forward_again = self.updates.forward_again
        self.relay = WeightsRelay(self, make_origin)

    def _member(self):
        settings = self.settings
        return MemberRow(
            settings.instance,
            GATEWAY_ROLE,
            settings.data_centre,
            settings.region,
            settings.peers_bind,
            time.time_ns(),
            0,
        )

    async def run(self, stop_requested, force_requested):
        """Run until a stop is requested and the requests in flight have ended.

        :param force_requested: event that cuts a graceful stop short.
        """
        self.caller_listener = Listener(
            self.request_handler.handle, self._limits, callers=self.callers
        )
        self.readiness_listener = Listener(self._handle_ready, callers=self.callers)
        async with anyio.create_task_group() as tasks:
            self._open_links(tasks)
            await self._serve_peers(tasks)
            await tasks.start(self.caller_listener.serve, self.settings.callers_bind)
            await tasks.start(self.readiness_listener.serve, self.settings.ready_bind)
            tasks.start_soon(self._upkeep)
            tasks.start_soon(self.suspects.run)
            tasks.start_soon(self.limits.run)
            tasks.start_soon(self.turns.run)
            tasks.start_soon(self.relay.run)
            tasks.start_soon(self.updates.run, self.link_options, self)
            self._follow(tasks, GATEWAY_ROLE)
            await stop_requested.wait()
            await self._leave(force_requested)
            tasks.cancel_scope.cancel()

    def _on_rows(self, update):
        if update.gateways:
            self._roster.record_fleet_size(update.gateways)
        self.updates.refresh()

    def _on_confirmed(self):
        self._roster.record_contact(time.monotonic())
        # Timers stand still while the machine is suspended.
        self.withdrawals.reschedule()

    def _record_ages(self, ages):
        super()._record_ages(ages)
        self.withdrawals.reschedule()

    def gateway_names(self):
        """Return the names of the gateways that share limits."""
        registered = [row.instance for row in self.registry.members_of(GATEWAY_ROLE)]
        return self._roster.names(time.monotonic(), registered)

    def padded_names(self, names):
        """Return the names to share the rate limits of cold targets among.

        :param names: result of :meth:`gateway_names`.
        """
        return self._roster.padded_names(time.monotonic(), names)

    def newer_known_for(self, model, version):
        """Return the seconds since a newer version of a model became known.

        :return: ``-inf`` if there is none.
        """
        return boottime_now() - self.versions.newer_known_since(model, version)

    def retry_share(self, service):
        """Return the :class:`RetryShare` of a service."""
        share = self._retry_share_by_service.get(service)
        if share is None:
            options = self.settings.retries
            share = RetryShare(options.ratio, options.burst, options.window_seconds)
            self._retry_share_by_service[service] = share
        return share

    def retry_after_seconds(
        self,
        reason,
        seconds_left,
        available_in=0.0,
        rank=ONLY_RANK,
        returning=NONE_RETURNING,
    ):
        """Return the Retry-After seconds of a refusal, ``None`` without a reason."""
        if reason is None:
            return None
        seconds = retry_after_seconds(
            reason, seconds_left, self._random, available_in, rank, returning
        )
        return round(seconds, 2)

    def is_ready(self):
        """Return whether callers should be sent to this gateway."""
        is_confirmed = self.feed.confirmed_seconds_ago < READY_SECONDS
        return not self.leaving and self.screening.table is not None and is_confirmed

    def _on_state(self, desired):
        now = time.monotonic()
        document = desired.document
        self.screening.use(document)
        self._use_limits(self.screening.table.limits)
        self._record_rollouts(desired)
        self.withdrawals.reschedule()
        previously_out = self._data_centres_out_of_service
        self._data_centres_out_of_service = {
            name
            for name, row in document["data_centres"].items()
            if not row["in_service"]
        }
        for data_centre in previously_out - self._data_centres_out_of_service:
            self.board.expect_cold_targets(now, data_centre, document["services"])

    def _use_limits(self, limits):
        limits_before = self._listener_limits
        self._listener_limits = ListenerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_seconds,
            limits.idle_timeout_seconds,
        )
        if self.caller_listener is None or self._listener_limits == limits_before:
            return
        self.caller_listener.apply_limits()

    def _limits(self):
        return self._listener_limits

    async def _handle_ready(self, exchange):
        await exchange.respond(200 if self.is_ready() else 503)

    async def _on_update(self, connection, item):
        await self.updates.on_item(connection, item)

    async def _on_update_batch(self, connection, batch):
        await self.updates.on_batch(connection, batch)

    async def _on_chunk_request(self, body, responder):
        await self.relay.on_chunk_request(body, responder)

    async def _on_push(self, body, responder):
        await self.relay.on_push(body, responder)

    async def _on_manifest(self, body, responder):
        await self.relay.on_manifest(body, responder)

    async def _on_permit_request(self, body, responder):
        await self.permits.on_permit_request(body, responder)

    async def _on_have(self, connection, update):
        await self.relay.on_have(connection, update)

    async def _on_piece_received(self, connection, receipt):
        await self.relay.on_piece_received(connection, receipt)

    call_by_type = MappingProxyType(
        {
            ChunkPush: _on_push,
            ChunkRequest: _on_chunk_request,
            ManifestRequest: _on_manifest,
            PermitRequest: _on_permit_request,
        }
    )
    notice_by_type = MappingProxyType(
        {
            CrashNotice: _on_update,
            HaveUpdate: _on_have,
            LoadReport: _on_update,
            UpdateBatch: _on_update_batch,
            PieceReceived: _on_piece_received,
            PlacementNotice: _on_update,
            TargetAnswered: _on_update,
            UnbegunLossNotice: _on_update,
            BegunAnswersReport: _on_update,
            PartNotice: _on_update,
            LimitNotice: _on_update,
        }
    )

    async def _upkeep(self):
        while True:
            await anyio.sleep(UPKEEP_INTERVAL)
            self.board.forget_departed(time.monotonic())
            self.updates.forget_departed()
            self._forget_budgets()

    def _forget_budgets(self):
        if self.state.desired is None:
            return
        document = self.state.desired.document
        routes = [(row["host"], row["prefix"]) for row in document["routes"].values()]
        self.time_budgets.keep_only(routes, document["services"])
        self.placements.answer_lengths.keep_only(document["services"])

    async def _leave(self, force_requested):
        """Stop accepting new requests, and wait for those in flight to finish."""
        self.leaving = True
        self.caller_listener.leaving = True
        logger.info("stopping", extra={"in_flight": self.caller_listener.active})
        now = time.monotonic()
        settings = self.settings
        self.stop_plan = StopPlan(
            now + min(LEAVE_SECONDS, settings.stop_answer_seconds),
            now + settings.stop_answer_seconds,
            now + settings.stop_timeout,
        )
        self.turns.queue.close()
        for run in self.runs:
            run.shorten_deadline(self.stop_plan.answers_due_at)
        while not force_requested.is_set() and now < self.stop_plan.ends_at:
            if now >= self.stop_plan.refuses_at and not self.runs:
                break
            await anyio.sleep(min(0.05, self.stop_plan.ends_at - now))
            now = time.monotonic()
        if not force_requested.is_set():
            seconds = self.stop_plan.ends_at - now
            await self.caller_listener.close(seconds, force_requested)
        if force_requested.is_set():
            await self._cut_short()
        log_unfinished(self.caller_listener.find_unfinished())

    async def _cut_short(self):
        """Answer the requests in flight as if their time had run out."""
        now = time.monotonic()
        ends_at = min(self.stop_plan.ends_at, now + CUT_SHORT_SECONDS)
        self.stop_plan = StopPlan(now, now, ends_at)
        for run in self.runs:
            run.shorten_deadline(now)
        await self.caller_listener.close(ends_at - now)
