"""Log lines and metrics of one request."""

import logging
import math
import time

logger = logging.getLogger("banyanshore.requests")


class RequestLog:
    """Log the steps of one request.

    :param state: the :class:`~banyanshore.gateway.request_state.RequestState`.
    :param events: the :class:`~banyanshore.gateway.event_relay.EventRelay`.
    """

    def __init__(self, state, events):
        self._state = state
        self._events = events

    def log(self, message, **details):
        """Log a step, with what is known of the request and its target."""
        state = self._state
        logger.info(
            message,
            extra={
                "request_id": state.request.request_id,
                "service": state.screened.service,
                "target": state.target,
                "load": state.load,
                "offers": state.attempts.offers,
                **self._outdated_details(),
                **state.limit_details,
                **details,
            },
        )

    def log_end(self, outcome, status, **details):
        """Count and log the end of the request."""
        state = self._state
        now = time.monotonic()
        started_at = state.exchange.started_at
        first = None if started_at is None else started_at - state.arrived_at
        total = now - state.arrived_at
        state.gateway.metrics.record_request(
            state.screened.service, outcome, first, total
        )
        self.log(
            outcome,
            status=status,
            workspace=state.screened.workspace.name,
            state_version=state.gateway.state.version,
            model_version=state.version,
            first_ms=None if first is None else round(first * 1000),
            total_ms=round(total * 1000),
            caller_ms=self._caller_timeout_ms(),
            rank=state.screened.rank.position,
            waited_ms=round(state.waited_seconds * 1000),
            **self._size_details(),
            **details,
        )

    def body_details(self):
        """Return how the target framed its answer, and what was incomplete."""
        answer = self._state.answer
        framing = answer.framing if answer else None
        if framing is None:
            return {}
        return {
            "framing": framing.value,
            "incomplete_event_bytes": self._events.incomplete_bytes,
        }

    def offer_age_ms(self):
        """Return the age of the offer in flight in milliseconds, or ``None``."""
        offer = self._state.offer_in_flight
        if offer is None:
            return None
        return round((time.monotonic() - offer.offered_at) * 1000)

    def _caller_timeout_ms(self):
        """Return how long the caller waits in milliseconds, ``None`` if unknown."""
        seconds = self._state.request.caller_timeout_seconds
        return None if seconds == math.inf else round(seconds * 1000)

    def _size_details(self):
        """Return the tokens that the request was expected to hold at a model engine."""
        tokens = self._state.size.total
        return {"expected_tokens": tokens} if tokens else {}

    def _outdated_details(self):
        """Return for how long a version newer than the target's has been known."""
        state = self._state
        seconds = state.gateway.newer_known_for(state.request.model, state.version)
        if not state.version or seconds == -math.inf:
            return {}
        return {"newer_known_for": round(seconds, 2)}
