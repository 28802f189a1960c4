"""Commands to the replicated state and their outcomes.

A command can be proposed again if its outcome was lost: it carries an id by which the
state machine recognises it and returns the first outcome.
"""

import enum

from banyanshore.transport.codec import message

# Base version of an internal patch, which applies to any current version.
UNCONDITIONAL = -1


class PatchStatus(enum.StrEnum):
    """Status of a patch."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    REUSED_ID = "reused-id"


class ClaimStatus(enum.StrEnum):
    """Status of a claim."""

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"


@message(58)
class TimedCommand:
    """A command with the time at which it was proposed.

    :param at: log time in seconds, see
        :class:`~banyanshore.consensus.log_clock.LogClock`.
    """

    at: float
    command: object


@message(40)
class PatchCommand:
    """Apply a merge patch to one version of the document.

    :param base_version: version that the operator's patch is based on.
    :param patch: JSON merge patch (RFC 7396).
    :param at: time at which the entry received the patch, in seconds since the epoch;
        for information only.
    """

    request_id: str
    base_version: int
    patch: bytes
    at: float
    operator: str = ""


@message(41)
class PatchOutcome:
    """The outcome of a patch.

    :param version: the version that it created, or the current one if it was refused.
    """

    status: str
    version: int
    detail: str = ""


@message(42)
class Answer:
    """The complete answer to a call."""

    status: int
    headers: tuple
    body: bytes


@message(43)
class ClaimCommand:
    """Claim the right to run a call that may not be repeated.

    :param digest: SHA-256 of method, path and body.
    :param attempt: id of the entry's attempt, which alone may run the call.
    :param seconds: time after which the outcome of a call without an answer counts as
        unknown.
    """

    workspace: str
    service: str
    key: str
    digest: bytes
    attempt: str
    seconds: float


@message(44)
class ClaimOutcome:
    """The outcome of a claim.

    :param claim_id: index of the log entry that granted it.
    :param answer: the stored :class:`Answer` of a call that is done; ``None`` if it was
        too large to keep or was dropped.
    :param attempt: id of the attempt that holds the claim.
    """

    status: str
    claim_id: int = 0
    answer: Answer | None = None
    attempt: str = ""


@message(45)
class CompleteClaimCommand:
    """Store the answer of a claimed call."""

    workspace: str
    service: str
    key: str
    attempt: str
    answer: Answer | None


@message(46)
class ReleaseClaimCommand:
    """Release the claim of a call that certainly did not run."""

    workspace: str
    service: str
    key: str
    attempt: str
