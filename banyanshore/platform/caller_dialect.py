"""Translate callers' requests and targets' answers from and to the platform's HTTP."""

import math
import re

from banyanshore.http.exchange import RequestError
from banyanshore.http.upstream import OutgoingRequest
from banyanshore.http.wire import strip_hop_by_hop
from banyanshore.routing.caller_requests import CallerDialect, CallerRequest
from banyanshore.routing.notices import TargetNotice

_REQUEST_ID = b"request-id"
# Milliseconds for which the caller waits, or which the target has for the request.
_DEADLINE = b"deadline-ms"
_AUTHORIZATION = b"authorization"
_SCHEME = "bearer"
# Name of the workspace that the API key belongs to; only the gateway sets it.
_TENANT = b"tenant"
_EXPECT_REPLICA = b"expect-replica"
_EXPECT_VERSION = b"expect-version"
_LAST_EVENT_ID = b"last-event-id"
# Priority of a request at its target, where 0 is first; only the gateway sets it.
_PRIORITY = b"request-priority"
_PRIORITIES = 10
_MODEL = b"model"
# Prompt tokens and maximum answer tokens; despite the name, not the actual usage.
_TOKEN_USAGE = b"token-usage"
# Answer tokens that the caller estimates.
_LENGTH_HINT = b"length-hint"
# Longest text of a number of tokens that is read, in characters.
_MAX_TOKENS_CHARACTERS = 12
# Longest id of an event that is read, in characters: that of a number of 64 bits.
_MAX_EVENT_ID_CHARACTERS = 20
# Prefixes of the prompt as ID:TOKENS; the last one identifies the session.
_PREFIX_HASH = b"prefix-hash"
_NOT_EXECUTED = b"not-executed"
_SIGNATURE = b"replica-signature"
# Any value but 0 in an answer means that the target is leaving.
_LEAVING = b"server-leaving"
# With status 503: seconds for which this gateway must not send requests to the target.
_RETRY_AFTER = b"retry-after"
_UNAVAILABLE = 503
# Requests per second that the target takes from all gateways together.
_LIMIT = b"server-limit"
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)
# Longest text of a limit that is read, in characters.
_MAX_LIMIT_CHARACTERS = 32
# Status of a target that is not the expected one, or has another model version.
_MISDIRECTED = 421

# Request headers that are not forwarded; each offer sets those that targets need.
_REPLACED_HEADERS = frozenset(
    {
        _DEADLINE,
        _AUTHORIZATION,
        _TENANT,
        _EXPECT_REPLICA,
        _EXPECT_VERSION,
        _PRIORITY,
        b"content-length",
        b"expect",
    }
)


class PlatformDialect(CallerDialect):
    """Implement the HTTP conventions of the platform."""

    def parse(self, exchange):
        """Return the :class:`CallerRequest` of an exchange.

        :raises RequestError: it has no request id.
        """
        request_id = exchange.get_header(_REQUEST_ID, "")
        if not request_id:
            raise RequestError(400, "missing Request-Id header")
        prompt_tokens, max_answer_tokens = _parse_token_usage(
            exchange.get_header(_TOKEN_USAGE, "")
        )
        *shared_parts, session = _parse_prefixes(exchange.get_header(_PREFIX_HASH, ""))
        return CallerRequest(
            request_id,
            exchange.method,
            exchange.target,
            exchange.path,
            exchange.get_header(b"host", ""),
            _parse_key(exchange.get_header(_AUTHORIZATION, "")),
            _parse_milliseconds(exchange.get_header(_DEADLINE, "")),
            exchange.get_header(_MODEL, ""),
            prompt_tokens,
            max_answer_tokens,
            session,
            _parse_event_id(exchange.get_header(_LAST_EVENT_ID, "")),
            tuple(
                (name, value)
                for name, value in strip_hop_by_hop(exchange.headers)
                if name not in _REPLACED_HEADERS
            ),
            tuple(part for part in shared_parts if part),
            _parse_tokens(exchange.get_header(_LENGTH_HINT, "")),
        )

    def build(self, request, body, offer):
        """Return the :class:`OutgoingRequest` that offers a request to a target."""
        headers = list(request.headers)
        if offer.last_event_id is not None:
            headers = [pair for pair in headers if pair[0] != _LAST_EVENT_ID]
            headers.append((_LAST_EVENT_ID, b"%d" % offer.last_event_id))
        milliseconds = max(1, int(offer.seconds_left * 1000))
        headers.append((_DEADLINE, b"%d" % milliseconds))
        headers.append((_EXPECT_REPLICA, offer.target_id.encode("latin-1")))
        if offer.model_version:
            headers.append((_EXPECT_VERSION, b"%d" % offer.model_version))
        if offer.workspace:
            headers.append((_TENANT, _encode_name(offer.workspace)))
        if offer.rank.count > 1:
            headers.append((_PRIORITY, b"%d" % _priority(offer.rank)))
        return OutgoingRequest(request.method, request.target, tuple(headers), body)

    def is_not_executed(self, answer):
        """Return whether an answer states that the target has not run the request."""
        is_marked = answer.get_header(_NOT_EXECUTED) is not None
        return is_marked or answer.status == _MISDIRECTED

    def parse_target_notice(self, answer):
        """Return the :class:`TargetNotice` of an answer."""
        if answer.status == _MISDIRECTED:
            # The answer comes from another target.
            return TargetNotice()
        is_leaving = answer.get_header(_LEAVING, "0").strip() != "0"
        pause_seconds, invalid_pause = _parse_pause(answer)
        per_second, invalid_limit = _parse_limits(answer)
        return TargetNotice(
            is_leaving, pause_seconds, invalid_pause, per_second, invalid_limit
        )

    def is_answer_to(self, answer, request):
        """Return whether an answer is one to this request."""
        if not self.has_matching_request_id(answer, request):
            return False
        return answer.status >= 300 or answer.get_header(_SIGNATURE) is not None

    def has_matching_request_id(self, answer, request):
        """Return whether an answer carries no other request's id."""
        return answer.get_header(_REQUEST_ID) in (None, request.request_id)

    def answer_headers(self, answer):
        """Return the headers of a target's answer to pass to the caller."""
        return strip_hop_by_hop(answer.headers)

    def refusal_headers(self, request, retry_after):
        """Return the headers of a refusal by the gateway itself."""
        headers = []
        if request is not None:
            headers.append((_REQUEST_ID, request.request_id.encode("latin-1")))
        if retry_after is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after))
        return headers


