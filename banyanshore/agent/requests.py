"""Run requests on the target: admission, retention of replies, and crashes."""

import logging
import time
import uuid

import anyio

from banyanshore.agent.running import RunningRequest
from banyanshore.core.logs import request_id_var
from banyanshore.core.values import dataclass
from banyanshore.engines import (
    EngineError,
    EngineInvalidAnswerError,
    EngineUnreachableError,
)
from banyanshore.routing.messages import (
    AnswerReply,
    Data,
    Failed,
    FailureReason,
    Finished,
    RefusalReason,
    Refused,
    Started,
)
from banyanshore.state import Answer

logger = logging.getLogger(__name__)

# Seconds for which the replies to a request are kept after its end, so that a caller
# whose connection was lost can resume it.
REPLY_RETENTION = 6.0
# Seconds after which a repeatable request whose replies nobody reads is cancelled.
ABANDON_AFTER = 5.0
# Seconds for which an aborted request still counts as in flight: a busy target needs
# this time to notice that the connection is closed and to stop working on the request.
SETTLE_SECONDS = 0.25
# Longest time that an exclusive request waits for all others to end, in seconds.
EXCLUSIVE_WAIT = 3.0
# Seconds between checks whether all others have ended.
EXCLUSIVE_CHECK_SECONDS = 0.02
# Seconds within which failed requests count as one crash.
CRASH_WINDOW = 1.0
# Failures after which the target may still be working on the request.
_ABORT_REASONS = frozenset(
    {FailureReason.BROKEN_ANSWER, FailureReason.CANCELLED, FailureReason.DEADLINE}
)
# Maximum number of remembered ids of requests that must not run.
MAX_TOMBSTONES = 50_000
# Statuses by which a target reports that it can't serve; other targets may.
_OVERLOAD_STATUSES = frozenset({502, 503, 504})
# Seconds until a full target may be tried again.
FULL_RETRY_AFTER = 0.1


@dataclass(frozen=True)
class Crash:
    """Crash of the target.

    :param at: monotonic time of the first failed request.
    :param fingerprints: those of the requests that were running.
    """

    crash_id: str
    at: float
    fingerprints: tuple


