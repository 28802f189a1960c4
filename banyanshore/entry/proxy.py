"""Find a target for each call and forward its answer.

A call is offered to targets of this data centre first, then to other data centres
through their entries, and waits for a while if all are full. It is offered again only
if it certainly did not run, or if it is repeatable and the retry budget allows it, and
never once any of an answer has reached the caller.
"""

import contextlib
import logging
import math
import time
import uuid
from dataclasses import replace

import anyio

from banyanshore.entry.answers import BufferedAnswer, ResponderSink
from banyanshore.entry.exchange import Exchange
from banyanshore.entry.progress import Copies, Progress
from banyanshore.routing.budgets import RetryBudget
from banyanshore.routing.calls import ANSWERED, Call, CallResult, ResultKind
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

# Seconds between checks of the waiting calls.
WAKE_INTERVAL = 0.05
# Refusals that show a target's new status before its next report.
_STATUS_CHANGE_REASONS = frozenset({RefusalReason.LEAVING, RefusalReason.NOT_SERVING})
# Failures after which an instance may have been lost with all that ran on it.
_INSTANCE_LOSS_REASONS = frozenset(
    {FailureReason.CONNECTION_LOST, FailureReason.AGENT_RESTARTED}
)
# Seconds until a retry, for reasons that don't depend on the calls waiting here.
_RETRY_AFTER_BY_REASON = {RefusalReason.NO_TARGET: 2.0}


