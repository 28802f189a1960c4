"""Serve callers: chat completions, the list of models, and plain services."""

import json
import logging
import math
import secrets
import time
import uuid

from banyanshore.core.logs import request_id_var
from banyanshore.http.asgi import (
    BodyTooLargeError,
    CallerDisconnectedError,
    Problem,
    run_until_disconnect,
)
from banyanshore.http.call_builder import (
    CHAT_PATH,
    SERVICES_PREFIX,
    CallBuilder,
    RejectedError,
    bad_request,
)
from banyanshore.routing.calls import ANSWERED, ResultKind
from banyanshore.routing.events import is_event_stream
from banyanshore.routing.messages import FailureReason, RefusalReason

logger = logging.getLogger(__name__)

MODELS_PATH = "/v1/models"
MAX_KEY_CHARACTERS = 255
# HTTP status by reason of a request that was not run; 503 for all other reasons.
_STATUS_BY_REASON = {
    RefusalReason.DEADLINE: 504,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.TOO_MANY: 429,
    RefusalReason.KEY_REUSED: 422,
}
# HTTP status by reason of an unknown outcome; 502 for all other reasons.
_STATUS_BY_UNKNOWN_REASON = {
    FailureReason.IN_PROGRESS: 409,
    FailureReason.OUTCOME_UNKNOWN: 409,
    FailureReason.ANSWER_NOT_KEPT: 409,
    FailureReason.DEADLINE: 504,
    RefusalReason.QUARANTINED: 422,
}


class CallerSink:
    """Forward an answer to the caller as it is received."""

    def __init__(self, request, headers, observe_first_byte):
        self._request = request
        self._headers = headers
        self._observe_first_byte = observe_first_byte
        self._began_at = time.monotonic()
        self.is_event_stream = False

    async def start(self, started):
        """Send the status and the headers."""
        self._observe_first_byte(time.monotonic() - self._began_at)
        content_type = dict(started.headers).get(b"content-type", b"")
        self.is_event_stream = is_event_stream(content_type.decode("latin-1"))
        await self._request.start(
            started.status, answer_headers(started, self._headers)
        )

    async def write(self, data):
        """Send the next bytes."""
        await self._request.send_body(data)


