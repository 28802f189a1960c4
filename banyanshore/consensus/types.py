"""Options, durable state and outputs of the consensus core."""

import enum

from banyanshore.consensus.log import Snapshot
from banyanshore.core.values import dataclass


class Role(enum.Enum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class RaftOptions:
    """Timing of the core; durations are in seconds.

    :param clock_skew: largest relative difference between the rates of two clocks.
    """

    election_timeout: float = 1.0
    heartbeat_interval: float = 0.15
    clock_skew: float = 0.05

    @property
    def lease_seconds(self):
        """Return how long an acknowledged round prevents the election of others."""
        return self.election_timeout * (1 - self.clock_skew) / (1 + self.clock_skew)


@dataclass(frozen=True)
class HardState:
    """Current term and vote of a member, which must survive a restart."""

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True)
class Envelope:
    """A message and the member that it is addressed to."""

    to: str
    message: object


@dataclass(frozen=True)
class FinishedRead:
    """The result of a read.

    :param context: number that identifies the read.
    :param index: index that must be applied before the read is answered, ``-1`` if the
        read failed.
    """

    context: int
    index: int


@dataclass(frozen=True)
class Ready:
    """Work that the core hands to its owner, to be done in the order of the fields.

    :param hard_state: :class:`HardState` to make durable, or ``None``.
    :param snapshot: received :class:`Snapshot` to make durable and to restore, if any.
    :param truncate_from: index from which durable entries are dropped, or 0.
    :param entries: entries to make durable after the truncation.
    :param messages: :class:`Envelope` objects to send once all the above is durable.
    :param committed: entries to apply.
    :param reads: :class:`FinishedRead` results.
    """

    hard_state: HardState | None
    snapshot: Snapshot | None
    truncate_from: int
    entries: tuple
    messages: tuple
    committed: tuple
    reads: tuple

    @property
    def is_empty(self):
        """Return whether there is nothing to do."""
        return not (
            self.hard_state
            or self.snapshot
            or self.truncate_from
            or self.entries
            or self.messages
            or self.committed
            or self.reads
        )
