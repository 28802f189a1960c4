"""Serve operators: the desired state and its patches, status and local orders."""

import json
import logging
import re
import time
import uuid

from banyanshore.core.exceptions import (
    BanyanshoreError,
    NotAcceptedError,
    OutcomeUnknownError,
)
from banyanshore.core.values import dataclass
from banyanshore.http.asgi import BodyTooLargeError, CallerDisconnectedError, Problem
from banyanshore.http.metrics import METRICS_CONTENT_TYPE
from banyanshore.state import DocumentError, PatchCommand, PatchStatus
from banyanshore.state.document import parse_patch
from banyanshore.telemetry.metrics import render

logger = logging.getLogger(__name__)

STATE_PATH = "/operator/v1/state"
STATUS_PATH = "/operator/v1/status"
LOCAL_OUT_PATH = "/operator/v1/local-out"
METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"
MAX_PATCH_BYTES = 1024 * 1024
# Seconds to wait for a quorum before the locally held version is returned instead.
READ_TIMEOUT = 1.5
_VERSION_PATTERN = re.compile(r'(?:W/)?"?(\d{1,15})"?')


@dataclass(frozen=True)
class PatchRejection:
    """HTTP status and problem title for a rejected patch."""

    status: int
    title: str


_REJECTION_BY_STATUS = {
    PatchStatus.CONFLICT: PatchRejection(412, "Stale version"),
    PatchStatus.INVALID: PatchRejection(422, "Invalid patch"),
    PatchStatus.REUSED_ID: PatchRejection(422, "Request id reused"),
}


class OperatorsApi:
    """Handle the requests of operators.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param client: the :class:`~banyanshore.entry.state_client.StateClient`.
    :param reporter: the :class:`~banyanshore.entry.status.StatusReporter`.
    """

    def __init__(self, settings, state, client, reporter, local_orders, metrics):
        self._settings = settings
        self._state = state
        self._client = client
        self._reporter = reporter
        self._local_orders = local_orders
        self._metrics = metrics

    def handles(self, request):
        """Return whether a request has a path that is served to operators."""
        return request.path in _ACTIONS_BY_PATH

    async def handle(self, request):
        """Handle one request."""
        actions = _ACTIONS_BY_PATH[request.path]
        action = actions.get(request.method)
        if action is None:
            allowed = ", ".join(sorted(actions))
            problem = Problem(405, "Method not allowed", f"allowed: {allowed}")
            await request.respond_problem(problem, [(b"allow", allowed.encode())])
            return
        try:
            await action(self, request)
        except BodyTooLargeError as error:
            await request.respond_problem(Problem(413, "Body too large", error.message))
        except CallerDisconnectedError:
            logger.info("the operator left before the request was complete")

    async def _get_state(self, request):
        current = True
        try:
            published = await self._client.read(READ_TIMEOUT)
        except BanyanshoreError:
            current = False
            published = self._state.desired and self._state.desired.published
        if published is None:
            await request.respond_problem(
                Problem(
                    503,
                    "No desired state",
                    "no quorum answers and no version is held here",
                    retry_after=1.0,
                )
            )
            return
        document = {
            "version": published.version,
            "current": current,
            "held_seconds": self._held_seconds(),
            "document": json.loads(published.document),
        }
        headers = [(b"etag", b'"%d"' % published.version)]
        await request.respond_json(200, document, headers)

    def _held_seconds(self):
        if not self._state.changed_at:
            return 0.0
        return round(time.monotonic() - self._state.changed_at, 3)

    async def _patch_state(self, request):
        body = await request.read_body(MAX_PATCH_BYTES)
        problem = self._check_patch(request, body)
        if problem is not None:
            await request.respond_problem(problem)
            return
        match = _VERSION_PATTERN.fullmatch(request.get_header("if-match").strip())
        request_id = request.get_header("x-request-id") or uuid.uuid4().hex
        command = PatchCommand(
            request_id,
            int(match.group(1)),
            body,
            time.time(),
            request.get_header("x-operator"),
        )
        try:
            outcome = await self._client.propose(command)
        except NotAcceptedError as error:
            problem = Problem(503, "Not accepted", error.message, "not-accepted", 1.0)
            await request.respond_problem(problem)
            return
        except OutcomeUnknownError as error:
            problem = Problem(
                504,
                "Outcome unknown",
                f"{error.message}; send it again with X-Request-Id: {request_id}",
                "unknown",
                1.0,
                (("request_id", request_id),),
            )
            await request.respond_problem(problem)
            return
        await self._respond_outcome(request, request_id, outcome)

    def _check_patch(self, request, body):
        if not request.get_header("if-match"):
            return Problem(
                428,
                "Version required",
                "send If-Match with the version that the patch is against",
            )
        if not _VERSION_PATTERN.fullmatch(request.get_header("if-match").strip()):
            given = request.get_header("if-match")
            return Problem(
                400, "Bad version", f"If-Match: got {given!r}, expected a number"
            )
        try:
            parse_patch(body)
        except DocumentError as error:
            return Problem(400, "Malformed patch", error.message)
        return None

    async def _respond_outcome(self, request, request_id, outcome):
        extra = (("version", outcome.version), ("request_id", request_id))
        rejection = _REJECTION_BY_STATUS.get(outcome.status)
        if rejection is not None:
            problem = Problem(
                rejection.status,
                rejection.title,
                outcome.detail,
                "not-accepted",
                extra=extra,
            )
            await request.respond_problem(problem)
            return
        logger.info("patch %s created version %d", request_id, outcome.version)
        headers = [(b"etag", b'"%d"' % outcome.version)]
        await request.respond_json(200, dict(extra), headers)

    async def _get_status(self, request):
        await request.respond_json(200, self._reporter.report(time.monotonic()))

    async def _take_out_of_service(self, request):
        await request.read_body(MAX_PATCH_BYTES)
        number = self._local_orders.take_out_of_service()
        document = {"data_centre": self._settings.data_centre, "order": number}
        await request.respond_json(202, document)

    async def _get_metrics(self, request):
        await request.respond(200, render(self._metrics), METRICS_CONTENT_TYPE)

    async def _get_health(self, request):
        await request.respond_json(200, {"instance": self._settings.instance})


_ACTIONS_BY_PATH = {
    STATE_PATH: {
        "GET": OperatorsApi._get_state,
        "PATCH": OperatorsApi._patch_state,
    },
    STATUS_PATH: {"GET": OperatorsApi._get_status},
    LOCAL_OUT_PATH: {"POST": OperatorsApi._take_out_of_service},
    METRICS_PATH: {"GET": OperatorsApi._get_metrics},
    HEALTH_PATH: {"GET": OperatorsApi._get_health},
}