def _priority(rank):
    """Return the priority of a rank, which keeps their order as far as there is room.

    >>> from banyanshore.routing.ranks import Rank
    >>> _priority(Rank(2, 3)), _priority(Rank(19, 20))
    (2, 9)
    """
    if rank.count <= _PRIORITIES:
        return rank.position
    return rank.position * _PRIORITIES // rank.count


def _parse_key(value):
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == _SCHEME else ""


def _parse_milliseconds(value):
    try:
        seconds = float(value) / 1000
    except ValueError:
        return math.inf
    return seconds if 0 <= seconds < math.inf else math.inf


def _parse_pause(answer):
    """Return the seconds of a pause, 0 for none, and the text of an invalid one."""
    text = answer.get_header(_RETRY_AFTER)
    if text is None or answer.status != _UNAVAILABLE:
        return 0.0, ""
    seconds = _parse_seconds(text)
    return (0.0, text) if seconds is None else (seconds, "")


def _parse_limits(answer):
    """Return the lowest limit that an answer states, and the text of an invalid one.

    The limit is ``inf`` without the header, ``None`` if all are invalid. The text is
    ``None`` if all are valid.
    """
    fields = [
        value.decode("latin-1") for name, value in answer.headers if name == _LIMIT
    ]
    texts = [text.strip() for field in fields for text in field.split(",")]
    if not texts:
        return math.inf, None
    valid = [text for text in texts if _is_limit(text)]
    invalid = next((text for text in texts if not _is_limit(text)), None)
    return min(map(float, valid), default=None), invalid


def _is_limit(text):
    return len(text) <= _MAX_LIMIT_CHARACTERS and _DECIMAL.fullmatch(text) is not None


def _parse_seconds(value):
    """Return finite seconds of 0 or more, or ``None`` if the text is invalid."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0 <= seconds < math.inf else None


def _parse_prefixes(value):
    """Return the ids of a list of ID:TOKENS entries, the session's last.

    >>> _parse_prefixes("5c1e:800, 91bd:410")
    ['5c1e', '91bd']
    >>> _parse_prefixes("")
    ['']
    """
    return [entry.partition(":")[0].strip() for entry in value.split(",")]


def _encode_name(name):
    """Return a name as bytes of a header; UTF-8 if Latin-1 lacks a letter.

    >>> _encode_name("Léa"), _encode_name("Łódź")
    (b'L\\xe9a', b'\\xc5\\x81\\xc3\\xb3d\\xc5\\xba')
    """
    try:
        return name.encode("latin-1")
    except UnicodeEncodeError:
        return name.encode()


def _parse_event_id(text):
    """Return the id of an event, 0 if the text is none.

    >>> _parse_event_id("12"), _parse_event_id("x"), _parse_event_id("9" * 5000)
    (12, 0, 0)
    """
    is_valid = text.isdecimal() and len(text) <= _MAX_EVENT_ID_CHARACTERS
    return int(text) if is_valid else 0


def _parse_tokens(value):
    """Return a number of tokens, 0 if the text is none.

    >>> _parse_tokens(" 120"), _parse_tokens("1e9"), _parse_tokens("9" * 40)
    (120, 0, 0)
    """
    text = value.strip()
    is_valid = text.isdecimal() and len(text) <= _MAX_TOKENS_CHARACTERS
    return int(text) if is_valid else 0


def _parse_token_usage(value):
    first, _, second = value.partition(",")
    if first.strip().isdecimal() and second.strip().isdecimal():
        return int(first), int(second)
    return 0, 0
