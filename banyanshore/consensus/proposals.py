"""What callers want of the consensus core, on its way there, and their waiting."""

import abc
from dataclasses import dataclass

import anyio


@dataclass
class Waiter:
    """A proposal or a read that a caller waits for."""

    done: anyio.Event
    term: int = 0
    outcome: object = None
    error: Exception | None = None

    def resolve(self, outcome=None, error=None):
        """Wake the caller with an outcome or an error."""
        self.outcome = outcome
        self.error = error
        self.done.set()


@dataclass(frozen=True)
class Proposal:
    """A command on its way to the core."""

    command: object
    waiter: Waiter


@dataclass(frozen=True)
class PendingRead(abc.ABC):
    """A read on its way to the core."""

    waiter: Waiter

    @abc.abstractmethod
    def result(self, machine):
        """Return what was asked for of the state machine."""


class PublishedRead(PendingRead):
    """A read of the whole published state."""

    def result(self, machine):
        """Return the published state."""
        return machine.published()


class VersionRead(PendingRead):
    """A read of the number of the version, which costs little."""

    def result(self, machine):
        """Return the number of the version."""
        return machine.version


@dataclass(frozen=True)
class Transfer:
    """The wish to hand leadership over, on its way to the core."""

    waiter: Waiter
