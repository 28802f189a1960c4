"""Desired state: the versioned document, patches to it, and claims."""

from banyanshore.state.commands import (
    Answer,
    ClaimCommand,
    ClaimOutcome,
    ClaimStatus,
    CompleteClaimCommand,
    PatchCommand,
    PatchOutcome,
    PatchStatus,
    ReleaseClaimCommand,
    TimedCommand,
)
from banyanshore.state.document import DocumentError, empty_document
from banyanshore.state.holder import StateHolder
from banyanshore.state.machine import StateMachine
from banyanshore.state.views import DesiredState, Fence, PublishedState, StateDelta

__all__ = [
    "Answer",
    "ClaimCommand",
    "ClaimOutcome",
    "ClaimStatus",
    "CompleteClaimCommand",
    "DesiredState",
    "DocumentError",
    "Fence",
    "PatchCommand",
    "PatchOutcome",
    "PatchStatus",
    "PublishedState",
    "ReleaseClaimCommand",
    "StateDelta",
    "StateHolder",
    "StateMachine",
    "TimedCommand",
    "empty_document",
]
