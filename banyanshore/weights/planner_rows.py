"""Options and state of the transfer planner."""

import math
from dataclasses import field

from banyanshore.core.values import dataclass

ORIGIN = ""


@dataclass(frozen=True)
class PlannerOptions:
    """Options of a :class:`~banyanshore.weights.planner.TransferPlanner`.

    :param takeover_timeout: seconds that an agent waits for each agent of lower rank
        before it fetches a missing chunk in its place.
    :param retry_delay: seconds before a failed fetch is retried.
    :param busy_delay: seconds before a busy neighbour is asked again.
    :param max_backoff: largest factor on the retry delay after repeated failures to
        fetch a chunk from the origin.
    :param asks_other_data_centres: whether to ask other data centres for chunks before
        fetching them from the origin, because they may have started the transfer before
        this agent joined.
    """

    max_origin_fetches: int = 2
    max_peer_fetches: int = 4
    max_uploads: int = 4
    takeover_timeout: float = 4.0
    retry_delay: float = 0.25
    busy_delay: float = 0.5
    max_backoff: int = 16
    asks_other_data_centres: bool = False


@dataclass(frozen=True)
class Fetch:
    """Fetch of one chunk.

    :param source: instance to fetch from, or :data:`ORIGIN`.
    """

    index: int
    source: str

    @property
    def from_origin(self):
        """Return whether the origin is the source."""
        return self.source == ORIGIN


@dataclass
class Neighbour:
    """State of a neighbour.

    :param have: its verified chunks as bits.
    :param uploads: number of chunks that it has sent to others.
    :param busy_until: time until which it isn't asked.
    :param failures: consecutive failures to fetch from it.
    """

    have: int = 0
    uploads: int = 0
    busy_until: float = -math.inf
    failures: int = 0


@dataclass
class Assignment:
    """State of a missing chunk in which this agent has a role.

    :param role: the :class:`~banyanshore.weights.placement.ChunkRole` of this agent.
    :param due_at: time at which it is requested next.
    :param waiting_since: time of the first request to the current group, or of its last
        "queued" or "busy" reply; ``None`` before the first request.
    :param group_index: index of the current group among those that may have it.
    :param failed_sources: agents that have failed to send it.
    :param rotation: counts requests, to rotate through the agents of a group.
    :param origin_failures: failed fetches from the origin.
    """

    role: object
    due_at: float
    waiting_since: float | None = None
    group_index: int = 0
    failed_sources: set = field(default_factory=set)
    rotation: int = 0
    origin_failures: int = 0