class Proxy:
    """Route the calls of one entry.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param state: the :class:`~banyanshore.state.holder.StateHolder`.
    :param destinations: the
        :class:`~banyanshore.entry.destinations.DestinationChooser`.
    :param selector: the :class:`~banyanshore.routing.selection.Selector`.
    :param send_suspect_updates: async callable that sends updates on suspects to the
        other entries.
    """

    def __init__(
        self, settings, state, targets, selector, destinations, quarantine, links,
        metrics, tracer, send_suspect_updates,
    ):  # fmt: skip
        self._settings = settings
        self._options = settings.routing
        self._state = state
        self._targets = targets
        self._selector = selector
        self._destinations = destinations
        self._quarantine = quarantine
        self._links = links
        self._metrics = metrics
        self._tracer = tracer
        self._send_suspect_updates = send_suspect_updates
        self._retry_budget = RetryBudget(
            self._options.retry_ratio, self._options.retry_burst
        )
        self.waiting = WaitingQueue(self._options.max_queue_length)
        self.in_flight = 0
        self._call_added = anyio.Event()
        self._copies_by_fingerprint = {}
        # Ids of the calls in flight.
        self._request_id_by_scope = {}
        metrics.waiting.set_function(lambda: self.waiting.length)
        metrics.in_flight.set_function(lambda: self.in_flight)

    async def run(self):
        """Wake waiting calls, and shed those whose time is up, until cancelled."""
        while True:
            if not self.waiting.length:
                await self._call_added.wait()
            await anyio.sleep(WAKE_INTERVAL)
            self.waiting.shed_expired(time.monotonic())
            for service in self.waiting.services():
                self._wake(service)

    def _wake(self, service):
        """Wake as many calls as targets here have room for, and one that may spill."""
        now = time.monotonic()
        free_capacity = sum(
            max(0, row.report.limit - self._selector.estimated_load(row.report))
            for row in self._targets.iter_serving(now, service)
        )
        for _ in range(free_capacity + 1):
            if not self.waiting.wake_next(service):
                return

    async def handle(self, call, sink, is_forwarded=False):
        """Run a call; return its :class:`~banyanshore.routing.calls.CallResult`.

        :param is_forwarded: whether another data centre forwarded the call, so that it
            is offered only to targets here and doesn't wait.
        """
        self.in_flight += 1
        self.waiting.running[call.workspace] += 1
        try:
            attributes = {"request.id": call.request_id, "service": call.service}
            with self._tracer.span("entry", call.traceparent, **attributes) as parent:
                call = replace(call, traceparent=parent)
                with self._track(call.request_id):
                    return await self._route(call, sink, is_forwarded)
                # Ended by end_all().
                return CallResult(ResultKind.UNKNOWN, FailureReason.CANCELLED)
        finally:
            self.in_flight -= 1
            self.waiting.running[call.workspace] -= 1
            if not self.waiting.running[call.workspace]:
                del self.waiting.running[call.workspace]

    @contextlib.contextmanager
    def _track(self, request_id):
        """Let :meth:`end_all` end the work in this context."""
        with anyio.CancelScope() as scope:
            self._request_id_by_scope[scope] = request_id
            try:
                yield
            finally:
                del self._request_id_by_scope[scope]

    def end_all(self):
        """End all calls in flight; their callers are told that the outcome is unknown.

        :return: the ids of the calls that were ended.
        """
        for scope in self._request_id_by_scope:
            scope.cancel()
        return list(self._request_id_by_scope.values())

    async def _route(self, call, sink, is_forwarded):
        progress = Progress(is_forwarded=is_forwarded)
        answer = BufferedAnswer(sink, call.streamed)
        while True:
            now = time.monotonic()
            verdict = self._quarantine.verdict(now, call.fingerprint)
            if verdict is Verdict.QUARANTINED:
                ran = progress.may_have_run
                kind = ResultKind.UNKNOWN if ran else ResultKind.NOT_RUN
                return CallResult(kind, RefusalReason.QUARANTINED, math.inf)
            if now >= call.deadline:
                return self._give_up(call, progress, RefusalReason.DEADLINE)
            exclusive = verdict is Verdict.EXCLUSIVE
            settled_at = self._quarantine.settled_at(call.fingerprint)
            if exclusive and now < settled_at:
                await anyio.sleep(min(settled_at, call.deadline) - now)
                continue
            if exclusive and call.fingerprint in self._copies_by_fingerprint:
                # The outcome of the copy that runs decides whether this one may run.
                copies = self._copies_by_fingerprint[call.fingerprint]
                with anyio.move_on_after(call.deadline - now):
                    await copies.changed.wait()
                continue
            destination = self._choose(now, call, progress, exclusive, is_forwarded)
            if destination is None:
                result = await self._wait(call, progress, exclusive, is_forwarded)
                if result is not None:
                    return result
                continue
            result = await self._attempt(call, progress, destination, answer, exclusive)
            if result is not None:
                return result

    async def _attempt(self, call, progress, destination, answer, exclusive):
        """Offer a call to a destination; return the result, or ``None`` to retry."""
        table = self._copies_by_fingerprint
        copies = table.setdefault(call.fingerprint, Copies())
        copies.running += 1
        try:
            reply = await self._offer(call, destination, exclusive, answer, progress)
            result = await self._handle_reply(
                call, progress, destination, reply, answer, exclusive
            )
            if result is ANSWERED and exclusive and not destination.data_centre:
                await self._clear_suspect(call)
            return result
        finally:
            copies.running -= 1
            changed, copies.changed = copies.changed, anyio.Event()
            changed.set()
            if not copies.running:
                del table[call.fingerprint]

    def _choose(self, now, call, progress, exclusive, is_forwarded):
        others_are_waiting = self.waiting.has_waiting(call.service, call.priority)
        if others_are_waiting and not progress.has_waited and not is_forwarded:
            return None
        if progress.attempts >= self._options.max_attempts:
            return None
        return self._destinations.choose(now, call, progress, exclusive, is_forwarded)

    async def _wait(self, call, progress, exclusive, is_forwarded):
        """Wait for a target; return the result if the call gives up, else ``None``."""
        now = time.monotonic()
        if is_forwarded:
            return self._give_up(call, progress, RefusalReason.FULL)
        if exclusive:
            # Calls that must run alone share few targets, so they wait as long as
            # their deadline allows.
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
        call_added, self._call_added = self._call_added, anyio.Event()
        call_added.set()
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

    def _unavailable_reason(self, call, progress):
        if progress.last_refusal is not None:
            return progress.last_refusal.reason
        served = self._destinations.has_serving_target(time.monotonic(), call.service)
        return RefusalReason.FULL if served else RefusalReason.NO_TARGET

    def _give_up(self, call, progress, reason):
        if reason == RefusalReason.FULL:
            reason = self._unavailable_reason(call, progress)
        if progress.may_have_run:
            return CallResult(ResultKind.UNKNOWN, reason)
        retry_after = _RETRY_AFTER_BY_REASON.get(reason)
        if retry_after is None:
            # Estimated time until the calls that wait now have been woken.
            length = self.waiting.length
            retry_after = 1.0 + length * WAKE_INTERVAL
        return CallResult(ResultKind.NOT_RUN, reason, retry_after)

    async def _offer(self, call, destination, exclusive, answer, progress):
        progress.attempts += 1
        if progress.attempts > 1:
            self._metrics.retries.inc()
        attempt_id = call.request_id
        if call.repeatable:
            attempt_id = f"{call.request_id}.{uuid.uuid4().hex[:8]}"
        dispatch = call.to_dispatch(time.monotonic(), attempt_id, exclusive)
        link = self._links.get(destination.address, destination.instance)

        def get_reconnect_timeout():
            # A call that can be offered elsewhere waits only briefly.
            if call.repeatable and not answer.forwarding_started:
                return self._options.connection_wait
            return self._options.resume_seconds

        verdict = Verdict.EXCLUSIVE if exclusive else Verdict.FREE

        def may_send():
            # News of a crash may have come since the destination was chosen.
            now = time.monotonic()
            if self._quarantine.verdict(now, call.fingerprint) is not verdict:
                return False
            return not exclusive or now >= self._quarantine.settled_at(call.fingerprint)

        exchange = Exchange(
            link,
            destination.incarnation,
            get_reconnect_timeout,
            self._metrics,
            may_send,
        )
        if destination.data_centre:
            dispatch = replace(dispatch, data_centre=destination.data_centre)
            self._destinations.record_spilled_bytes(time.monotonic(), len(call.body))
            return await exchange.run(dispatch, self._count_spilled_bytes(answer))
        self._selector.own_in_flight[destination.instance] += 1
        try:
            return await exchange.run(dispatch, answer.on_reply)
        finally:
            self._selector.record_end(destination.instance)
            self.waiting.wake_next(call.service)

    def _count_spilled_bytes(self, answer):
        async def on_reply(reply):
            if isinstance(reply, Data):
                self._destinations.record_spilled_bytes(
                    time.monotonic(), len(reply.body)
                )
            await answer.on_reply(reply)

        return on_reply

    async def _handle_reply(
        self, call, progress, destination, reply, answer, exclusive
    ):
        """Act on the last reply; return the result, or ``None`` to try again."""
        if not destination.data_centre and not isinstance(reply, Refused):
            succeeded = isinstance(reply, Finished)
            self._selector.record_outcome(
                time.monotonic(), destination.instance, succeeded
            )
        if isinstance(reply, Finished):
            await answer.finish()
            self._retry_budget.record_success()
            if destination.data_centre:
                self._destinations.record_spilled_call(call.service)
            return ANSWERED
        if isinstance(reply, Refused):
            return self._handle_refusal(progress, destination, reply)
        await self._record_suspects(call, destination, reply, exclusive)
        return self._handle_failure(call, progress, destination, reply, answer)

    def _handle_refusal(self, progress, destination, reply):
        self._metrics.refusals.labels(reply.reason).inc()
        progress.last_refusal = reply
        if destination.data_centre:
            progress.excluded_data_centres.add(destination.data_centre)
        elif reply.reason == RefusalReason.FULL:
            now = time.monotonic()
            self._selector.record_full(now, destination.instance, reply.retry_after)
        else:
            progress.refused_by.add(destination.instance)
            if reply.reason in _STATUS_CHANGE_REASONS:
                status = "leaving" if reply.reason == "leaving" else "starting"
                self._targets.mark_refused(destination.instance, status)
        return None

    async def _record_suspects(self, call, destination, reply, exclusive):
        """Record requests that ran when a target crashed or an instance was lost."""
        now = time.monotonic()
        if reply.crashed:
            updates = self._quarantine.record_crash(now, reply.crash_id, reply.crashed)
        elif reply.reason in _INSTANCE_LOSS_REASONS and not destination.data_centre:
            instance = f"{destination.instance}-{destination.incarnation}"
            updates = self._quarantine.record_loss(
                now, instance, call.fingerprint, exclusive
            )
        else:
            return
        self._metrics.suspects.set(len(self._quarantine))
        await self._send_suspect_updates(updates)

    def _handle_failure(self, call, progress, destination, reply, answer):
        unknown = CallResult(
            ResultKind.UNKNOWN,
            reply.reason,
            crashed=reply.crashed,
            crash_id=reply.crash_id,
        )
        # A forwarded call fails back to the entry that received it from the caller, so
        # that this entry knows of the crash before it offers the call again.
        if not call.repeatable or answer.forwarding_started or progress.is_forwarded:
            return unknown
        progress.may_have_run = True
        progress.failed_at.add(destination.instance)
        if destination.data_centre:
            progress.excluded_data_centres.add(destination.data_centre)
        if not self._retry_budget.try_spend():
            return replace(unknown, reason=RefusalReason.BUDGET)
        answer.reset()
        return None

    async def _clear_suspect(self, call):
        updates = self._quarantine.record_complete_run(
            time.monotonic(), call.fingerprint
        )
        if updates:
            await self._send_suspect_updates(updates)

    async def handle_forwarded(self, dispatch, responder):
        """Run a call that another data centre forwarded, and send the answer back."""
        call = Call.from_dispatch(time.monotonic(), dispatch)
        sink = ResponderSink(responder)
        result = await self.handle(
            replace(call, streamed=True), sink, is_forwarded=True
        )
        await responder.finish(_REPLY_BY_RESULT_KIND[result.kind](result))


_REPLY_BY_RESULT_KIND = {
    ResultKind.ANSWERED: lambda result: Finished(),
    ResultKind.NOT_RUN: lambda result: Refused(result.reason, result.retry_after),
    ResultKind.UNKNOWN: lambda result: Failed(
        result.reason, result.crashed, result.crash_id
    ),
}
