"""Find the requests that crash targets, and carry their news between the gateways."""

import logging
import time

import anyio

from banyanshore.http.upstream import Reach, look_for_listener
from banyanshore.membership.load_reports import CrashNews, TargetAnswered
from banyanshore.routing.crashes import Crash, CrashWatch
from banyanshore.routing.quarantine import request_fingerprint

logger = logging.getLogger(__name__)

# Seconds before each look at a target whose answer was lost. One that has ended refuses
# connections at once; one that isn't reached at all is looked for again, since a full
# queue or a lost packet looks the same.
LOOK_DELAYS = (0.05, 0.5)
# Seconds between looks for targets that have started again: well within the time in
# which that explains an answer that was lost.
EXPLAIN_INTERVAL = 0.5


class Suspects:
    """Requests that are suspected to crash the targets that run them.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    :ivar tell: coroutine function that tells the other gateways an item of news.
    """

    def __init__(self, registry, metrics):
        self.tell = None
        self._metrics = metrics
        self._registry = registry
        self._watch = CrashWatch()
        self._tasks = None
        # Targets that are being looked at.
        self._looked_at = set()

    async def run(self):
        """Look for targets that have ended, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await anyio.sleep(EXPLAIN_INTERVAL)
                await self.explain()

    def is_refused(self, screened, body):
        """Tell whether a request is known to crash its targets."""
        if not self._watch.knows_any:
            return False
        return self._watch.is_refused(time.monotonic(), _fingerprint(screened, body))

    def record_lost(self, row, screened, body, offered_at):
        """Take an answer of a target that ended with its connection."""
        fingerprint = _fingerprint(screened, body)
        target_id = (row.address, row.incarnation)
        crash = Crash(target_id, fingerprint, offered_at, time.monotonic())
        self._watch.record_lost(crash)
        self._log("answer lost", crash, request_id=screened.request.request_id)
        if self._tasks is not None and target_id not in self._looked_at:
            self._looked_at.add(target_id)
            self._tasks.start_soon(self._look_at, target_id)

    async def _look_at(self, target_id):
        """Find out whether a target still takes connections."""
        address, _ = target_id
        found = set()
        try:
            for delay in LOOK_DELAYS:
                await anyio.sleep(delay)
                reach = await look_for_listener(address)
                found.add(reach)
                if reach is Reach.REFUSED:
                    break
            if Reach.REFUSED in found or found == {Reach.SILENT}:
                await self._tell_crashes(self._watch.record_end(target_id))
        finally:
            self._looked_at.discard(target_id)

    async def record_answer(self, row, screened, body, offered_at):
        """Take a whole answer, which clears the request and shows the target alive."""
        target_id = (row.address, row.incarnation)
        if self._watch.record_answer(target_id, offered_at):
            logger.info(
                "target answers, and has not ended",
                extra={"target": row.id, "target_address": row.address},
            )
            seconds_ago = time.monotonic() - offered_at
            await self.tell(TargetAnswered(*target_id, seconds_ago))
        if not self._watch.knows_any:
            return
        fingerprint = _fingerprint(screened, body)
        if self._watch.record_whole(time.monotonic(), fingerprint):
            logger.info(
                "suspected request was answered", extra={"request": fingerprint.hex()}
            )
            await self.tell(CrashNews(fingerprint))

    async def explain(self):
        """Find the targets that started again after their answers were lost."""
        now = time.monotonic()
        incarnations = {
            row.address: row.incarnation for row in self._registry.targets.rows()
        }
        found, unexplained = self._watch.explain(now, incarnations)
        for crash in unexplained:
            self._log("lost answer not explained", crash)
        await self._tell_crashes(found)

    async def _tell_crashes(self, crashes):
        now = time.monotonic()
        for crash in crashes:
            self._log("target ended while it ran a request", crash, logging.WARNING)
            await self.tell(_crash_news(now, crash))

    def record_news(self, news):
        """Take the news of another gateway."""
        now = time.monotonic()
        if not news.address:
            self._watch.record_whole(now, news.fingerprint)
            return
        crash = Crash(
            (news.address, news.incarnation),
            news.fingerprint,
            now - news.offered_seconds_ago,
            now - news.ended_seconds_ago,
        )
        if self._watch.record_crash(crash):
            self._log("told of a target that ended", crash)

    def record_target_answered(self, news):
        """Take the news that a target has answered another gateway."""
        offered_at = time.monotonic() - news.offered_seconds_ago
        self._watch.record_answer((news.address, news.incarnation), offered_at)

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


def _crash_news(now, crash):
    address, incarnation = crash.id
    return CrashNews(
        crash.fingerprint,
        address,
        incarnation,
        now - crash.offered_at,
        now - crash.ended_at,
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
