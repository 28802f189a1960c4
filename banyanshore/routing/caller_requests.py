"""A caller's request, an offer to a target, and their translation from and to HTTP."""

import abc

from banyanshore.core.values import dataclass
from banyanshore.routing.ranks import ONLY_RANK, Rank


@dataclass(frozen=True)
class CallerRequest:
    """One attempt of a caller.

    :param request_id: the caller's id of this attempt.
    :param target: path and query as bytes.
    :param key: the workspace's API key, empty without one.
    :param caller_timeout_seconds: how long the caller waits, ``inf`` if unknown.
    :param model: name of the requested model, empty for a plain service.
    :param prompt_tokens: length of the prompt, 0 if unknown.
    :param session: identifier shared by requests with the same context.
    :param last_event_id: id of the last event of a stream that the caller received,
        else 0.
    :param headers: headers to pass on, as pairs of bytes.
    :param shared_parts: identifiers of the parts of the prompt that other requests may
        share, in order.
    :param answer_tokens_hint: length of the answer that the caller estimates, 0 if it
        does not.
    """

    request_id: str
    method: bytes
    target: bytes
    path: str
    host: str
    key: str
    caller_timeout_seconds: float
    model: str = ""
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    session: str = ""
    last_event_id: int = 0
    headers: tuple = ()
    shared_parts: tuple = ()
    answer_tokens_hint: int = 0


@dataclass(frozen=True)
class Offer:
    """Parameters that a target receives along with a request.

    :param target_id: id of the only target that may run the request.
    :param workspace: workspace of the caller, empty without one.
    :param seconds_left: time after which the answer is no longer wanted.
    :param model_version: the only version of the weights that may run it, 0 for any.
    :param last_event_id: id of the event after which to resume a stream, ``None`` for
        the one in the caller's request.
    :param rank: urgency of the request, see :mod:`~banyanshore.routing.ranks`.
    """

    target_id: str
    workspace: str
    seconds_left: float
    model_version: int = 0
    last_event_id: int | None = None
    rank: Rank = ONLY_RANK


class CallerDialect(abc.ABC):
    """Translate between a platform's HTTP conventions and requests and answers."""

    @abc.abstractmethod
    def parse(self, exchange):
        """Return the :class:`CallerRequest` of an exchange.

        :raises RequestError: the exchange holds no valid request.
        """

    @abc.abstractmethod
    def build(self, request, body, offer):
        """Return the :class:`~banyanshore.http.upstream.OutgoingRequest`."""

    @abc.abstractmethod
    def is_not_executed(self, answer):
        """Return whether an answer states that the target has not run the request."""

    @abc.abstractmethod
    def parse_target_notice(self, answer):
        """Return an answer's :class:`~banyanshore.routing.notices.TargetNotice`."""

    @abc.abstractmethod
    def is_answer_to(self, answer, request):
        """Return whether an answer is one to this request."""

    @abc.abstractmethod
    def has_matching_request_id(self, answer, request):
        """Return whether an answer carries no other request's id."""

    @abc.abstractmethod
    def answer_headers(self, answer):
        """Return the headers of a target's answer to pass to the caller."""

    @abc.abstractmethod
    def refusal_headers(self, request, retry_after):
        """Return the headers of a refusal by the gateway itself.

        :param retry_after: seconds after which to retry, ``None`` to leave it out.
        """
