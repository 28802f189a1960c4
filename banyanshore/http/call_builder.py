"""Build a call from a caller's HTTP request, or reject the request."""

import json
import math
import time

from banyanshore.engines.http import HOP_BY_HOP_HEADERS
from banyanshore.http.asgi import Problem
from banyanshore.routing.calls import Call, ResultKind
from banyanshore.routing.quarantine import request_fingerprint
from banyanshore.telemetry.tracing import parse_traceparent

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"
DEFAULT_PRIORITY = 5
MAX_PRIORITY = 9
# Characters of the first message that identify requests with a shared prefix.
PREFIX_CHARACTERS = 512


class RejectedError(Exception):
    """Signal a request that is rejected with a problem.

    :param problem: the :class:`~banyanshore.http.asgi.Problem`.
    """

    def __init__(self, problem):
        super().__init__(problem.title)
        self.problem = problem


class CallBuilder:
    """Build calls from the requests that an entry receives.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param state: the :class:`~banyanshore.state.holder.StateHolder`.
    """

    def __init__(self, settings, state):
        self._settings = settings
        self._state = state

    def build(self, request, request_id, body):
        """Return the call for a request.

        :raises RejectedError: the request is invalid.
        """
        desired = self._state.desired
        if desired is None:
            raise RejectedError(
                Problem(
                    503,
                    "No desired state",
                    "this entry has not heard the desired state yet",
                    ResultKind.NOT_RUN.value,
                    1.0,
                )
            )
        workspace = request.get_header(self._settings.workspace_header, "default")
        if request.path == CHAT_PATH:
            service, path, prefix, streamed = self._parse_chat(
                request, body, desired, workspace
            )
        else:
            service, path = self._parse_service(request, desired)
            prefix, streamed = "", False
        plain_path = path.partition("?")[0]
        must_not_repeat = desired.must_not_repeat(service, request.method, plain_path)
        trace = parse_traceparent(request.get_header("traceparent"))
        return Call(
            request_id,
            workspace,
            service,
            request.method,
            path,
            self._forwarded_headers(request, request_id),
            body,
            time.monotonic() + self._parse_deadline(request),
            self._parse_priority(request, desired.workspace(workspace)),
            not must_not_repeat,
            request_fingerprint(workspace, service, request.method, path, body),
            trace.traceparent,
            prefix,
            streamed and not must_not_repeat,
        )

    def _parse_chat(self, request, body, desired, workspace):
        if request.method != "POST":
            raise RejectedError(Problem(405, "Method not allowed", "use POST"))
        try:
            document = json.loads(body)
        except ValueError as error:
            raise bad_request(f"the body is not JSON: {error}") from None
        except RecursionError:
            raise bad_request("the body is nested too deeply") from None
        if not isinstance(document, dict):
            raise bad_request("the body is not a JSON object")
        model = document.get("model")
        if not isinstance(model, str):
            raise bad_request(f"model: got {model!r}, expected a text")
        messages = document.get("messages")
        if not isinstance(messages, list) or not messages:
            raise bad_request("messages: expected a list that is not empty")
        service = _service_of_model(desired, model)
        if service is None:
            raise RejectedError(
                Problem(
                    404,
                    "No such model",
                    f"no service serves the model {model!r}",
                    ResultKind.NOT_RUN.value,
                )
            )
        first = json.dumps(messages[0], sort_keys=True)[:PREFIX_CHARACTERS]
        prefix = f"{workspace}\0{first}"
        return service, CHAT_PATH, prefix, document.get("stream") is True

    def _parse_service(self, request, desired):
        rest = request.raw_path.decode("latin-1")[len(SERVICES_PREFIX) :]
        service, slash, path = rest.partition("/")
        row = desired.service(service)
        if row is None:
            raise RejectedError(
                Problem(
                    404,
                    "No such service",
                    f"the desired state has no service {service!r}",
                    ResultKind.NOT_RUN.value,
                )
            )
        path = f"{slash or '/'}{path}"
        if request.query:
            path += "?" + request.query.decode("latin-1")
        return service, path

    def _parse_deadline(self, request):
        options = self._settings.routing
        name = self._settings.deadline_header
        given = request.get_header(name)
        if not given:
            return options.default_deadline
        try:
            seconds = float(given)
        except ValueError:
            seconds = math.nan
        if not 0 < seconds < math.inf:
            raise bad_request(f"{name}: got {given!r}, expected seconds above 0")
        return min(seconds, options.max_deadline)

    def _parse_priority(self, request, workspace):
        name = self._settings.priority_header
        given = request.get_header(name)
        if not given:
            return workspace.get("priority", DEFAULT_PRIORITY)
        if not given.isdecimal() or int(given) > MAX_PRIORITY:
            raise bad_request(f"{name}: got {given!r}, expected 0 to {MAX_PRIORITY}")
        return int(given)

    def _forwarded_headers(self, request, request_id):
        kept = [
            (name, value)
            for name, value in request.headers
            if name not in HOP_BY_HOP_HEADERS
            and name not in (b"x-request-id", b"traceparent")
        ]
        return (*kept, (b"x-request-id", request_id.encode()))


def bad_request(detail):
    """Return the error for a malformed request."""
    return RejectedError(Problem(400, "Bad request", detail, ResultKind.NOT_RUN.value))


def _service_of_model(desired, model):
    services = desired.document["services"]
    if services.get(model, {}).get("kind") == "model":
        return model
    for name in sorted(services):
        if services[name].get("model") == model:
            return name
    return None
