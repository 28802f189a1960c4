"""Target selection for a request, free of I/O.

The load of a target is estimated from the last report of its loader and from the
requests that this gateway has sent and finished since. Load pattern: many gateways send
at once based on reports that are some hundred milliseconds old, and prompts differ
tenfold in length, so that two long ones at the same target delay everything there.
Gateways therefore announce the prefill time of each request that they place. Which
targets have room is decided in :mod:`~banyanshore.routing.room`, and which one of these
gets a request in :mod:`~banyanshore.routing.spread`.
"""

import math
from collections.abc import Callable
from dataclasses import field

from banyanshore.core.values import dataclass
from banyanshore.membership.load_reports import supersedes
from banyanshore.membership.registry import TargetState
from banyanshore.routing.engine_model import EngineModel
from banyanshore.routing.notices import TargetNotices
from banyanshore.routing.old_news import UnseenRequests
from banyanshore.routing.ranks import ONLY_RANK, Rank
from banyanshore.routing.request_limits import RequestLimits
from banyanshore.routing.retry_after import Reason
from banyanshore.routing.room import RoomRule
from banyanshore.routing.shares import connection_share
from banyanshore.routing.spread import Candidate, TargetSpread
from banyanshore.routing.target_load import TargetLoad
from banyanshore.routing.target_memory import NO_SIZE, RequestSize

# Maximum delay until a gateway learns that a target has become cold, in seconds: a
# heartbeat interval and the network latency.
MAX_COLD_DELAY_SECONDS = 1.5
# Seconds for which a failed target is suspended, doubled with each consecutive failure
# up to the maximum.
SUSPENSION_SECONDS = 0.4
MAX_SUSPENSION_SECONDS = 5.0


@dataclass(frozen=True)
class Choice:
    """The target selected for a request.

    :param row: registry row of the target.
    :param model_version: version that it serves, 0 for a plain service.
    """

    row: object
    model_version: int


@dataclass(frozen=True)
class NoChoice:
    """The reason why no target can be selected.

    :param available_in: seconds until the first target accepts requests again, if all
        have asked for a pause or are at their limits.
    :param report_age: seconds since the oldest of the reports that it is based on, 0
        without any.
    :param room_in: seconds until the first target is expected to have read so much of
        its prompts that it has room, ``inf`` if none is full for this reason alone.
    """

    reason: Reason
    available_in: float = 0.0
    report_age: float = 0.0
    room_in: float = math.inf


@dataclass(frozen=True)
class TargetRequirements:
    """Requirements that a target must meet for a request.

    :param regions: sets of regions, each of which must contain the target's region;
        empty sets allow any.
    :param oldest_version_in: function of a delay in seconds that returns the oldest
        version of the weights on which the request may start after it.
    :param exact_version: the only version that may run it, 0 for any.
    :param excluded: ids of targets that must not be selected.
    :param objective_seconds: objective for the time to the first event, 0 for none.
    :param rank: urgency among the requests of the service.
    :param is_late: whether its objective has passed with an earlier attempt.
    :param size: its :class:`~banyanshore.routing.target_memory.RequestSize`.
    """

    service: str
    model: str = ""
    regions: tuple = ()
    oldest_version_in: Callable = lambda seconds: 0
    exact_version: int = 0
    excluded: frozenset = field(default_factory=frozenset)
    objective_seconds: float = 0.0
    rank: Rank = ONLY_RANK
    is_late: bool = False
    size: RequestSize = NO_SIZE


