"""Parts of prompts that crash targets, as found by all gateways together."""

import logging
import time
from functools import partial

from banyanshore.gateway.findings import Findings
from banyanshore.membership.load_reports import (
    BegunAnswersReport,
    PartNotice,
    UnbegunLossNotice,
)
from banyanshore.routing.crashes import MAX_RESTART_SECONDS
from banyanshore.routing.part_evidence import RefusedPart, UnbegunLoss
from banyanshore.routing.prompt_parts import PartDetector

logger = logging.getLogger(__name__)


class SuspectedParts:
    """Exchange the evidence for and against parts of prompts, and weigh it.

    :param member: row of this gateway.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    :ivar send: coroutine function that sends an update to the other gateways.
    :ivar forward_again: function that forwards updates again if this gateway is a hub.
    :ivar on_refused: function that is called with each part that is refused.
    """

    def __init__(self, member, metrics):
        self.send = None
        self.forward_again = None
        self.on_refused = None
        self._member = member
        self._metrics = metrics
        self._detector = PartDetector()
        self._findings = Findings()
        # Lost requests that had not begun, by target: time and parts.
        self._lost_by_target_id = {}
        self._sequence = 0

    def find_refused(self, parts):
        """Return the :class:`RefusedPart` that a prompt contains, or ``None``."""
        if not self._detector.has_suspects:
            return None
        return self._detector.find_proven(time.monotonic(), parts)

    def is_held(self, parts):
        """Return whether a request may not be sent yet because of a suspected part."""
        if not self._detector.has_suspects:
            return False
        return self._detector.find_held(time.monotonic(), parts) is not None

    def record_sent(self, parts):
        """Record that a target was chosen for a request."""
        if self._detector.has_suspects:
            self._detector.record_sent(time.monotonic(), parts)

    async def record_begun(self, offer):
        """Record that the answer to an offer has begun."""
        now = time.monotonic()
        for row in self._detector.record_begun(now, offer.offered_at, offer.parts):
            await self._send_cleared(row)

    def record_lost(self, offer):
        """Record that the answer to an offer was lost; its target may have crashed."""
        if not offer.has_begun:
            row = time.monotonic(), frozenset(offer.parts)
            self._lost_by_target_id.setdefault(offer.target_id, []).append(row)

    async def record_exit(self, target_id):
        """Record that a target with lost requests has exited."""
        rows = self._lost_by_target_id.get(target_id, ())
        for at, parts in rows:
            self._detector.record_own_loss(at, parts)
        parts = frozenset().union(*(parts for _, parts in rows))
        if not parts:
            return
        lost_at = max(at for at, _ in rows)
        loss = UnbegunLoss(target_id, lost_at, parts)
        if self._detector.record_crash(time.monotonic(), loss):
            await self._send_finding(partial(_loss_notice, loss))

    def withdraw_exit(self, target_id):
        """Withdraw the exit of a target that was alive later."""
        self._detector.withdraw_crash(target_id)

    async def tick(self):
        """Weigh the evidence, and report the own counts."""
        now = time.monotonic()
        for row in self._detector.weigh(now):
            self._log("part of prompts is refused", row, logging.WARNING)
            self.on_refused(row.part)
            await self._send_finding(partial(_part_notice, row))
        for row in self._detector.take_explained():
            await self._send_cleared(row)
        if counts := self._detector.take_begun_to_report(now):
            self._sequence += 1
            member = self._member
            await self.send(
                BegunAnswersReport(
                    member.instance, member.incarnation, self._sequence, counts
                )
            )
        self._forget_lost(now)

    async def repeat_updates(self):
        """Send updates again that may have been lost, or that new gateways need."""
        for update in self._findings.updates_to_repeat():
            await self.send(update)
        now = time.monotonic()
        rows = self._detector.refused_to_repeat(now)
        self.forward_again(_part_notice(row, now) for row in rows)

    def forget_departed(self, senders):
        """Forget the counts of all but the given gateways."""
        self._detector.forget_senders(senders)

    async def _send_finding(self, make_update):
        await self.send(self._findings.add(make_update))

    async def _send_cleared(self, row):
        self._log("part of prompts is accepted again", row)
        await self._send_finding(partial(_cleared_notice, row))

    def record_loss_notice(self, notice):
        """Apply another gateway's losses at a crash; return whether they are new."""
        now = time.monotonic()
        loss = UnbegunLoss(
            (notice.address, notice.incarnation),
            now - notice.lost_seconds_ago,
            frozenset(notice.parts),
        )
        return self._detector.record_crash(now, loss)

    def record_begun_report(self, report):
        """Apply another gateway's counts of answers that have begun."""
        now = time.monotonic()
        cleared = self._detector.record_report(now, report.sender, report.counts)
        for row in cleared:
            self._log("part of prompts is accepted again", row)
            self._findings.add(partial(_cleared_notice, row))
        return True

    def record_part_notice(self, notice):
        """Apply another gateway's verdict on a part; return whether it is new."""
        lost_at = time.monotonic() - notice.lost_seconds_ago
        if not notice.crashes:
            return self._detector.clear(notice.part, lost_at)
        row = RefusedPart(notice.part, notice.crashes, lost_at, notice.base_rate)
        is_new = self._detector.refuse(row)
        if is_new:
            self._log("told of a part of prompts to refuse", row)
            self.on_refused(row.part)
        return is_new

    def _forget_lost(self, now):
        for target_id, rows in list(self._lost_by_target_id.items()):
            kept = [row for row in rows if now - row[0] <= MAX_RESTART_SECONDS]
            if kept:
                self._lost_by_target_id[target_id] = kept
            else:
                del self._lost_by_target_id[target_id]

    def _log(self, message, row, level=logging.INFO):
        self._metrics.suspected_parts.labels(message).inc()
        logger.log(
            level,
            message,
            extra={
                "part": row.part.hex(),
                "crashes": row.crashes,
                "base_rate": round(row.base_rate, 4),
                "lost_ms_ago": round((time.monotonic() - row.lost_at) * 1000),
                "refused_seconds": round(row.refused_until - row.lost_at),
            },
        )


def _loss_notice(loss, now):
    address, incarnation = loss.target_id
    return UnbegunLossNotice(
        address, incarnation, now - loss.lost_at, tuple(sorted(loss.parts))
    )


def _part_notice(row, now):
    return PartNotice(row.part, row.crashes, now - row.lost_at, row.base_rate)


def _cleared_notice(row, now):
    return PartNotice(row.part, 0, now - row.lost_at)