class CallersApi:
    """Handle the requests of callers.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param is_leaving: callable that returns whether the entry rejects new requests.
    :param live_entries: callable that returns how many entries share the limits of
        workspaces.
    """

    def __init__(
        self, settings, state, proxy, claimed, metrics, is_leaving, live_entries
    ):
        self._settings = settings
        self._state = state
        self._builder = CallBuilder(settings, state)
        self._proxy = proxy
        self._claimed = claimed
        self._metrics = metrics
        self._is_leaving = is_leaving
        self._live_entries = live_entries

    def handles(self, request):
        """Return whether a request has a path that is served to callers."""
        path = request.path
        return path in (CHAT_PATH, MODELS_PATH) or path.startswith(SERVICES_PREFIX)

    async def handle(self, request):
        """Handle one request."""
        request_id = request.id = self._make_request_id(request)
        request_id_var.set(request_id)
        headers = ((b"x-request-id", request_id.encode()),)
        try:
            if request.path == MODELS_PATH:
                await self._list_models(request, headers)
            else:
                await self._handle_call(request, request_id, headers)
        except RejectedError as error:
            await request.respond_problem(error.problem, headers)
        except CallerDisconnectedError:
            logger.info("the caller left before its request was complete")

    async def _handle_call(self, request, request_id, headers):
        if self._is_leaving():
            logger.info("request refused: the entry is leaving")
            raise RejectedError(
                Problem(
                    503,
                    "Entry is leaving",
                    "send the request to another entry",
                    ResultKind.NOT_RUN.value,
                    1.0,
                )
            )
        body = await self._read_body(request)
        call = self._builder.build(request, request_id, body)
        self._check_workspace_limit(call)
        if call.repeatable:
            await self._run_repeatable(request, call, headers)
        else:
            await self._run_claimed(request, call, headers)

    def _make_request_id(self, request):
        given = request.get_header("x-request-id")
        # Keep the caller's id for logs, with a unique suffix since ids may be reused.
        safe = "".join(c for c in given if c.isalnum() or c in "-_")[:64]
        unique = secrets.token_hex(8)
        return f"{safe}-{unique}" if safe else uuid.uuid4().hex

    async def _read_body(self, request):
        limit = self._settings.routing.max_body_bytes
        try:
            return await request.read_body(limit)
        except BodyTooLargeError as error:
            raise RejectedError(
                Problem(413, "Body too large", error.message, ResultKind.NOT_RUN.value)
            ) from None

    def _check_workspace_limit(self, call):
        row = self._state.desired.workspace(call.workspace)
        workspace_limit = row.get("max_in_flight")
        if workspace_limit is None:
            return
        share = math.ceil(workspace_limit / max(1, self._live_entries()))
        if self._proxy.waiting.running[call.workspace] >= share:
            self._count(call, RefusalReason.TOO_MANY)
            raise RejectedError(
                Problem(
                    429,
                    "Too many requests",
                    f"workspace {call.workspace} may have {workspace_limit} at once",
                    ResultKind.NOT_RUN.value,
                    1.0,
                )
            )

    async def _run_repeatable(self, request, call, headers):
        first_byte = self._metrics.first_byte.labels(call.service)
        sink = CallerSink(request, headers, first_byte.observe)
        results = []

        async def work():
            results.append(await self._proxy.handle(call, sink))
            await self._finish(request, call, results[0], sink, headers)

        if not await run_until_disconnect(request, work) and not results:
            self._count(call, "caller-left")

    async def _finish(self, request, call, result, sink, headers):
        if result is ANSWERED:
            self._count(call, result.kind.value)
            await request.send_body(b"", more=False)
        elif request.response_started:
            self._count(call, "cut")
            logger.warning("answer cut off: %s", result.reason)
            if sink.is_event_stream:
                # The status has been sent, so the error becomes the last event.
                error = {"error": to_problem(result).to_dict()}
                event = b"data: " + json.dumps(error).encode() + b"\n\n"
                await request.send_body(event)
            # Without the end of the body, the server closes the connection, so the
            # caller can recognize that the answer is incomplete.
        else:
            self._count(call, result.kind.value)
            await request.respond_problem(to_problem(result), headers)

    async def _run_claimed(self, request, call, headers):
        key = request.get_header(self._settings.idempotency_header)
        if len(key) > MAX_KEY_CHARACTERS:
            name = self._settings.idempotency_header
            raise bad_request(f"{name}: longer than {MAX_KEY_CHARACTERS} characters")
        result = await self._claimed.run(call, key)
        self._count(call, result.call_result.kind.value)
        if result.answer is None:
            await request.respond_problem(to_problem(result.call_result), headers)
            return
        answer = result.answer
        extra = ((b"idempotent-replayed", b"true"),) if result.replayed else ()
        await request.start(answer.status, (*answer.headers, *headers, *extra))
        await request.send_body(answer.body, more=False)

    async def _list_models(self, request, headers):
        desired = self._state.desired
        models = desired.document["models"] if desired else {}
        rows = [
            {"id": name, "object": "model", "version": models[name]["version"]}
            for name in sorted(models)
        ]
        await request.respond_json(200, {"object": "list", "data": rows}, headers)

    def _count(self, call, outcome):
        self._metrics.requests.labels(call.service, outcome).inc()


def answer_headers(started, headers):
    """Return the headers of an answer, with those that name its target and model."""
    extra = [(b"x-banyanshore-target", started.target.encode())]
    if started.model_version:
        extra.append((b"x-model-version", started.model_version.encode()))
    own = {name for name, _ in (*headers, *extra)}
    kept = [(name, value) for name, value in started.headers if name not in own]
    return (*kept, *headers, *extra)


def to_problem(result):
    """Return the :class:`~banyanshore.http.asgi.Problem` for an unanswered call."""
    retry_after = None if result.retry_after == math.inf else result.retry_after
    if result.kind is ResultKind.NOT_RUN:
        status = _STATUS_BY_REASON.get(result.reason, 503)
        title = "Request not run"
    else:
        status = _STATUS_BY_UNKNOWN_REASON.get(result.reason, 502)
        title = "Outcome unknown"
    return Problem(
        status,
        title,
        result.detail or str(result.reason),
        result.kind.value,
        retry_after,
        (("reason", str(result.reason)),),
    )
