"""Find the requests that crash targets, and carry their news between the gateways."""

import logging
import math
import time
from collections import deque
from dataclasses import dataclass
from functools import partial

import anyio

from banyanshore.http.upstream import Reach, look_for_listener
from banyanshore.membership.load_reports import CrashNews, TargetAnswered
from banyanshore.routing.crashes import CRASHES_TO_REFUSE, Crash, CrashDetector
from banyanshore.routing.quarantine import request_fingerprint

logger = logging.getLogger(__name__)

# Seconds before each look at a target whose answer was lost. One that has ended refuses
# connections at once; one that isn't reached at all is looked for again, since a full
# queue or a lost packet looks the same.
LOOK_DELAYS = (0.05, 0.25)
# Seconds between looks at a target that has ended, and for how long: a cut that looks
# like the end of all targets behind it must not blame what ran there for longer.
FOLLOW_UP_INTERVAL = 1.0
FOLLOW_UP_SECONDS = 60.0
# Seconds after which a target that takes connections again would be known by its new
# start: two heartbeats and their way.
START_NEWS_SECONDS = 3.0
# Seconds between looks for targets that have started again, and for offers that no
# target has begun to answer: well within the time in which a restart explains an answer
# that was lost.
RESTART_CHECK_INTERVAL = 0.25
# Seconds between repeats of the news of crashes.
REPEAT_INTERVAL = 1.0
# Seconds for which a gateway repeats what it has found itself, longer than a link takes
# to be opened anew, and how many items at most.
FOUND_SECONDS = 5.0
MAX_FOUND = 64
# Seconds for which a target that has begun to answer any request isn't looked at for
# being silent on another: a full target is slow.
HEARD_SECONDS = 1.0


@dataclass
class UnderWay:
    """An offer that a target has.

    :param row: row of the target.
    :param offered_at: time at which the request was sent to it.
    :param silent_at: time at which a sound target would have begun to answer.
    :ivar is_heard: whether the head of an answer has come.
    :ivar is_lost: whether the answer has been given up, here or by the caller.
    """

    row: object
    screened: object
    body: bytes
    offered_at: float
    silent_at: float
    is_heard: bool = False
    is_lost: bool = False

    @property
    def target_id(self):
        """Return what tells the target's starts apart."""
        return self.row.address, self.row.incarnation


