"""Record what the heads of answers state about their targets."""

import math
import time

from banyanshore.routing.request_limits import UNLIMITED

# Maximum number of characters of a target's text that are logged.
MAX_LOGGED_CHARACTERS = 40


class NoticeRecorder:
    """Record the notices of targets in the answers to one request.

    :param gateway: the :class:`~banyanshore.gateway.process.Gateway`.
    :param request: the :class:`~banyanshore.routing.caller_requests.CallerRequest`.
    """

    def __init__(self, gateway, request):
        self._dialect = gateway.dialect
        self._notices = gateway.board.notices
        self._limits = gateway.limits
        self._metrics = gateway.metrics
        self._request = request

    async def record(self, row, answer, offered_at, log):
        """Record the notice in the head of an answer, unless another target sent it.

        :param row: row of the target that the request was offered to.
        :param offered_at: monotonic time of the offer.
        :param log: function that logs a message with details of the request.
        """
        if not self._dialect.has_matching_request_id(answer, self._request):
            return
        notice = self._dialect.parse_target_notice(answer)
        self._record_pause(row, notice, log)
        await self._record_limit(row, answer, notice, offered_at, log)

    def _record_pause(self, row, notice, log):
        if notice.invalid_pause:
            self._metrics.paused_targets.labels("unreadable").inc()
            text = notice.invalid_pause[:MAX_LOGGED_CHARACTERS]
            log("time asked for is none", why=text)
        now = time.monotonic()
        reason = self._notices.record(now, row, notice)
        if reason is not None:
            self._metrics.paused_targets.labels(reason).inc()
            until = self._notices.paused_until(row)
            seconds = None if until == math.inf else round(until - now, 2)
            log("target left alone", why=reason, for_seconds=seconds)

    async def _record_limit(self, row, answer, notice, offered_at, log):
        if notice.invalid_limit is not None:
            self._metrics.limits.labels("unreadable").inc()
            text = notice.invalid_limit[:MAX_LOGGED_CHARACTERS]
            log("invalid request limit", why=text)
        per_second = notice.per_second
        # A refusal or a failure without the header doesn't show that a limit has ended.
        if per_second == UNLIMITED and not self._is_success(answer):
            return
        if per_second is not None:
            await self._limits.record_answer(
                row, per_second, offered_at, self._request.request_id
            )

    def _is_success(self, answer):
        is_answer = self._dialect.is_answer_to(answer, self._request)
        return is_answer and 200 <= answer.status < 300
