"""Requests that are queued for the consensus core, and their waiting callers."""

import abc

import anyio

from banyanshore.core.values import dataclass


@dataclass
class Waiter:
    """A caller that waits for a proposal or a read.

    :param term: term of the proposed entry.
    """

    done: anyio.Event
    term: int = 0
    outcome: object = None
    error: Exception | None = None

    def resolve(self, outcome=None, error=None):
        """Set the outcome or the error and wake the caller."""
        self.outcome = outcome
        self.error = error
        self.done.set()


@dataclass(frozen=True)
class Proposal:
    """A command queued for the core."""

    command: object
    waiter: Waiter


@dataclass(frozen=True)
class QueuedRead(abc.ABC):
    """A read queued for the core."""

    waiter: Waiter

    @abc.abstractmethod
    def result(self, machine):
        """Return the requested part of the state machine's state."""


class PublishedRead(QueuedRead):
    """A read of the complete published state."""

    def result(self, machine):
        """Return the published state."""
        return machine.published_state()


class VersionRead(QueuedRead):
    """A read of only the version number, which is cheap."""

    def result(self, machine):
        """Return the version number."""
        return machine.version


@dataclass(frozen=True)
class Transfer:
    """A request to hand leadership over, queued for the core."""

    waiter: Waiter
