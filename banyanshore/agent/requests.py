"""Run requests on the target: admission, answers kept for a while, crashes."""

import logging
import time
import uuid
from dataclasses import dataclass

import anyio

from banyanshore.agent.running import RunningRequest
from banyanshore.core.logs import request_id_var
from banyanshore.engines import EngineError, EngineUnreachableError
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

# Seconds for which the replies to a request are kept after its end, for a caller
# whose connection was lost.
REPLY_RETENTION = 6.0
# Seconds after which a repeatable request that nobody reads is cancelled.
ABANDON_AFTER = 5.0
# Seconds for which a request that was given up keeps its place: until a target that is
# busy has noticed that its connection is closed, and has stopped working on it.
SETTLE_SECONDS = 0.25
# Longest wait of a request that must run alone until the others have ended.
EXCLUSIVE_WAIT = 3.0
# Seconds between looks at whether they have.
EXCLUSIVE_CHECK_SECONDS = 0.02
# Seconds within which broken requests count as one crash.
CRASH_WINDOW = 1.0
# Failures by which a request ends before its target has ended it.
_GIVEN_UP = frozenset({FailureReason.CANCELLED, FailureReason.DEADLINE})
# Ids that are remembered as never to be run.
MAX_TOMBSTONES = 50_000
# Answers by which a target says that it can't serve; others may be able to.
_OVERLOAD_STATUSES = frozenset({502, 503, 504})
# Seconds until a target that is full may be asked again.
FULL_RETRY_AFTER = 0.1


@dataclass(frozen=True)
class Crash:
    """One crash of the target and what it was running."""

    crash_id: str
    at: float
    fingerprints: tuple


class RequestRunner:
    """Run requests, each id at most once.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    The owner sets three attributes: ``incarnation`` of the agent, ``gate``, a callable
    that returns why no request may run now or ``None``, and ``served``, a callable
    that returns the model and the version that are loaded.
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
        self.gate = lambda: RefusalReason.NOT_SERVING
        self.served = lambda: ("", "")

    @property
    def running(self):
        """Return how many requests have not ended."""
        return sum(not item.is_ended for item in self._by_id.values())

    async def handle_dispatch(self, dispatch, responder):
        """Run a request, or refuse it, and send the replies."""
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
        """Send the replies that a caller lacks, or refuse the request for good."""
        request = self._by_id.get(resume.request_id)
        if request is None:
            await responder.finish(self._refuse_resume(resume))
            return
        await self._send_replies(request, resume.received, responder)

    def cancel(self, request_id):
        """Stop a request that nobody waits for, unless it may not be repeated."""
        request = self._by_id.get(request_id)
        if request is None:
            self._bury(request_id)
        elif request.dispatch.repeatable:
            request.abandoned = True
            request.scope.cancel()

    def query(self, attempt):
        """Return the whole answer of a claimed call, if it is kept."""
        request = self._by_id.get(attempt)
        if request is None or not request.is_ended:
            return AnswerReply(None)
        return AnswerReply(collect_answer(request.replies))

    def expire(self, now):
        """Drop what nobody will ask for any more, cancel what nobody reads."""
        for request_id, request in list(self._by_id.items()):
            if request.is_ended:
                if now - request.ended_at > self._retention(request):
                    del self._by_id[request_id]
            elif request.readers == 0 and now - request.unread_since > ABANDON_AFTER:
                self.cancel(request_id)

    def cancel_all(self):
        """Stop all requests; return the ids of those that were cut off."""
        cut = [key for key, item in self._by_id.items() if not item.is_ended]
        for request_id in cut:
            self._by_id[request_id].scope.cancel()
        return cut

    def _refuse_resume(self, resume):
        if resume.incarnation != self.incarnation:
            # An earlier process here may have run it.
            return Failed(FailureReason.AGENT_RESTARTED)
        self._bury(resume.request_id)
        return Refused(RefusalReason.CANCELLED)

    def _retention(self, request):
        if request.dispatch.repeatable:
            return REPLY_RETENTION
        return self._settings.admission.answer_retention

    def _bury(self, request_id):
        self._tombstones[request_id] = None
        if len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]

    async def _admit(self, dispatch):
        if dispatch.request_id in self._tombstones:
            return Refused(RefusalReason.CANCELLED)
        if reason := self.gate():
            return Refused(reason, 1.0)
        if self._acquire(dispatch):
            return None
        if dispatch.exclusive and await self._acquire_alone(dispatch):
            return None
        return Refused(RefusalReason.FULL, FULL_RETRY_AFTER)

    async def _acquire_alone(self, dispatch):
        """Wait until nothing else runs; tell whether the request may run then."""
        request_id = dispatch.request_id
        is_admitted = False
        try:
            with anyio.move_on_after(min(EXCLUSIVE_WAIT, dispatch.seconds_left)):
                while self.gate() is None:
                    is_admitted = self._acquire(dispatch)
                    if is_admitted or self._admission.exclusive_id != request_id:
                        break
                    await anyio.sleep(EXCLUSIVE_CHECK_SECONDS)
        finally:
            # Also when the caller leaves meanwhile: others wait for its turn.
            if not is_admitted:
                self._admission.abandon_exclusive(request_id)
        return is_admitted

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
                    # All was received before; only the end itself is repeated.
                    await responder.finish(request.replies[-1])
                    return
                await request.changed.wait()
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
            if _was_given_up(last_reply):
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(SETTLE_SECONDS)
            self._admission.release(
                time.monotonic(), dispatch.request_id, seconds, succeeded
            )

    async def _run_on_engine(self, request):
        dispatch = request.dispatch
        model, version = self.served()
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
            # The target was changed behind the agent's back.
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
        logger.warning("target broke off a request: %s", error)
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


def _was_given_up(reply):
    """Tell whether a request ended while its target may still work on it."""
    return isinstance(reply, Failed) and reply.reason in _GIVEN_UP


def collect_answer(replies):
    """Return the whole :class:`~banyanshore.state.Answer` in replies, or ``None``."""
    if len(replies) < 2 or not isinstance(replies[-1], Finished):
        return None
    started = replies[0]
    if not isinstance(started, Started):
        return None
    if None in replies:
        return None
    body = b"".join(reply.body for reply in replies[1:-1])
    return Answer(started.status, started.headers, body)
