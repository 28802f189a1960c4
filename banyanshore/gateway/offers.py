"""Offers of one request to targets, and relaying of the answer."""

import math
import time

from banyanshore.core.exceptions import UnavailableError
from banyanshore.gateway.held_answer import HeldAnswer
from banyanshore.gateway.suspects import OfferInFlight
from banyanshore.gateway.target_notices import NoticeRecorder
from banyanshore.http.upstream import (
    CONNECT_TIMEOUT,
    BrokenAnswerError,
    NotSentError,
    WithdrawnError,
    open_answer,
)
from banyanshore.routing.attempts import Outcome
from banyanshore.routing.caller_requests import Offer
from banyanshore.routing.events import is_event_stream
from banyanshore.routing.retry_after import Reason
from banyanshore.routing.timeouts import event_timeout, head_timeout
from banyanshore.state.routes import RouteKind

# Outcomes of offers of which the target has read nothing.
_NOT_RUN_OUTCOMES = frozenset({Outcome.NOT_RUN, Outcome.NOT_SENT, Outcome.UNREACHABLE})


class OfferSender:
    """Offer one request to targets, and pass the answer on.

    :param state: the :class:`~banyanshore.gateway.request_state.RequestState`.
    :param finder: the :class:`~banyanshore.gateway.target_finder.TargetFinder`.
    :param events: the :class:`~banyanshore.gateway.event_relay.EventRelay`.
    :param log: the :class:`~banyanshore.gateway.request_log.RequestLog`.
    :param on_begun: called when the answer to the caller begins.
    :param on_read: called once the last byte of it has arrived.
    """

    def __init__(self, state, finder, events, log, on_begun, on_read):
        self._state = state
        self._gateway = state.gateway
        self._exchange = state.exchange
        self._screened = state.screened
        self._request = state.request
        self._attempts = state.attempts
        self._finder = finder
        self._events = events
        self._log = log
        self._on_begun = on_begun
        self._on_read = on_read
        # What runs at a target: its row, and the offer as the withdrawals and the
        # suspects know it; or ``None``.
        self._running = None
        # The prompt that is sent to the target, or ``None``.
        self._prompt = None
        self._notices = NoticeRecorder(state.gateway, state.request)

    async def offer(self, choice):
        """Offer the request to a target; return the outcome, ``None`` if answered."""
        state = self._state
        row = choice.row
        board = self._gateway.board
        now = time.monotonic()
        self._attempts.begin(row.id)
        state.target = row.id
        state.address = row.address
        state.answer = None
        self._events.incomplete_bytes = 0
        state.load = board.load(row.address).estimated_in_flight(now)
        if not self._exchange.started:
            state.version = choice.model_version
        offer = Offer(
            row.id,
            self._screened.workspace.name,
            state.seconds_left,
            choice.model_version,
            self._events.last_event_id,
            self._screened.rank,
        )
        request = self._gateway.dialect.build(self._request, state.body, offer)
        placements = self._gateway.placements
        self._prompt = await placements.announce(now, row, self._screened, state.size)
        self._finder.record_offer()
        state.is_offered = True
        load = board.load(row.address)
        withdrawals = self._gateway.withdrawals
        waiting_offer = withdrawals.begin(
            self._request.model,
            choice.model_version,
            load.expected_first_byte_seconds(now),
        )
        suspects = self._gateway.suspects
        offer_in_flight = OfferInFlight(
            row,
            self._screened,
            state.body,
            now,
            now + self._healthy_head_timeout(),
            state.parts,
            waiting_offer.scope,
        )
        suspects.begin(offer_in_flight)
        state.offer_in_flight = offer_in_flight
        load.record_sent(now)
        self._running = row, waiting_offer, offer_in_flight
        has_returned = False
        try:
            outcome = await self._send(
                choice, request, offer_in_flight, waiting_offer.scope
            )
            has_returned = True
        finally:
            if self._end_at_target() and not has_returned:
                suspects.record_given_up(offer_in_flight)
        state.offer_in_flight = None
        self._record_target_outcome(row, outcome)
        if outcome in _NOT_RUN_OUTCOMES:
            await placements.take_back(row, self._prompt, state.size)
        if outcome in (Outcome.LOST, Outcome.BROKEN_OFF):
            await suspects.record_lost(offer_in_flight)
        elif outcome is None:
            await suspects.record_answer(offer_in_flight)
        return outcome

    def _end_at_target(self):
        """Record that a target no longer runs the request; return whether one did."""
        if self._running is None:
            return False
        (row, waiting_offer, offer_in_flight), self._running = self._running, None
        gateway = self._gateway
        now = time.monotonic()
        gateway.board.end(now, row, self._state.size.total)
        gateway.turns.record_end(self._screened.service, self._screened.workspace.name)
        gateway.withdrawals.end(waiting_offer)
        load = gateway.board.load(row.address)
        load.record_end(now, offer_in_flight.offered_at)
        gateway.suspects.end(offer_in_flight)
        return True

    def _record_prompt_read(self):
        """Record that the target has begun to answer, after it read the prompt."""
        if self._prompt is None or self._running is None:
            return
        row, *_ = self._running
        screened = self._screened
        now = time.monotonic()
        if self._gateway.board.record_read(now, row, self._prompt, screened.rank):
            self._gateway.turns.record_room(screened.service)

    def _record_read(self):
        """Record that the last byte has arrived; only the caller is waited for."""
        self._end_at_target()
        self._on_read()

    async def _send(self, choice, request, offer_in_flight, head_scope):
        """Send an offer to its target; return the outcome, ``None`` if answered.

        :param head_scope: cancel scope that ends when the offer is withdrawn.
        """
        row = choice.row
        try:
            async with open_answer(
                row.address,
                request,
                CONNECT_TIMEOUT,
                self._head_timeout(),
                lambda: self._finder.may_send(choice),
                head_scope,
            ) as answer:
                self._state.answer = answer
                self._gateway.suspects.record_head(offer_in_flight)
                load = self._gateway.board.load(row.address)
                begun_at = time.monotonic()
                offered_at = offer_in_flight.offered_at
                load.record_first_byte(begun_at, offered_at)
                self._gateway.time_budgets.record_first_event(
                    self._screened.service, begun_at - offered_at
                )
                await self._notices.record(row, answer, offered_at, self._log.log)
                return await self._process_answer(answer)
        except UnavailableError as error:
            self._state.is_offered = False
            self._log.log("target not reached", why=error.message)
            return Outcome.UNREACHABLE
        except NotSentError as error:
            self._state.is_offered = False
            self._log.log("not sent", why=error.message)
            return Outcome.NOT_SENT
        except WithdrawnError:
            self._gateway.metrics.withdrawn_offers.labels(self._screened.service).inc()
            self._log.log("withdrawn", why=self._withdrawal_reason())
            return Outcome.WITHDRAWN
        except BrokenAnswerError as error:
            self._log.log(
                "answer broke off", why=error.message, **self._log.body_details()
            )
            started = self._exchange.started
            return Outcome.BROKEN_OFF if started else Outcome.LOST

    def _withdrawal_reason(self):
        is_refused = self._gateway.suspects.parts.find_refused(self._state.parts)
        return Reason.CRASHES_TARGETS if is_refused else "newer-weights"

    def _may_offer_again(self):
        attempts = self._attempts
        return attempts.may_repeat and attempts.offers < attempts.max_offers

    def _head_timeout(self):
        """Return the timeout of the head of an answer, in seconds.

        Without another offer left, the gateway waits until the deadline.
        """
        return self._healthy_head_timeout() if self._may_offer_again() else math.inf

    def _healthy_head_timeout(self):
        """Return the seconds within which a healthy target begins to answer."""
        route = self._screened.route
        return head_timeout(route.objective_seconds, self._pace())

    def _event_timeout(self):
        if not self._may_offer_again():
            return math.inf
        route = self._screened.route
        return event_timeout(route.max_pause_seconds, self._pace())

    def _pace(self):
        return self._gateway.board.load(self._state.address).pace

    def _record_target_outcome(self, row, outcome):
        if outcome in (Outcome.UNREACHABLE, Outcome.LOST, Outcome.BROKEN_OFF):
            self._gateway.board.record_failure(time.monotonic(), row)
        elif outcome is Outcome.FAILED:
            self._gateway.board.record_error(row)
        elif outcome is None:
            self._gateway.board.record_success(row)

    async def _process_answer(self, answer):
        """Relay an answer; return the outcome if it isn't one for the caller."""
        dialect = self._gateway.dialect
        is_refusal = dialect.is_not_executed(answer)
        if is_refusal and dialect.has_matching_request_id(answer, self._request):
            self._state.is_offered = False
            self._log.log("target refused", status=answer.status)
            return Outcome.NOT_RUN
        if not dialect.is_answer_to(answer, self._request):
            self._log.log("foreign answer dropped", status=answer.status)
            return Outcome.LOST
        if self._is_event_stream(answer):
            return await self._relay_events(answer)
        if self._exchange.started:
            return Outcome.BROKEN_OFF
        return await self._relay_held(answer)

    async def _relay_held(self, answer):
        """Relay an answer that isn't a stream of events.

        :return: the outcome if it is a failure, or ``None``.
        """
        held = HeldAnswer(answer, self._gateway.answer_memory, self._state.target)
        try:
            await held.hold()
            if 200 <= answer.status < 300:
                self._record_prompt_read()
            headers = self._gateway.dialect.answer_headers(answer)
            if answer.status >= 500:
                held.require_complete()
                self._state.keep_failure(answer.status, headers, held)
                return Outcome.FAILED
            self._on_begun()
            await held.relay(self._exchange, headers, self._record_read)
        finally:
            if not self._state.keeps(held):
                held.release()
        self._log.log_end(
            "answered",
            answer.status,
            held_whole=held.is_complete,
            **self._log.body_details(),
        )
        return None

    def _is_event_stream(self, answer):
        is_streaming = self._screened.route.kind is RouteKind.STREAMING
        if not is_streaming or not 200 <= answer.status < 300:
            return False
        content_type = answer.get_header(b"content-type")
        return content_type is None or is_event_stream(content_type)

    async def _relay_events(self, answer):
        """Relay events as they arrive.

        :raises BrokenAnswerError: the answer broke off, or its events are invalid.
        """
        offer = self._state.offer_in_flight

        async def on_begun():
            self._record_prompt_read()
            self._on_begun()
            await self._gateway.suspects.record_begun(offer)

        await self._events.relay(
            answer, self._state.target, self._event_timeout, on_begun, self._record_read
        )
        self._gateway.placements.record_answer(self._screened, self._events.event_count)
        self._log.log_end("answered", answer.status, **self._log.body_details())
        return None
