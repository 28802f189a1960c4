"""Messages that carry a request to an agent and its answer back."""

import enum
from typing import Any

from banyanshore.transport.codec import message


class RefusalReason(enum.StrEnum):
    """Why a request was not run."""

    FULL = "full"
    LEAVING = "leaving"
    NOT_SERVING = "not-serving"
    OUT_OF_SERVICE = "out-of-service"
    ENGINE_UNREACHABLE = "engine-unreachable"
    NO_TARGET = "no-target"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    BUDGET = "budget"
    QUARANTINED = "quarantined"
    NO_QUORUM = "no-quorum"
    NO_CONNECTION = "no-connection"
    CLAIMS_FULL = "claims-full"
    TOO_MANY = "too-many"
    KEY_REUSED = "key-reused"


class FailureReason(enum.StrEnum):
    """Why a request that may have run has no complete answer."""

    TARGET_CRASHED = "target-crashed"
    SERVER_ERROR = "server-error"
    WRONG_VERSION = "wrong-version"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    CONNECTION_LOST = "connection-lost"
    AGENT_RESTARTED = "agent-restarted"
    AGENT_FAILED = "agent-failed"
    BROKEN_ANSWER = "broken-answer"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_NOT_KEPT = "answer-not-kept"


@message(70)
class Dispatch:
    """Ask an agent to run a request on its target.

    :param request_id: id of this attempt; an agent runs it at most once.
    :param headers: headers for the target, as pairs of bytes.
    :param seconds_left: time left until the deadline.
    :param priority: lower values go first.
    :param repeatable: whether the call may run again.
    :param fingerprint: digest that identifies a request that crashes targets.
    :param exclusive: whether the request must run alone.
    :param data_centre: data centre in which the receiving entry selects a target; empty
        when the message is for an agent.
    """

    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    headers: tuple
    body: bytes
    seconds_left: float
    priority: int
    repeatable: bool
    fingerprint: bytes
    exclusive: bool = False
    traceparent: str = ""
    data_centre: str = ""


@message(71)
class Refused:
    """Reply that the request has not run and will not run.

    :param retry_after: seconds after which it may be offered again.
    """

    reason: str
    retry_after: float = 0.0
    detail: str = ""


@message(72)
class Started:
    """Carry the status and headers of the answer.

    :param model_version: version that answers, empty for a plain service.
    """

    status: int
    headers: tuple
    model: str
    model_version: str
    target: str


@message(73)
class Data:
    """Carry the next bytes of the answer."""

    body: bytes


@message(74)
class Finished:
    """Mark the end of a complete answer."""


@message(75)
class Failed:
    """Reply that the request may have run but has no complete answer.

    :param crashed: fingerprints of the requests that were running when the target
        crashed.
    :param crash_id: id of that crash, the same in the replies to all these requests.
    """

    reason: str
    crashed: tuple = ()
    crash_id: str = ""


@message(76)
class Resume:
    """Ask an agent for the rest of an answer after a lost connection.

    An agent that has not received the request refuses it from then on, so that its
    refusal remains true. An agent that has restarted can't know whether the request
    ran.

    :param received: number of replies that have arrived.
    :param incarnation: incarnation of the agent that the request was sent to.
    """

    request_id: str
    received: int
    incarnation: int


@message(77)
class CancelRequest:
    """Notify an agent that the answer to a request is no longer wanted."""

    request_id: str


@message(78)
class AnswerQuery:
    """Ask an agent for a stored answer to a claimed call.

    :param attempt: id of the attempt that holds the claim.
    :param data_centre: data centre whose agents the receiving entry asks; empty when
        the message is for an agent.
    """

    attempt: str
    service: str = ""
    data_centre: str = ""


@message(79)
class AnswerReply:
    """Answer an :class:`AnswerQuery`; ``None`` if no complete answer is stored."""

    answer: Any = None