class Suspects:
    """Requests that are suspected to crash the targets that run them.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    :ivar tell: coroutine function that tells the other gateways an item of news.
    :ivar repeat: function that tells them items again if this gateway passes news on.
    """

    def __init__(self, registry, metrics):
        self.tell = None
        self.repeat = None
        self._metrics = metrics
        self._registry = registry
        self._detector = CrashDetector()
        self._tasks = None
        # Targets that are being looked at, and those that have ended and may be back.
        self._looked_at = set()
        self._followed = set()
        self._offers_by_key = {}
        self._found = deque(maxlen=MAX_FOUND)
        self._heard_at_by_id = {}

    async def run(self):
        """Look for targets that have ended, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            repeat_at = -math.inf
            while True:
                await anyio.sleep(RESTART_CHECK_INTERVAL)
                self._lose_silent()
                await self.find_restarts()
                if time.monotonic() >= repeat_at:
                    repeat_at = time.monotonic() + REPEAT_INTERVAL
                    await self._repeat_news()

    async def _tell_found(self, make_news):
        """Tell what this gateway has found, now and some times more.

        :param make_news: function of the time that returns the news.
        """
        now = time.monotonic()
        self._found.append((now, make_news))
        await self.tell(make_news(now))

    async def _repeat_news(self):
        """Tell again what may have been lost, and what a new gateway has to know."""
        now = time.monotonic()
        while self._found and now - self._found[0][0] > FOUND_SECONDS:
            self._found.popleft()
        for _, make_news in self._found:
            await self.tell(make_news(now))
        self.repeat(
            _crash_news(crash, now) for crash in self._detector.crashes_to_repeat()
        )

    def is_refused(self, screened, body):
        """Tell whether a request is known to crash its targets."""
        if not self._detector.has_records:
            return False
        return self._detector.is_refused(time.monotonic(), _fingerprint(screened, body))

    def begin(self, row, screened, body, offered_at, silent_at):
        """Return the :class:`UnderWay` of an offer that is about to be sent."""
        under_way = UnderWay(row, screened, body, offered_at, silent_at)
        self._offers_by_key[id(under_way)] = under_way
        return under_way

    def record_heard(self, under_way):
        """Take the head of an answer."""
        under_way.is_heard = True
        self._heard_at_by_id[under_way.target_id] = time.monotonic()

    def end(self, under_way):
        """Forget an offer; one that was given up may be a crash all the same."""
        del self._offers_by_key[id(under_way)]

    async def record_lost(self, under_way):
        """Take an answer that ended with its connection, and look at its target.

        Where one more crash has the request refused, this waits for what is found, so
        that it isn't offered again before.
        """
        crash = self._lose(under_way, "answer lost")
        if self._detector.count(crash.fingerprint) == CRASHES_TO_REFUSE - 1:
            await self._look_at(crash.id)
        else:
            self._start_look(crash.id)

    def _start_look(self, target_id):
        if self._tasks is not None and target_id not in self._looked_at:
            self._looked_at.add(target_id)
            self._tasks.start_soon(self._look_at, target_id)

    def record_given_up(self, under_way):
        """Take an offer that ended with its deadline, or since its caller left."""
        if not under_way.is_lost:
            self._lose(under_way, "answer not waited for")

    def _lose(self, under_way, message):
        under_way.is_lost = True
        fingerprint = _fingerprint(under_way.screened, under_way.body)
        crash = Crash(
            under_way.target_id, fingerprint, under_way.offered_at, time.monotonic()
        )
        self._detector.record_lost(crash)
        request_id = under_way.screened.request.request_id
        self._log(message, crash, request_id=request_id)
        return crash

    def _lose_silent(self):
        """Look at targets that have not begun to answer in their time.

        An offer that may not be repeated is waited for until its deadline, which is too
        late to find out that its target has ended.
        """
        now = time.monotonic()
        for offer in list(self._offers_by_key.values()):
            heard_at = self._heard_at_by_id.get(offer.target_id, -math.inf)
            is_silent = now >= offer.silent_at and now - heard_at > HEARD_SECONDS
            if is_silent and not (offer.is_heard or offer.is_lost):
                crash = self._lose(offer, "no answer begun")
                self._start_look(crash.id)

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
                await self._tell_crashes(self._detector.record_exit(target_id))
                self._start_follow_up(target_id)
        finally:
            self._looked_at.discard(target_id)

    def _start_follow_up(self, target_id):
        if self._tasks is not None and target_id not in self._followed:
            self._followed.add(target_id)
            self._tasks.start_soon(self._follow_up, target_id)

    async def _follow_up(self, target_id):
        """Withdraw an end if the target is back as the same start, as after a cut."""
        try:
            with anyio.move_on_after(FOLLOW_UP_SECONDS):
                await self._wait_until_open(target_id[0])
                await anyio.sleep(START_NEWS_SECONDS)
                if self._is_same_start(target_id):
                    await self._withdraw(target_id, time.monotonic())
        finally:
            self._followed.discard(target_id)

    async def _wait_until_open(self, address):
        while await look_for_listener(address) is not Reach.OPEN:
            await anyio.sleep(FOLLOW_UP_INTERVAL)

    def _is_same_start(self, target_id):
        rows = self._registry.targets.rows()
        starts = {row.incarnation for row in rows if row.address == target_id[0]}
        return starts == {target_id[1]}

    async def record_answer(self, under_way):
        """Take a whole answer, which clears the request and shows the target alive."""
        await self._withdraw(under_way.target_id, under_way.offered_at)
        if not self._detector.has_records:
            return
        fingerprint = _fingerprint(under_way.screened, under_way.body)
        if self._detector.record_complete_answer(time.monotonic(), fingerprint):
            logger.info(
                "suspected request was answered", extra={"request": fingerprint.hex()}
            )
            await self._tell_found(lambda now: CrashNews(fingerprint))

    async def _withdraw(self, target_id, alive_at):
        """Withdraw what was counted of a target that was alive at a later time."""
        if not self._detector.record_answer(target_id, alive_at):
            return
        address, incarnation = target_id
        logger.info(
            "target has not ended after all",
            extra={"target_address": address, "target_incarnation": incarnation},
        )
        await self._tell_found(
            lambda now: TargetAnswered(address, incarnation, now - alive_at)
        )

    async def find_restarts(self):
        """Find the targets that started again after their answers were lost."""
        if not self._detector.has_records:
            return
        now = time.monotonic()
        incarnations = {
            row.address: row.incarnation for row in self._registry.targets.rows()
        }
        for target_id in list(self._heard_at_by_id):
            if incarnations.get(target_id[0]) != target_id[1]:
                del self._heard_at_by_id[target_id]
        found, unexplained = self._detector.find_restarts(now, incarnations)
        for crash in unexplained:
            self._log("lost answer not explained", crash)
        await self._tell_crashes(found)

    async def _tell_crashes(self, crashes):
        for crash in crashes:
            self._log("target ended while it ran a request", crash, logging.WARNING)
            await self._tell_found(partial(_crash_news, crash))

    def record_news(self, news):
        """Take the news of another gateway; tell whether it was new here."""
        now = time.monotonic()
        if not news.address:
            self._detector.record_complete_answer(now, news.fingerprint)
            return True
        crash = Crash(
            (news.address, news.incarnation),
            news.fingerprint,
            now - news.offered_seconds_ago,
            now - news.ended_seconds_ago,
        )
        is_new = self._detector.record_crash(crash)
        if is_new:
            self._log("told of a target that ended", crash)
        return is_new

    def record_target_answered(self, news):
        """Take the news that a target has answered another gateway."""
        offered_at = time.monotonic() - news.offered_seconds_ago
        self._detector.record_answer((news.address, news.incarnation), offered_at)
        return True

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
                "crashes": self._detector.count(crash.fingerprint),
                "lost_ms_ago": round((time.monotonic() - crash.lost_at) * 1000),
                **details,
            },
        )


def _crash_news(crash, now):
    address, incarnation = crash.id
    return CrashNews(
        crash.fingerprint,
        address,
        incarnation,
        now - crash.offered_at,
        now - crash.lost_at,
    )


def _fingerprint(screened, body):
    request = screened.request
    return request_fingerprint(
        screened.workspace.name or request.key,
        # A route may send repeats of one request to different services.
        request.host,
        request.method.decode("latin-1"),
        request.target.decode("latin-1"),
        body,
    )
