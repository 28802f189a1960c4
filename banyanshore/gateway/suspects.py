"""Detection of requests that crash targets, shared between the gateways."""

import logging
import math
import time
from dataclasses import field
from functools import partial

import anyio

from banyanshore.core.values import dataclass
from banyanshore.gateway.findings import Findings
from banyanshore.gateway.target_probes import TargetProbes
from banyanshore.membership.load_reports import CrashNotice, TargetAnswered
from banyanshore.routing.crashes import (
    CRASHES_TO_REFUSE,
    Crash,
    CrashDetector,
    Survival,
)
from banyanshore.routing.quarantine import request_fingerprint

logger = logging.getLogger(__name__)

# Seconds between checks for restarted targets and for offers without an answer: well
# within the time in which a restart explains a lost answer.
RESTART_CHECK_INTERVAL = 0.25
# Seconds between repeats of crash updates.
REPEAT_INTERVAL = 1.0
# Seconds for which a target that has begun to answer any request isn't probed for other
# overdue answers: a full target is slow.
RECENT_HEAD_SECONDS = 1.0


@dataclass
class OfferInFlight:
    """An offer in flight.

    :param row: row of the target.
    :param offered_at: time at which the request was sent to it.
    :param overdue_at: time by which a healthy target would have begun to answer.
    :param parts: digests of the parts of its prompt that others may share.
    :param scope: cancel scope that withdraws the offer if no head has arrived.
    :ivar has_head: whether the head of an answer has arrived.
    :ivar has_begun: whether an event or a complete body has arrived.
    :ivar is_lost: whether the answer counts as lost or was given up.
    """

    row: object
    screened: object
    body: bytes
    offered_at: float
    overdue_at: float
    parts: tuple = ()
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    has_head: bool = False
    has_begun: bool = False
    is_lost: bool = False

    @property
    def target_id(self):
        """Return the target's address and incarnation."""
        return self.row.address, self.row.incarnation