class TargetBoard:
    """Select targets and track their load on behalf of one gateway.

    :param settings: the :class:`~banyanshore.conf.registered.GatewaySettings`.
    :param table: the :class:`~banyanshore.membership.registry.RowTable` of targets.
    :param cold_shares: the :class:`~banyanshore.routing.shares.ColdShares`.
    :param rng: source of the noise.
    :param notices: the :class:`~banyanshore.routing.notices.TargetNotices`.
    :param limits: the :class:`~banyanshore.routing.request_limits.RequestLimits`.
    """

    def __init__(self, settings, table, cold_shares, rng, notices=None, limits=None):
        self.notices = notices or TargetNotices()
        self.limits = limits or RequestLimits()
        self._settings = settings
        self._table = table
        self._cold_shares = cold_shares
        self._room = RoomRule(settings.data_centre)
        self._spread = TargetSpread(settings.data_centre, rng)
        self.unseen = UnseenRequests()
        self._load_by_address = {}
        self._service_by_address = {}
        self._expected_cold_until = {}

    def load(self, address):
        """Return the :class:`TargetLoad` of the target at an address."""
        load = self._load_by_address.get(address)
        if load is None:
            load = self._load_by_address[address] = TargetLoad()
        return load

    def record_report(self, now, report):
        """Record a :class:`~banyanshore.membership.load_reports.LoadReport`."""
        load = self.load(report.address)
        if not supersedes(report, load.report):
            return
        load.record_report(now, report, self.unseen.age_seconds)

    def record_request(self, now, service, rank, is_late):
        """Record a request before it is looked for a target."""
        self._room.record_request(now, service, rank, is_late)

    def begin(self, now, row, prefill_seconds, tokens=0.0):
        """Count a request that is sent to a target.

        :param prefill_seconds: prefill time of its prompt, 0 without one.
        :param tokens: those that it is expected to hold at its end.
        :return: the :class:`~banyanshore.routing.prompt_backlog.Prompt`, or ``None``.
        """
        load = self.load(row.address)
        load.count_begin(now, tokens)
        self._cold_shares.record_sent(now, row.id)
        if not prefill_seconds:
            return None
        return load.prompts.add(now, prefill_seconds, is_own=True)

    def record_read(self, now, row, prompt, rank):
        """Record that a target has begun to answer a request of this gateway.

        :param prompt: its :class:`~banyanshore.routing.prompt_backlog.Prompt`.
        :param rank: its :class:`~banyanshore.routing.ranks.Rank`.
        :return: whether the target has less to read than was estimated.
        """
        prompts = self.load(row.address).prompts
        return prompts.record_read(now, prompt, rank.position == rank.count - 1)

    def take_back(self, row, prompt):
        """Forget the prompt of a request that a target did not run."""
        self.load(row.address).prompts.remove(prompt)

    def record_placement(self, now, notice):
        """Record a :class:`~banyanshore.membership.load_reports.PlacementNotice`."""
        load = self.load(notice.address)
        load.record_placement(now, notice.seconds, notice.tokens)
        if notice.seconds > 0:
            service = self._service_at(notice.address)
            self.unseen.record_notice(now, service)

    def _service_at(self, address):
        """Return the name of the service of the target at an address."""
        service = self._service_by_address.get(address)
        if service is None:
            self._service_by_address = {
                row.address: row.service for row in self._table.rows()
            }
            service = self._service_by_address.setdefault(address, "")
        return service

    def end(self, now, row, tokens=0.0):
        """Count the end of a request that was sent to a target."""
        self.load(row.address).count_end(now, tokens)

    def record_success(self, row):
        """Record a successful answer of a target."""
        load = self.load(row.address)
        load.failures = 0
        load.record_outcome(False)

    def record_error(self, row):
        """Record that a target has answered with an error."""
        self.load(row.address).record_outcome(True)

    def record_failure(self, now, row):
        """Suspend a target that could not be reached or whose answer was lost."""
        load = self.load(row.address)
        load.record_outcome(True)
        seconds = SUSPENSION_SECONDS * 2**load.failures
        load.failures += 1
        load.suspended_until = now + min(seconds, MAX_SUSPENSION_SECONDS)

    def expect_cold_targets(self, now, data_centre, services):
        """Treat all targets of a data centre that returns to service as cold.

        They may have become cold while they received no requests, and all gateways
        start to send to them at the same time.

        :param services: rows of the services by name.
        """
        for candidate in self._table.by_key.values():
            cold_seconds = services.get(candidate.row.service, {}).get(
                "cold_seconds", 0
            )
            if candidate.row.data_centre == data_centre and cold_seconds:
                until = now + cold_seconds + MAX_COLD_DELAY_SECONDS
                self._expected_cold_until[candidate.row.id] = until

    def cold_until(self, candidate):
        """Return the time until which a target counts as cold."""
        expected = self._expected_cold_until.get(candidate.row.id, -math.inf)
        return max(candidate.cold_until, expected)

    def forget_departed(self, now):
        """Forget the state of targets that are no longer registered."""
        rows = self._table.rows()
        self.notices.keep_only(now, rows)
        registered = {row.address for row in rows}
        for address in self._load_by_address.keys() - registered:
            if not self._load_by_address[address].own_in_flight:
                del self._load_by_address[address]
        ids = {row.id for row in rows}
        self._cold_shares.keep_only(ids)
        for target in self._expected_cold_until.keys() - ids:
            del self._expected_cold_until[target]

    def choose(self, now, requirements, desired, gateways, cold_gateways=None):
        """Return a :class:`Choice` or a :class:`NoChoice`.

        :param desired: the :class:`~banyanshore.state.DesiredState` in force.
        :param gateways: names of all gateways.
        :param cold_gateways: names of the gateways that share the request rates of cold
            targets, by default the same.
        """
        cold_gateways = cold_gateways or gateways
        service = desired.service(requirements.service) or {}
        allowed = [
            candidate
            for candidate in self._table.by_key.values()
            if self._is_allowed(candidate.row, requirements, desired)
        ]
        if not allowed:
            return NoChoice(Reason.NO_TARGET)
        serving = [
            candidate
            for candidate in allowed
            if self._has_required_version(now, candidate.row, requirements, service)
        ]
        if not serving:
            return NoChoice(Reason.NO_WEIGHTS)
        unpaused = [k for k in serving if self.notices.accepts_requests(now, k.row)]
        if not unpaused:
            return self._no_choice_while_paused(now, serving)
        unsuspended = [
            candidate
            for candidate in unpaused
            if self.load(candidate.row.address).suspended_until <= now
        ]
        connections = connection_share(service, len(gateways))
        remote_part = self._room.remote_capacity_part(serving, len(gateways))
        reserve = self._room.reserve(now, requirements)
        engine = service.get("engine")
        model = EngineModel.from_row(engine) if engine else None
        if model is not None and model.is_too_large(requirements.size):
            return NoChoice(Reason.TOO_LARGE)
        tokens = requirements.size.total
        room_in, free = math.inf, []
        for candidate in unsuspended:
            load = self.load(candidate.row.address)
            if load.own_in_flight >= connections:
                continue
            if model and not load.memory.has_room(now, model, tokens):
                continue
            seconds = self._room.seconds_to_room(
                now, load, candidate.row, service, requirements, remote_part, reserve
            )
            room_in = min(room_in, seconds)
            if not seconds:
                free.append(candidate)
        if not free:
            age = self._oldest_report_age(now, unsuspended)
            return NoChoice(Reason.FULL, report_age=age, room_in=room_in)
        eligible = [
            candidate
            for candidate in free
            if self._is_within_cold_rate(now, candidate, service, cold_gateways)
        ]
        if not eligible:
            return NoChoice(Reason.COLD)
        within_limit = [k for k in eligible if self.limits.may_request(now, k.row)]
        if not within_limit:
            room_at = self.limits.first_room_at([k.row for k in eligible])
            return NoChoice(Reason.TARGETS_LIMITED, room_at - now)
        candidates = [
            Candidate(k.row, self.load(k.row.address), self.cold_until(k) > now)
            for k in within_limit
        ]
        unseen = self.unseen.expected(now, requirements.service)
        best = self._spread.select(now, candidates, model, unseen)
        self._room.record_found(now, requirements)
        return Choice(best.row, self.version_at(best.row) if requirements.model else 0)

    def may_send(self, now, boottime, choice, requirements, desired, permit):
        """Return whether a choice is still valid, just before the request is sent.

        Load pattern: while a connection takes long to open, or this process was
        stalled, targets leave, ask for a pause, name a limit or are taken out of
        service.

        :param permit: the :class:`~banyanshore.routing.permits.Permit` of the request,
            or ``None``.
        """
        row = choice.row
        known = self._table.by_key.get(row.id)
        if known is None or known.row.state != TargetState.READY:
            return False
        is_in_service = desired.in_service(row.data_centre, row.id)
        version = choice.model_version
        oldest = self._oldest_version(now, row, requirements)
        is_allowed = not version or version >= oldest
        return (
            is_in_service
            and is_allowed
            and self.notices.accepts_requests(now, row)
            and self.limits.may_send(boottime, row, permit)
        )

    def _oldest_report_age(self, now, candidates):
        loads = [self.load(candidate.row.address) for candidate in candidates]
        reported = [load.reported_at for load in loads if load.report is not None]
        return now - min(reported, default=now)

    def _no_choice_while_paused(self, now, serving):
        resumes_at = self.notices.first_pause_end(
            [candidate.row for candidate in serving]
        )
        if resumes_at == math.inf:
            return NoChoice(Reason.NO_TARGET)
        return NoChoice(Reason.TARGETS_PAUSED, resumes_at - now)

    def _end_layer_at(self, row):
        """Return the layer after the last one that a target holds."""
        report = self.load(row.address).report
        if report is None or report.model != row.model:
            return row.end_layer
        if report.model_version == row.model_version:
            return max(report.end_layer, row.end_layer)
        newest = max(report, row, key=lambda source: source.model_version)
        return newest.end_layer

    def version_at(self, row):
        """Return the version of the weights that a target holds."""
        report = self.load(row.address).report
        if report is not None and report.model == row.model:
            return max(report.model_version, row.model_version)
        return row.model_version

    def _is_allowed(self, row, requirements, desired):
        region = self._settings.regions.get(row.data_centre, row.data_centre)
        return (
            row.service == requirements.service
            and row.state == TargetState.READY
            and row.id not in requirements.excluded
            and desired.in_service(row.data_centre, row.id)
            and all(
                not allowed_regions or region in allowed_regions
                for allowed_regions in requirements.regions
            )
        )

    def _oldest_version(self, now, row, requirements):
        """Return the oldest version on which a request sent to a target now may start.

        The request starts after the delay that the target is expected to need.
        """
        seconds = self.load(row.address).expected_first_byte_seconds(now)
        return requirements.oldest_version_in(seconds)

    def _has_required_version(self, now, row, requirements, service):
        engine = service.get("engine")
        if not engine:
            return True
        report = self.load(row.address).report
        if row.first_layer or self._end_layer_at(row) < engine.get("layers", 0):
            return False
        if report is not None and report.is_loading:
            return False
        version = self.version_at(row)
        if requirements.exact_version and version != requirements.exact_version:
            return False
        return version >= max(1, self._oldest_version(now, row, requirements))

    def _is_within_cold_rate(self, now, candidate, service, gateways):
        per_second = service.get("cold_per_second", 0)
        if self.cold_until(candidate) <= now or not per_second:
            return True
        return self._cold_shares.has_room(now, candidate.row.id, per_second, gateways)
