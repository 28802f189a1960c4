"""Find a target for each call and pass its answer on.

A call is offered to targets of this data centre first, then to other data centres
through their entries, and waits for a while if all are full. It is offered again only
if it surely did not run, or if it may be repeated and the retry budget allows it, and
never while anything of an answer has reached the caller.
"""

import logging
import math
import time
import uuid
from dataclasses import replace

import anyio

from banyanshore.entry.answers import HeldAnswer, ResponderSink
from banyanshore.entry.exchange import Exchange
from banyanshore.entry.progress import Copies, Progress
from banyanshore.routing.budgets import RetryBudget
from banyanshore.routing.calls import ANSWERED, Call, End, EndKind
from banyanshore.routing.messages import (
    Data,
    Failed,
    FailureReason,
    Finished,
    RefusalReason,
    Refused,
)
from banyanshore.routing.quarantine import Verdict
from banyanshore.routing.waiting import WaitingQueue, WaitingRow

logger = logging.getLogger(__name__)

# Seconds between looks at the requests that wait.
WAKE_INTERVAL = 0.05
# Refusals by which a target's status changes before its next report.
_STATUS_REFUSALS = frozenset({RefusalReason.LEAVING, RefusalReason.NOT_SERVING})
# Failures by which an instance may have been lost with all that ran there.
_LOSSES = frozenset({FailureReason.CONNECTION_LOST, FailureReason.AGENT_RESTARTED})
# Reasons that the caller can do something about at once, with the seconds to wait.
_RETRY_AFTER_BY_REASON = {RefusalReason.NO_TARGET: 2.0}


