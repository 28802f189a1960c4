"""Acceptance of callers' requests: screening, reading, and rejection."""

import logging
import time

from banyanshore.gateway.request_state import answer_seconds
from banyanshore.gateway.run import RequestRun
from banyanshore.gateway.screening import Rejection
from banyanshore.http.exchange import NoRoomError
from banyanshore.http.wire import PeerClosedError
from banyanshore.routing.retry_after import Reason

logger = logging.getLogger(__name__)

# Rejection of a request that this gateway can't answer before it stops.
LEAVING = Rejection(503, "leaving", Reason.LEAVING)
# Rejection of a request that is not read to its end, as others need the memory.
NO_ROOM = Rejection(503, "no room for the request", Reason.FULL)


class RequestHandler:
    """Handle the requests that arrive on the callers' address.

    :param gateway: the :class:`~banyanshore.gateway.process.Gateway`.
    """

    def __init__(self, gateway):
        self._gateway = gateway

    async def handle(self, exchange):
        """Answer a request.

        :param exchange: the :class:`~banyanshore.http.exchange.Exchange`.
        """
        arrived_at = time.monotonic()
        request = self._gateway.dialect.parse(exchange)
        exchange.request_id = request.request_id
        screened = self._screen(request, arrived_at)
        if isinstance(screened, Rejection):
            await self._reject(exchange, request, screened)
            return
        timeliness = self._record_request(arrived_at, screened)
        try:
            body = await exchange.read_body()
        except NoRoomError:
            await self._reject(exchange, request, NO_ROOM)
            return
        if not self._gateway.stop_plan.accepts(arrived_at, answer_seconds(screened)):
            # The stop began while the body arrived.
            await self._reject(exchange, request, LEAVING)
            return
        run = RequestRun(
            self._gateway, exchange, screened, body, arrived_at, timeliness
        )
        try:
            ended = await exchange.run_while_connected(run.run)
        except PeerClosedError:
            ended = False
        if not ended:
            run.log_caller_left()

    def _record_request(self, now, screened):
        """Count a request, and return its timeliness."""
        gateway = self._gateway
        service = screened.service
        seconds = screened.request.caller_timeout_seconds
        gateway.retry_share(service).record_request(now)
        budgets = gateway.time_budgets
        budgets.record_request(screened.route, seconds)
        timeliness = budgets.timeliness(screened.route, service, seconds)
        gateway.board.record_request(now, service, screened.rank, timeliness.is_late)
        return timeliness

    def _screen(self, request, arrived_at):
        """Return the :class:`Screened` request, or the :class:`Rejection` of it."""
        gateway = self._gateway
        screened = gateway.screening.screen(
            request, gateway.feed.confirmed_seconds_ago, gateway.feed.is_behind
        )
        if isinstance(screened, Rejection):
            return screened
        seconds = answer_seconds(screened)
        is_accepted = gateway.stop_plan.accepts(arrived_at, seconds)
        return screened if is_accepted else LEAVING

    async def _reject(self, exchange, request, rejection):
        gateway = self._gateway
        retry_after = gateway.retry_after_seconds(
            rejection.reason, request.caller_timeout_seconds
        )
        logger.info(
            "rejected",
            extra={
                "request_id": request.request_id,
                "status": rejection.status,
                "why": rejection.why,
                "state_version": gateway.state.version,
                "confirmed_ago": round(gateway.feed.confirmed_seconds_ago, 2),
                "latest_version": gateway.feed.lease.latest_version,
                "retry_after": retry_after,
            },
        )
        gateway.metrics.rejections.labels(rejection.status).inc()
        headers = gateway.dialect.refusal_headers(request, retry_after)
        await exchange.respond(rejection.status, headers)
