"""A caller's request inside an entry, and its result."""

import enum

from banyanshore.core.values import dataclass
from banyanshore.routing.messages import Dispatch


@dataclass(frozen=True)
class Call:
    """A request of a caller.

    :param deadline: monotonic time at which the caller stops waiting.
    :param repeatable: whether the request may run again.
    :param fingerprint: digest that is the same when the caller repeats the request.
    :param prefix: key shared by requests with the same prompt prefix, empty for none.
    :param streamed: whether the answer is passed on as it arrives.
    """

    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    headers: tuple
    body: bytes
    deadline: float
    priority: int
    repeatable: bool
    fingerprint: bytes
    traceparent: str
    prefix: str = ""
    streamed: bool = False

    def to_dispatch(self, now, attempt_id, exclusive):
        """Return the :class:`Dispatch` message for one attempt.

        :param exclusive: whether it must run alone.
        """
        return Dispatch(
            attempt_id,
            self.workspace,
            self.service,
            self.method,
            self.path,
            self.headers,
            self.body,
            max(0.0, self.deadline - now),
            self.priority,
            self.repeatable,
            self.fingerprint,
            exclusive,
            self.traceparent,
        )

    @classmethod
    def from_dispatch(cls, now, dispatch):
        """Return the call described by another entry's :class:`Dispatch` message."""
        return cls(
            dispatch.request_id,
            dispatch.workspace,
            dispatch.service,
            dispatch.method,
            dispatch.path,
            dispatch.headers,
            dispatch.body,
            now + dispatch.seconds_left,
            dispatch.priority,
            dispatch.repeatable,
            dispatch.fingerprint,
            dispatch.traceparent,
        )


class ResultKind(enum.Enum):
    """How a call ended."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class CallResult:
    """The result of a call.

    :param reason: why it was not answered.
    :param retry_after: seconds after which the caller may retry.
    :param crashed: fingerprints of all requests that ran at the target when it crashed.
    :param crash_id: id of that crash.
    """

    kind: ResultKind
    reason: str = ""
    retry_after: float = 1.0
    detail: str = ""
    crashed: tuple = ()
    crash_id: str = ""


ANSWERED = CallResult(ResultKind.ANSWERED)
