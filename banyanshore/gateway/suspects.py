"""Carry the news of requests that crash targets between the gateways."""

import logging
import time

from banyanshore.membership.load_reports import CrashNews
from banyanshore.routing.crashes import Crash, CrashWatch
from banyanshore.routing.quarantine import request_fingerprint

logger = logging.getLogger(__name__)


class Suspects:
    """Requests that are suspected to crash the targets that run them.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    :ivar tell: coroutine function that tells the other gateways a
        :class:`~banyanshore.membership.load_reports.CrashNews`.
    """

    def __init__(self, registry, metrics):
        self.tell = None
        self._metrics = metrics
        self._registry = registry
        self._watch = CrashWatch()

    def is_refused(self, screened, body):
        """Tell whether a request is known to crash its targets."""
        if not self._watch.knows_any:
            return False
        return self._watch.is_refused(time.monotonic(), _fingerprint(screened, body))

    def record_break(self, row, screened, body, offered_at):
        """Take an answer of a target that ended with its connection."""
        fingerprint = _fingerprint(screened, body)
        crash_id = (row.address, row.incarnation)
        crash = Crash(crash_id, fingerprint, offered_at, time.monotonic())
        self._watch.record_break(crash)
        self._log("answer lost", crash, request_id=screened.request.request_id)

    async def record_whole(self, screened, body):
        """Take a whole answer, which clears the request."""
        if not self._watch.knows_any:
            return
        fingerprint = _fingerprint(screened, body)
        if self._watch.record_whole(fingerprint):
            logger.info(
                "suspected request was answered", extra={"request": fingerprint.hex()}
            )
            await self.tell(CrashNews(fingerprint))

    async def explain(self):
        """Find the targets that started again after they broke answers off."""
        if not self._watch.knows_any:
            return
        now = time.monotonic()
        incarnations = {
            row.address: row.incarnation for row in self._registry.targets.rows()
        }
        found, unexplained = self._watch.explain(now, incarnations)
        for crash in unexplained:
            self._log("lost answer not explained", crash)
        for crash in found:
            self._log("target ended while it ran a request", crash, logging.WARNING)
            address, incarnation = crash.id
            await self.tell(
                CrashNews(
                    crash.fingerprint,
                    address,
                    incarnation,
                    now - crash.offered_at,
                    now - crash.ended_at,
                )
            )

    def record_news(self, news):
        """Take the news of another gateway."""
        if not news.address:
            self._watch.record_whole(news.fingerprint)
            return
        now = time.monotonic()
        crash_id = (news.address, news.incarnation)
        crash = Crash(
            crash_id,
            news.fingerprint,
            now - news.offered_seconds_ago,
            now - news.ended_seconds_ago,
        )
        self._watch.record_crash(crash)
        self._log("told of a target that ended", crash)

    def _log(self, message, crash, level=logging.INFO, **details):
        """Log what became of an answer that was lost, and count it."""
        address, incarnation = crash.id
        self._metrics.lost_answers.labels(message).inc()
        logger.log(
            level,
            message,
            extra={
                "request": crash.fingerprint.hex(),
                "target_address": address,
                "target_incarnation": incarnation,
                "crashes": self._watch.count(crash.fingerprint),
                "lost_ms_ago": round((time.monotonic() - crash.ended_at) * 1000),
                **details,
            },
        )


def _fingerprint(screened, body):
    request = screened.request
    return request_fingerprint(
        screened.workspace.name or request.key,
        screened.service,
        request.method.decode("latin-1"),
        request.target.decode("latin-1"),
        body,
    )
