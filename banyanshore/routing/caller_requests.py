"""A caller's request as the decisions see it, and how it is put to targets."""

import abc
from dataclasses import dataclass


@dataclass(frozen=True)
class CallerRequest:
    """One attempt of a caller.

    :param request_id: the caller's id of this attempt.
    :param target: path and query as bytes.
    :param key: the workspace's key, empty without one.
    :param patience_seconds: how long the caller waits, ``inf`` if it doesn't say.
    :param model: name of the model it is for, empty for a plain service.
    :param prompt_tokens: length of the prompt, 0 if it isn't known.
    :param session: what requests with the same context have in common.
    :param last_event_id: last event that the caller has of a stream, else 0.
    :param headers: headers to pass on, as pairs of bytes.
    """

    request_id: str
    method: bytes
    target: bytes
    path: str
    host: str
    key: str
    patience_seconds: float
    model: str = ""
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    session: str = ""
    last_event_id: int = 0
    headers: tuple = ()


@dataclass(frozen=True)
class Offer:
    """What is told to a target beside the request itself.

    :param target_id: the only target that may run it.
    :param workspace: workspace of the caller, empty without one.
    :param seconds_left: time after which nobody waits for the answer.
    :param model_version: the only version of the weights that may run it, 0 for any.
    :param last_event_id: event after which a stream goes on, ``None`` for what the
        caller asked for.
    """

    target_id: str
    workspace: str
    seconds_left: float
    model_version: int = 0
    last_event_id: int | None = None


class CallerDialect(abc.ABC):
    """How callers and targets of a platform put things into HTTP."""

    @abc.abstractmethod
    def parse(self, exchange):
        """Return the :class:`CallerRequest` in an exchange.

        :raises RequestError: it isn't one.
        """

    @abc.abstractmethod
    def build(self, request, body, offer):
        """Return the :class:`~banyanshore.http.upstream.OutgoingRequest`."""

    @abc.abstractmethod
    def says_not_run(self, answer):
        """Tell whether a target says that it has not run the request."""

    @abc.abstractmethod
    def target_notice(self, answer):
        """Return what an answer says of its target.

        :return: a :class:`~banyanshore.routing.notices.TargetNotice`.
        """

    @abc.abstractmethod
    def belongs_to(self, answer, request):
        """Tell whether an answer is one to this request."""

    @abc.abstractmethod
    def echoes(self, answer, request):
        """Tell whether an answer bears no other request's id."""

    @abc.abstractmethod
    def answer_headers(self, answer):
        """Return the headers of an answer that the caller gets."""

    @abc.abstractmethod
    def refusal_headers(self, request, retry_after):
        """Return the headers of an answer of our own.

        :param retry_after: seconds after which to come back, ``None`` not to say.
        """