class RequestRunner:
    """Run requests, each id at most once.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    :ivar incarnation: incarnation of the agent, set by the owner.
    :ivar get_refusal_reason: callable that returns the reason to refuse all requests
        now, or ``None``; set by the owner.
    :ivar get_loaded_version: callable that returns the loaded model and version; set by
        the owner.
    """

    def __init__(self, settings, engine, admission, tasks, tracer, metrics):
        self._settings = settings
        self._engine = engine
        self._admission = admission
        self._tasks = tasks
        self._tracer = tracer
        self._metrics = metrics
        self._by_id = {}
        self._tombstones = {}
        self._crash = None
        self.incarnation = 0
        self.get_refusal_reason = lambda: RefusalReason.NOT_SERVING
        self.get_loaded_version = lambda: ("", "")

    @property
    def running(self):
        """Return the number of requests that have not ended."""
        return sum(not item.is_ended for item in self._by_id.values())

    def find_unread(self):
        """Return the ids of the requests whose replies are being sent."""
        return [key for key, item in self._by_id.items() if item.readers]

    async def handle_dispatch(self, dispatch, responder):
        """Run or refuse a request, and send the replies."""
        request = self._by_id.get(dispatch.request_id)
        if request is None:
            refusal = await self._admit(dispatch)
            if refusal is not None:
                self._metrics.refused.labels(refusal.reason).inc()
                await responder.finish(refusal)
                return
            request = RunningRequest(dispatch, time.monotonic())
            self._by_id[dispatch.request_id] = request
            self._metrics.admitted.inc()
            self._tasks.start_soon(self._run, request)
        await self._send_replies(request, 0, responder)

    async def handle_resume(self, resume, responder):
        """Send the replies that the caller lacks, or refuse the request for good."""
        request = self._by_id.get(resume.request_id)
        if request is None:
            await responder.finish(self._refuse_resume(resume))
            return
        await self._send_replies(request, resume.received, responder)

    def cancel(self, request_id):
        """Cancel a request that nobody waits for, unless it is not repeatable.

        The id of an unknown request is remembered, so that the request never runs.
        """
        request = self._by_id.get(request_id)
        if request is None:
            self._add_tombstone(request_id)
        elif request.dispatch.repeatable:
            request.abandoned = True
            request.scope.cancel()

    def query(self, attempt):
        """Return the complete answer to a claimed call, if it is still kept."""
        request = self._by_id.get(attempt)
        if request is None or not request.is_ended:
            return AnswerReply(None)
        return AnswerReply(collect_answer(request.replies))

    def expire(self, now):
        """Drop ended requests after their retention; cancel those that nobody reads."""
        for request_id, request in list(self._by_id.items()):
            if request.is_ended:
                kept_since = max(request.ended_at, request.unread_since)
                is_old = now - kept_since > self._retention(request)
                if is_old and not request.readers:
                    del self._by_id[request_id]
            elif request.readers == 0 and now - request.unread_since > ABANDON_AFTER:
                self.cancel(request_id)

    def cancel_all(self):
        """Cancel all running requests and return their ids."""
        cancelled = [key for key, item in self._by_id.items() if not item.is_ended]
        for request_id in cancelled:
            self._by_id[request_id].scope.cancel()
        return cancelled

    def _refuse_resume(self, resume):
        if resume.incarnation != self.incarnation:
            # An earlier incarnation of this agent may have run it.
            return Failed(FailureReason.AGENT_RESTARTED)
        self._add_tombstone(resume.request_id)
        return Refused(RefusalReason.CANCELLED)

    def _retention(self, request):
        if request.dispatch.repeatable:
            return REPLY_RETENTION
        return self._settings.admission.answer_retention

    def _add_tombstone(self, request_id):
        self._tombstones[request_id] = None
        if len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]

    async def _admit(self, dispatch):
        if dispatch.request_id in self._tombstones:
            return Refused(RefusalReason.CANCELLED)
        if reason := self.get_refusal_reason():
            return Refused(reason, 1.0)
        if self._acquire(dispatch):
            return None
        if dispatch.exclusive and await self._acquire_exclusively(dispatch):
            return None
        if dispatch.request_id in self._tombstones:
            return Refused(RefusalReason.CANCELLED)
        return Refused(RefusalReason.FULL, FULL_RETRY_AFTER)

    async def _acquire_exclusively(self, dispatch):
        """Wait until no other request runs; return whether this one was admitted."""
        request_id = dispatch.request_id
        is_admitted = False
        try:
            with anyio.move_on_after(min(EXCLUSIVE_WAIT, dispatch.seconds_left)):
                while self._may_still_run(request_id):
                    is_admitted = self._acquire(dispatch)
                    if is_admitted or self._admission.exclusive_id != request_id:
                        break
                    await anyio.sleep(EXCLUSIVE_CHECK_SECONDS)
        finally:
            # Also if the caller leaves meanwhile, since the wait blocks other requests.
            if not is_admitted:
                self._admission.abandon_exclusive(request_id)
        return is_admitted

    def _may_still_run(self, request_id):
        # It may be cancelled while it waits.
        is_cancelled = request_id in self._tombstones
        return not is_cancelled and self.get_refusal_reason() is None

    def _acquire(self, dispatch):
        return self._admission.try_acquire(
            time.monotonic(), dispatch.request_id, dispatch.exclusive
        )

    async def _send_replies(self, request, position, responder):
        request.begin_reading()
        try:
            while True:
                while position < len(request.replies):
                    reply = request.replies[position]
                    position += 1
                    if reply is None:
                        await responder.finish(Failed(FailureReason.BROKEN_ANSWER))
                        return
                    if request.is_ended and position == len(request.replies):
                        await responder.finish(reply)
                        return
                    await responder.send(reply)
                    request.record_sent(position)
                if request.is_ended:
                    # The caller has received everything; repeat only the last reply.
                    await responder.finish(request.replies[-1])
                    return
                await request.reply_added.wait()
        finally:
            request.end_reading(time.monotonic())

    async def _run(self, request):
        dispatch = request.dispatch
        request_id_var.set(dispatch.request_id)
        started_at = time.monotonic()
        last_reply = Failed(FailureReason.DEADLINE)
        try:
            with request.scope:
                with anyio.move_on_after(dispatch.seconds_left):
                    last_reply = await self._run_on_engine(request)
            if request.scope.cancelled_caught:
                last_reply = Failed(FailureReason.CANCELLED)
        except EngineUnreachableError as error:
            logger.warning("target not reached: %s", error)
            self._admission.become_cold()
            last_reply = Refused(RefusalReason.ENGINE_UNREACHABLE, 1.0, str(error))
        except EngineInvalidAnswerError as error:
            logger.warning("target's answer not valid: %s", error)
            last_reply = Failed(FailureReason.BROKEN_ANSWER)
        except EngineError as error:
            last_reply = self._record_crash(request, error)
        except Exception:
            logger.exception("request failed")
            last_reply = Failed(FailureReason.AGENT_FAILED)
        finally:
            succeeded = (
                isinstance(last_reply, Finished) and request.replies[0].status < 500
            )
            request.ended_at = time.monotonic()
            seconds = request.ended_at - started_at
            request.add(last_reply)
            if _was_aborted(last_reply):
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(SETTLE_SECONDS)
            self._admission.release(
                time.monotonic(), dispatch.request_id, seconds, succeeded
            )

    async def _run_on_engine(self, request):
        dispatch = request.dispatch
        model, version = self.get_loaded_version()
        attributes = {
            "request.id": dispatch.request_id,
            "service": dispatch.service,
            "model.version": version,
        }
        with (
            self._tracer.span("agent", dispatch.traceparent, **attributes) as parent,
            self._tracer.span("engine", parent) as engine_parent,
        ):
            async with self._engine.run(dispatch, engine_parent) as response:
                return await self._relay(request, response, model, version)

    async def _relay(self, request, response, model, version):
        reported = response.get_header("x-model-version")
        if version and reported not in (None, version):
            # The target has loaded another version without an order of this agent.
            self._admission.become_cold()
            return Failed(FailureReason.WRONG_VERSION)
        if response.status in _OVERLOAD_STATUSES and request.dispatch.repeatable:
            return Failed(FailureReason.SERVER_ERROR)
        request.add(
            Started(
                response.status,
                response.headers,
                model,
                version,
                self._settings.instance,
            )
        )
        is_first = True
        async for data in response.iter_body():
            if is_first:
                now = time.monotonic()
                self._admission.record_first_token(now, request.dispatch.request_id)
                is_first = False
            if data:
                request.add(Data(data))
                await request.wait_for_reader()
        return Finished()

    def _record_crash(self, request, error):
        logger.warning("target failed during a request: %s", error)
        self._metrics.crashes.inc()
        now = time.monotonic()
        if self._crash is None or now - self._crash.at > CRASH_WINDOW:
            fingerprints = {
                item.dispatch.fingerprint
                for item in self._by_id.values()
                if not item.is_ended
            }
            self._crash = Crash(uuid.uuid4().hex, now, tuple(sorted(fingerprints)))
        self._admission.become_cold()
        return Failed(
            FailureReason.TARGET_CRASHED, self._crash.fingerprints, self._crash.crash_id
        )


def _was_aborted(reply):
    """Return whether the target may still be working on a request that has ended."""
    return isinstance(reply, Failed) and reply.reason in _ABORT_REASONS


def collect_answer(replies):
    """Return the :class:`~banyanshore.state.Answer` if it is complete, or ``None``."""
    if len(replies) < 2 or not isinstance(replies[-1], Finished):
        return None
    started = replies[0]
    if not isinstance(started, Started):
        return None
    if None in replies:
        return None
    body = b"".join(reply.body for reply in replies[1:-1])
    return Answer(started.status, started.headers, body)