class Suspects:
    """Requests that are suspected to crash the targets that run them.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    :param parts: the :class:`~banyanshore.gateway.suspected_parts.SuspectedParts`.
    :ivar send: coroutine function that sends an update to the other gateways.
    :ivar forward_again: function that forwards updates again if this gateway is a hub.
    """

    def __init__(self, registry, metrics, parts):
        self.parts = parts
        parts.on_refused = self._withdraw_offers
        self.send = None
        self.forward_again = None
        self._metrics = metrics
        self._registry = registry
        self._detector = CrashDetector()
        self._probes = TargetProbes(registry, self._record_exit, self._withdraw)
        self._offers_by_key = {}
        self._findings = Findings()
        self._head_at_by_id = {}

    async def run(self):
        """Look for targets that have exited, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._probes.tasks = tasks
            repeat_at = -math.inf
            while True:
                await anyio.sleep(RESTART_CHECK_INTERVAL)
                self._record_overdue()
                await self.find_restarts()
                await self._report_answers()
                await self.parts.tick()
                if time.monotonic() >= repeat_at:
                    repeat_at = time.monotonic() + REPEAT_INTERVAL
                    await self._repeat_updates()

    async def _send_finding(self, make_update):
        """Send a finding of this gateway, now and repeatedly for some seconds.

        :param make_update: function that gets the time and returns the update.
        """
        await self.send(self._findings.add(make_update))

    async def _repeat_updates(self):
        """Send updates again that may have been lost, or that new gateways need."""
        for update in self._findings.updates_to_repeat():
            await self.send(update)
        now = time.monotonic()
        self.forward_again(
            _crash_update(crash, now) for crash in self._detector.crashes_to_repeat()
        )
        await self.parts.repeat_updates()

    def is_refused(self, screened, body, parts):
        """Return whether a request is refused because it crashes its targets.

        :param parts: digests of the parts of its prompt that others may share.
        """
        if self.parts.find_refused(parts) is not None:
            return True
        if not self._detector.has_records:
            return False
        return self._detector.is_refused(time.monotonic(), _fingerprint(screened, body))

    def begin(self, offer_in_flight):
        """Record an :class:`OfferInFlight` that is about to be sent."""
        self._offers_by_key[id(offer_in_flight)] = offer_in_flight

    def record_head(self, offer_in_flight):
        """Record that the head of an answer has arrived."""
        offer_in_flight.has_head = True
        self._head_at_by_id[offer_in_flight.target_id] = time.monotonic()

    async def record_begun(self, offer_in_flight):
        """Record that an event or a complete body has arrived."""
        if not offer_in_flight.has_begun:
            offer_in_flight.has_begun = True
            await self.parts.record_begun(offer_in_flight)

    def end(self, offer_in_flight):
        """Forget an offer; a lost answer remains recorded as a possible crash."""
        del self._offers_by_key[id(offer_in_flight)]

    def _withdraw_offers(self, part):
        """Withdraw the offers with a part that is refused from now on."""
        for offer in self._offers_by_key.values():
            if part in offer.parts and not offer.has_head:
                # If the target crashes all the same, the part explains it.
                self.parts.record_lost(offer)
                offer.scope.cancel()

    async def record_lost(self, offer_in_flight):
        """Record an answer that was lost with its connection, and probe its target.

        If one more crash would have the request refused, this waits for the result of
        the probe, so that the request isn't offered again before.
        """
        crash = self._record_loss(offer_in_flight, "answer lost")
        if self._detector.count(crash.fingerprint) == CRASHES_TO_REFUSE - 1:
            await self._probes.probe(crash.id)
        else:
            self._probes.start(crash.id)

    def record_given_up(self, offer_in_flight):
        """Record an offer that was given up at its deadline or when its caller left."""
        if not offer_in_flight.is_lost:
            self._record_loss(offer_in_flight, "answer not waited for")

    def _record_loss(self, offer_in_flight, message):
        offer_in_flight.is_lost = True
        fingerprint = _fingerprint(offer_in_flight.screened, offer_in_flight.body)
        crash = Crash(
            offer_in_flight.target_id,
            fingerprint,
            offer_in_flight.offered_at,
            time.monotonic(),
        )
        self._detector.record_lost(crash)
        self.parts.record_lost(offer_in_flight)
        request_id = offer_in_flight.screened.request.request_id
        self._log(message, crash, request_id=request_id)
        return crash

    def _record_overdue(self):
        """Record overdue answers as lost, and probe their targets.

        The gateway waits for an offer that may not be repeated until its deadline,
        which is too late to find out that its target has exited.
        """
        now = time.monotonic()
        for offer in list(self._offers_by_key.values()):
            head_at = self._head_at_by_id.get(offer.target_id, -math.inf)
            is_overdue = now >= offer.overdue_at and now - head_at > RECENT_HEAD_SECONDS
            if is_overdue and not (offer.has_head or offer.is_lost):
                crash = self._record_loss(offer, "no answer begun")
                self._probes.start(crash.id)

    async def record_answer(self, offer_in_flight):
        """Record a complete answer, evidence for the request and its target."""
        await self.record_begun(offer_in_flight)
        await self._withdraw(offer_in_flight.target_id, offer_in_flight.offered_at)
        if not self._detector.has_records:
            return
        fingerprint = _fingerprint(offer_in_flight.screened, offer_in_flight.body)
        survival = Survival(
            offer_in_flight.target_id, fingerprint, offer_in_flight.offered_at
        )
        self._detector.record_complete_answer(survival)
        await self._report_answers()

    async def _report_answers(self):
        """Report the answers that count against crashes to the other gateways."""
        for survival in self._detector.take_answers_to_report():
            address, incarnation = survival.id
            logger.info(
                "suspected request was answered",
                extra={
                    "request": survival.fingerprint.hex(),
                    "target_address": address,
                    "target_incarnation": incarnation,
                    "crashes": self._detector.count(survival.fingerprint),
                },
            )
            await self._send_finding(partial(_answer_update, survival))

    async def _withdraw(self, target_id, alive_at):
        """Withdraw the crash of a target that was alive at a later time."""
        if not self._detector.record_answer(target_id, alive_at):
            return
        self.parts.withdraw_exit(target_id)
        address, incarnation = target_id
        logger.info(
            "target has not exited after all",
            extra={"target_address": address, "target_incarnation": incarnation},
        )
        await self._send_finding(
            lambda now: TargetAnswered(address, incarnation, now - alive_at)
        )

    async def _record_exit(self, target_id):
        await self._report_crashes(self._detector.record_exit(target_id))

    async def find_restarts(self):
        """Find the targets that have started again after their answers were lost."""
        if not self._detector.has_records:
            return
        now = time.monotonic()
        incarnations = {
            row.address: row.incarnation for row in self._registry.targets.rows()
        }
        for target_id in list(self._head_at_by_id):
            if incarnations.get(target_id[0]) != target_id[1]:
                del self._head_at_by_id[target_id]
        found, unexplained = self._detector.find_restarts(now, incarnations)
        for crash in unexplained:
            self._log("lost answer not explained", crash)
        await self._report_crashes(found)

    async def _report_crashes(self, crashes):
        for target_id in dict.fromkeys(crash.id for crash in crashes):
            await self.parts.record_exit(target_id)
        for crash in crashes:
            self._log("target ended while it ran a request", crash, logging.WARNING)
            await self._send_finding(partial(_crash_update, crash))

    def record_update(self, update):
        """Apply an update of another gateway; return whether it was new."""
        now = time.monotonic()
        if not update.address:
            # Nothing follows from an answer of an unknown target at an unknown time.
            return True
        crash = Crash(
            (update.address, update.incarnation),
            update.fingerprint,
            now - update.offered_seconds_ago,
            now - update.crashed_seconds_ago,
        )
        is_new = self._detector.record_crash(crash)
        if is_new:
            self._log("told of a target that ended", crash)
        return is_new

    def record_target_answered(self, update):
        """Apply the update that a target has answered another gateway."""
        offered_at = time.monotonic() - update.offered_seconds_ago
        target_id = update.address, update.incarnation
        if self._detector.record_answer(target_id, offered_at):
            self.parts.withdraw_exit(target_id)
        if update.fingerprint:
            survival = Survival(target_id, update.fingerprint, offered_at)
            self._detector.record_complete_answer(survival, is_reported=True)
        return True

    def _log(self, message, crash, level=logging.INFO, **details):
        """Log and count an event in the tracking of a lost answer."""
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


def _crash_update(crash, now):
    address, incarnation = crash.id
    return CrashNotice(
        crash.fingerprint,
        address,
        incarnation,
        now - crash.offered_at,
        now - crash.lost_at,
    )


def _answer_update(survival, now):
    address, incarnation = survival.id
    return TargetAnswered(
        address, incarnation, now - survival.offered_at, survival.fingerprint
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