class Proxy:
    """Route the calls of one entry.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param state: the :class:`~banyanshore.state.holder.StateHolder`.
    :param places: the :class:`~banyanshore.entry.places.Places`.
    :param selector: the :class:`~banyanshore.routing.selection.Selector`.
    :param tell_suspects: async callable given news for the other entries.
    """

    def __init__(
        self, settings, state, targets, selector, places, quarantine, links,
        metrics, tracer, tell_suspects,
    ):  # fmt: skip
        self._settings = settings
        self._options = settings.routing
        self._state = state
        self._targets = targets
        self._selector = selector
        self._places = places
        self._quarantine = quarantine
        self._links = links
        self._metrics = metrics
        self._tracer = tracer
        self._tell_suspects = tell_suspects
        self._retries = RetryBudget(
            self._options.retry_ratio, self._options.retry_burst
        )
        self.waiting = WaitingQueue(self._options.max_queue_length)
        self.in_flight = 0
        self._someone_waits = anyio.Event()
        self._copies_by_fingerprint = {}
        metrics.waiting.set_function(lambda: self.waiting.length)
        metrics.in_flight.set_function(lambda: self.in_flight)

    async def run(self):
        """Wake and shed waiting calls until cancelled."""
        while True:
            if not self.waiting.length:
                await self._someone_waits.wait()
            await anyio.sleep(WAKE_INTERVAL)
            self.waiting.shed_expired(time.monotonic())
            for service in self.waiting.services():
                self._wake(service)

    def _wake(self, service):
        """Wake as many as there is room for, and one to look further away."""
        now = time.monotonic()
        room = sum(
            max(0, row.report.limit - self._selector.estimated_load(row.report))
            for row in self._targets.iter_serving(now, service)
        )
        for _ in range(room + 1):
            if not self.waiting.wake_next(service):
                return

    async def handle(self, call, sink, is_forwarded=False):
        """Have a call run and return its :class:`~banyanshore.routing.calls.End`.

        :param is_forwarded: whether it comes from another data centre; then it is
            offered only here and doesn't wait.
        """
        self.in_flight += 1
        self.waiting.running[call.workspace] += 1
        try:
            attributes = {"request.id": call.request_id, "service": call.service}
            with self._tracer.span("entry", call.traceparent, **attributes) as parent:
                call = replace(call, traceparent=parent)
                return await self._route(call, sink, is_forwarded)
        finally:
            self.in_flight -= 1
            self.waiting.running[call.workspace] -= 1
            if not self.waiting.running[call.workspace]:
                del self.waiting.running[call.workspace]

    async def _route(self, call, sink, is_forwarded):
        progress = Progress(is_forwarded=is_forwarded)
        answer = HeldAnswer(sink, call.streamed)
        while True:
            now = time.monotonic()
            verdict = self._quarantine.verdict(now, call.fingerprint)
            if verdict is Verdict.QUARANTINED:
                ran = progress.may_have_run
                kind = EndKind.UNKNOWN if ran else EndKind.NOT_RUN
                return End(kind, RefusalReason.QUARANTINED, math.inf)
            if now >= call.deadline:
                return self._give_up(call, progress, RefusalReason.DEADLINE)
            exclusive = verdict is Verdict.ALONE
            settled_at = self._quarantine.settled_at(call.fingerprint)
            if exclusive and now < settled_at:
                await anyio.sleep(min(settled_at, call.deadline) - now)
                continue
            if exclusive and call.fingerprint in self._copies_by_fingerprint:
                # The same request, sent twice: what becomes of one tells the other.
                copies = self._copies_by_fingerprint[call.fingerprint]
                with anyio.move_on_after(call.deadline - now):
                    await copies.changed.wait()
                continue
            place = self._choose(now, call, progress, exclusive, is_forwarded)
            if place is None:
                end = await self._wait(call, progress, exclusive, is_forwarded)
                if end is not None:
                    return end
                continue
            end = await self._attempt(call, progress, place, answer, exclusive)
            if end is not None:
                return end

    async def _attempt(self, call, progress, place, answer, exclusive):
        """Offer a call to a place; return its end unless it goes on."""
        table = self._copies_by_fingerprint
        copies = table.setdefault(call.fingerprint, Copies())
        copies.running += 1
        try:
            reply = await self._offer(call, place, exclusive, answer, progress)
            end = await self._settle(call, progress, place, reply, answer, exclusive)
            if end is ANSWERED and exclusive and not place.data_centre:
                await self._clear_suspect(call)
            return end
        finally:
            copies.running -= 1
            changed, copies.changed = copies.changed, anyio.Event()
            changed.set()
            if not copies.running:
                del table[call.fingerprint]

    def _choose(self, now, call, progress, exclusive, is_forwarded):
        first_come = self.waiting.has_waiting(call.service, call.priority)
        if first_come and not progress.has_waited and not is_forwarded:
            return None
        if progress.attempts >= self._options.max_attempts:
            return None
        return self._places.choose(now, call, progress, exclusive, is_forwarded)

    async def _wait(self, call, progress, exclusive, is_forwarded):
        """Wait for a target; return the end of the call if it is given up."""
        now = time.monotonic()
        if is_forwarded:
            return self._give_up(call, progress, RefusalReason.FULL)
        if exclusive:
            # Those that must run alone take turns on few targets.
            progress.gives_up_at = call.deadline
        elif progress.gives_up_at is math.inf:
            progress.gives_up_at = min(
                now + self._queue_seconds(call.service), call.deadline
            )
        if now >= progress.gives_up_at:
            return self._give_up(call, progress, RefusalReason.FULL)
        woken = anyio.Event()
        row = WaitingRow(
            call.request_id,
            call.workspace,
            call.service,
            call.priority,
            progress.gives_up_at,
            lambda reason: woken.set(),
        )
        if not self.waiting.add(row, to_front=progress.has_waited):
            return self._give_up(call, progress, RefusalReason.FULL)
        someone_waits, self._someone_waits = self._someone_waits, anyio.Event()
        someone_waits.set()
        try:
            await woken.wait()
        finally:
            self.waiting.discard(row)
        progress.has_waited = True
        progress.attempts = 0
        progress.refused_by.clear()
        progress.excluded_data_centres.clear()
        if time.monotonic() >= progress.gives_up_at:
            return self._give_up(call, progress, RefusalReason.FULL)
        return None

    def _queue_seconds(self, service):
        row = (self._state.desired and self._state.desired.service(service)) or {}
        return row.get("max_queue_seconds", self._options.max_queue_seconds)

    def _why_not(self, call, progress):
        if progress.last_refusal is not None:
            return progress.last_refusal.reason
        served = self._places.are_known(time.monotonic(), call.service)
        return RefusalReason.FULL if served else RefusalReason.NO_TARGET

    def _give_up(self, call, progress, reason):
        if reason == RefusalReason.FULL:
            reason = self._why_not(call, progress)
        if progress.may_have_run:
            return End(EndKind.UNKNOWN, reason)
        retry_after = _RETRY_AFTER_BY_REASON.get(reason)
        if retry_after is None:
            # As long as it takes those who wait already.
            length = self.waiting.length
            retry_after = 1.0 + length * WAKE_INTERVAL
        return End(EndKind.NOT_RUN, reason, retry_after)

    async def _offer(self, call, place, exclusive, answer, progress):
        progress.attempts += 1
        if progress.attempts > 1:
            self._metrics.retries.inc()
        attempt_id = call.request_id
        if call.repeatable:
            attempt_id = f"{call.request_id}.{uuid.uuid4().hex[:8]}"
        dispatch = call.to_dispatch(time.monotonic(), attempt_id, exclusive)
        link = self._links.get(place.address, place.instance)

        def patience():
            # What can be offered elsewhere doesn't wait long.
            if call.repeatable and not answer.passed_on:
                return self._options.connection_wait
            return self._options.resume_seconds

        exchange = Exchange(link, place.incarnation, patience, self._metrics)
        if place.data_centre:
            dispatch = replace(dispatch, data_centre=place.data_centre)
            self._places.spend_spill(time.monotonic(), len(call.body))
            return await exchange.run(dispatch, self._count_spill(answer))
        self._selector.own_in_flight[place.instance] += 1
        try:
            return await exchange.run(dispatch, answer.on_reply)
        finally:
            self._selector.record_end(place.instance)
            self.waiting.wake_next(call.service)

    def _count_spill(self, answer):
        async def on_reply(reply):
            if isinstance(reply, Data):
                self._places.spend_spill(time.monotonic(), len(reply.body))
            await answer.on_reply(reply)

        return on_reply

    async def _settle(self, call, progress, place, reply, answer, exclusive):
        """Act on the last reply; return the end of the call unless it goes on."""
        if not place.data_centre and not isinstance(reply, Refused):
            succeeded = isinstance(reply, Finished)
            self._selector.record_outcome(time.monotonic(), place.instance, succeeded)
        if isinstance(reply, Finished):
            await answer.finish()
            self._retries.record_success()
            if place.data_centre:
                self._places.record_spilled(call.service)
            return ANSWERED
        if isinstance(reply, Refused):
            return self._settle_refusal(progress, place, reply)
        await self._suspect(call, place, reply, exclusive)
        return self._settle_failure(call, progress, place, reply, answer)

    def _settle_refusal(self, progress, place, reply):
        self._metrics.refusals.labels(reply.reason).inc()
        progress.last_refusal = reply
        if place.data_centre:
            progress.excluded_data_centres.add(place.data_centre)
        elif reply.reason == RefusalReason.FULL:
            now = time.monotonic()
            self._selector.record_full(now, place.instance, reply.retry_after)
        else:
            progress.refused_by.add(place.instance)
            if reply.reason in _STATUS_REFUSALS:
                status = "leaving" if reply.reason == "leaving" else "starting"
                self._targets.mark_refused(place.instance, status)
        return None

    async def _suspect(self, call, place, reply, exclusive):
        """Take note of what ran where a target or a whole instance was lost."""
        now = time.monotonic()
        if reply.crashed:
            news = self._quarantine.record_crash(now, reply.crash_id, reply.crashed)
        elif reply.reason in _LOSSES and not place.data_centre:
            instance = f"{place.instance}-{place.incarnation}"
            news = self._quarantine.record_loss(
                now, instance, call.fingerprint, exclusive
            )
        else:
            return
        self._metrics.suspects.set(len(self._quarantine))
        await self._tell_suspects(news)

    def _settle_failure(self, call, progress, place, reply, answer):
        unknown = End(
            EndKind.UNKNOWN,
            reply.reason,
            crashed=reply.crashed,
            crash_id=reply.crash_id,
        )
        # A forwarded call goes back to the entry that it came to, which then knows
        # of the crash before it offers the call again.
        if not call.repeatable or answer.passed_on or progress.is_forwarded:
            return unknown
        progress.may_have_run = True
        progress.failed_at.add(place.instance)
        if place.data_centre:
            progress.excluded_data_centres.add(place.data_centre)
        if not self._retries.try_spend():
            return replace(unknown, reason=RefusalReason.BUDGET)
        answer.drop()
        return None

    async def _clear_suspect(self, call):
        news = self._quarantine.record_complete_run(time.monotonic(), call.fingerprint)
        if news:
            await self._tell_suspects(news)

    async def handle_forwarded(self, dispatch, responder):
        """Run a call of another data centre on a target here."""
        call = Call.from_dispatch(time.monotonic(), dispatch)
        sink = ResponderSink(responder)
        end = await self.handle(replace(call, streamed=True), sink, is_forwarded=True)
        await responder.finish(_FORWARDED_REPLY[end.kind](end))


_FORWARDED_REPLY = {
    EndKind.ANSWERED: lambda end: Finished(),
    EndKind.NOT_RUN: lambda end: Refused(end.reason, end.retry_after),
    EndKind.UNKNOWN: lambda end: Failed(end.reason, end.crashed, end.crash_id),
}
