"""What the planner of transfers keeps of chunks, neighbours and its bounds."""

import math
from dataclasses import dataclass, field

ORIGIN = ""


@dataclass(frozen=True)
class PlannerOptions:
    """Bounds of the planner.

    :param busy_delay: seconds for which a neighbour that is busy isn't asked again.
    :param patience: seconds without a source after which an agent looks whether
        those before it have failed.
    :param max_backoff: most times the retry delay between draws of a chunk in vain.
    :param asks_other_data_centres: whether to ask other data centres for chunks before
        fetching them from the origin, because they may have started the transfer before
        this agent joined.
    """

    max_origin_fetches: int = 2
    max_peer_fetches: int = 4
    max_uploads: int = 4
    patience: float = 4.0
    retry_delay: float = 0.25
    busy_delay: float = 0.5
    max_backoff: int = 16
    asks_other_data_centres: bool = False


@dataclass(frozen=True)
class Fetch:
    """Fetch a chunk from an instance, or from the origin."""

    index: int
    source: str

    @property
    def from_origin(self):
        """Tell whether the origin is the source."""
        return self.source == ORIGIN


@dataclass
class Neighbour:
    """What is known of a neighbour.

    :param have: its verified chunks as bits.
    :param busy_until: time until which it isn't asked.
    """

    have: int = 0
    uploads: int = 0
    busy_until: float = -math.inf
    failures: int = 0


@dataclass
class Assignment:
    """A chunk that this agent brings in, or may have to.

    :param due_at: time at which it is first asked for.
    :param asked_since: time from which it is asked for, and nobody has it in hand.
    :param stage: which of the groups that may have it is asked now.
    :param failed: agents that have failed to send it.
    :param turn: counts the agents asked, to take them in turn.
    :param failures: vain draws from the origin.
    """

    role: object
    due_at: float
    asked_since: float | None = None
    stage: int = 0
    failed: set = field(default_factory=set)
    turn: int = 0
    failures: int = 0
