"""Choice of the target of one request, and its preconditions."""

import time

from banyanshore.core.clock import boottime_now
from banyanshore.gateway.turns import RoomWait, WaitingRequest
from banyanshore.routing.board import NoChoice, TargetRequirements
from banyanshore.routing.retry_after import Reason
from banyanshore.routing.turns import Turn

# Seconds before the deadline at which a request is given up, so that the caller
# receives the answer while it still waits.
DEADLINE_MARGIN = 0.03


class TargetFinder:
    """Find targets for one request.

    :param state: the :class:`~banyanshore.gateway.request_state.RequestState`.
    """

    def __init__(self, state):
        self._state = state
        self._gateway = state.gateway
        self._screened = state.screened
        self._room_wait = RoomWait(self._gateway.turns, self._choose)
        # The permit for a target with a limit, or ``None``.
        self._permit = None

    async def find(self):
        """Return a choice, after a wait if there is no room or others go before.

        :return: a :class:`~banyanshore.routing.board.Choice` or a
            :class:`~banyanshore.routing.board.NoChoice`.
        """
        if self._state.exchange.started:
            # The objective was for the first event; the caller waits for the next.
            return self._choose()
        try:
            return await self._room_wait.find(*self._make_turn())
        finally:
            self._state.waited_seconds = self._room_wait.seconds

    def _make_turn(self):
        """Return the :class:`Turn` of this request, and its wait."""
        state = self._state
        waiting = WaitingRequest()
        turn = Turn(
            self._screened.service,
            self._screened.rank,
            self._screened.workspace.name,
            state.timeliness.is_late,
            min(
                state.arrived_at + state.timeliness.longest_wait,
                state.deadline - DEADLINE_MARGIN,
            ),
            (
                state.request.model,
                self._screened.regions,
                self._screened.route.objective_seconds,
                frozenset(state.attempts.excluded),
                state.size.total if state.size.is_large else 0,
            ),
            len(state.body),
            waiting.wake,
        )
        return turn, waiting

    def _choose(self):
        gateway = self._gateway
        state = self._state
        if not self._is_still_allowed():
            return NoChoice(Reason.CUT_OFF)
        if gateway.suspects.is_refused(self._screened, state.body, state.parts):
            return NoChoice(Reason.CRASHES_TARGETS)
        if gateway.suspects.parts.is_held(state.parts):
            return NoChoice(Reason.SUSPECTED)
        now = time.monotonic()
        names = gateway.gateway_names()
        choice = gateway.board.choose(
            now,
            self.requirements(now),
            gateway.state.desired,
            names,
            gateway.padded_names(names),
        )
        if not isinstance(choice, NoChoice):
            gateway.suspects.parts.record_sent(state.parts)
        return choice

    def _is_still_allowed(self):
        gateway = self._gateway
        unconfirmed = gateway.feed.confirmed_seconds_ago
        return gateway.screening.is_still_allowed(self._screened, unconfirmed)

    def requirements(self, now):
        """Return the :class:`~banyanshore.routing.board.TargetRequirements`."""
        model = self._state.request.model
        versions = self._gateway.versions
        boottime = boottime_now()
        return TargetRequirements(
            self._screened.service,
            model,
            self._screened.regions,
            lambda seconds: versions.oldest_allowed_version(boottime + seconds, model),
            self._state.version if self._state.exchange.started else 0,
            frozenset(self._state.attempts.excluded),
            self._screened.route.objective_seconds,
            self._screened.rank,
            self._state.timeliness.is_late,
            self._state.size,
        )

    async def acquire_permit(self, row):
        """Return whether a request may be sent to a target within its limit."""
        gateway = self._gateway
        self._permit = None
        self._state.limit_details = {}
        if not gateway.board.limits.is_limited(row):
            return True
        request_id = self._state.request.request_id
        self._permit = await gateway.permits.acquire(row, request_id)
        self._state.limit_details = gateway.limits.describe(row)
        # The limit may have ended meanwhile.
        return self._permit is not None or not gateway.board.limits.is_limited(row)

    def may_send(self, choice):
        """Return whether the preconditions of a choice still hold."""
        gateway = self._gateway
        if not self._is_still_allowed():
            return False
        now = time.monotonic()
        return gateway.board.may_send(
            now,
            boottime_now(),
            choice,
            self.requirements(now),
            gateway.state.desired,
            self._permit,
        )

    def record_offer(self):
        """Count an offer of the request, and let others that wait try again."""
        workspace = self._screened.workspace.name
        self._room_wait.record_begin(self._screened.service, workspace)
