"""Processing of one request by its deadline: offers to targets until one answers."""

import time

import anyio

from banyanshore.gateway.endings import RequestEnding
from banyanshore.gateway.event_relay import EventRelay
from banyanshore.gateway.offers import OfferSender
from banyanshore.gateway.request_log import RequestLog
from banyanshore.gateway.request_state import RequestState
from banyanshore.gateway.target_finder import DEADLINE_MARGIN, TargetFinder
from banyanshore.routing.attempts import Outcome, Step
from banyanshore.routing.board import NoChoice


class RequestRun:
    """One request that this gateway processes.

    :param gateway: the :class:`~banyanshore.gateway.process.Gateway`.
    :param exchange: the caller's :class:`~banyanshore.http.exchange.Exchange`.
    :param screened: the :class:`~banyanshore.gateway.screening.Screened` request.
    :param body: bytes of its body.
    :param arrived_at: monotonic time at which its head had arrived.
    :param timeliness: the :class:`~banyanshore.routing.lateness.Timeliness`.
    """

    def __init__(self, gateway, exchange, screened, body, arrived_at, timeliness):
        state = RequestState(gateway, exchange, screened, body, arrived_at, timeliness)
        self._gateway = gateway
        self._state = state
        # Its deadline but for a stop of the process.
        self._caller_deadline = state.deadline
        # Whether the last byte of the answer has arrived.
        self._is_read_whole = False
        # Whether the answer to the caller has begun.
        self._has_begun = False
        # Cancels the request at its deadline.
        self._scope = anyio.CancelScope()
        self._events = EventRelay(exchange, gateway.dialect, gateway.answer_memory)
        self._log = RequestLog(state, self._events)
        self._finder = TargetFinder(state)
        self._offers = OfferSender(
            state,
            self._finder,
            self._events,
            self._log,
            self._record_begun,
            self._record_read_whole,
        )
        self._ending = RequestEnding(state, self._finder, self._log)

    async def run(self):
        """Answer the request by its deadline."""
        self.shorten_deadline(self._gateway.stop_plan.answers_due_at)
        runs = self._gateway.runs
        runs.add(self)
        try:
            with self._scope:
                await self._offer_until_answered()
            if self._scope.cancelled_caught:
                await self._ending.end_at_deadline()
        finally:
            self._state.drop_failure()
            runs.discard(self)

    def shorten_deadline(self, deadline):
        """Answer the request by a time, if it is before its deadline.

        An answer that has arrived whole has until the end of a stop to be received.
        """
        if self._is_read_whole:
            deadline = self._gateway.stop_plan.ends_at
        self._state.deadline = min(self._state.deadline, deadline)
        self._set_scope_deadline()

    def _record_read_whole(self):
        self._is_read_whole = True
        ends_at = self._gateway.stop_plan.ends_at
        self._state.deadline = min(self._caller_deadline, ends_at)
        self._set_scope_deadline()

    def _set_scope_deadline(self):
        # The margin is for an answer of the gateway's own, which none can be once a
        # target's answer has begun.
        margin = 0.0 if self._has_begun else DEADLINE_MARGIN
        # The clock of anyio is not the monotonic clock on all of its backends.
        now = anyio.current_time()
        self._scope.deadline = now + self._state.seconds_left - margin

    def _record_begun(self):
        self._has_begun = True
        self._set_scope_deadline()

    async def _offer_until_answered(self):
        attempts = self._state.attempts
        while True:
            choice = await self._finder.find()
            if isinstance(choice, NoChoice):
                await self._ending.end(attempts.refusal(), choice.reason, choice)
                return
            if not await self._finder.acquire_permit(choice.row):
                continue
            outcome = await self._offers.offer(choice)
            if outcome is None:
                return
            step = attempts.next_step(outcome, self._try_retry)
            if outcome is Outcome.BROKEN_OFF and self._events.last_event_id is None:
                step = Step.BREAK_OFF
            if step is not Step.OFFER:
                await self._ending.end(step, outcome.value)
                return
            self._log.log("offered again", why=outcome.value)

    def _try_retry(self):
        shares = self._gateway.retry_share(self._state.screened.service)
        return shares.try_spend(time.monotonic(), len(self._gateway.gateway_names()))

    def log_caller_left(self):
        """Log that the caller closed the connection."""
        self._log.log_end("caller left", 0, under_way_ms=self._log.offer_age_ms())
