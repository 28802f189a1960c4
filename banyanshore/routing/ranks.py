"""Ranks of requests by the priorities of workspaces and routes, free of I/O.

Load pattern: for some seconds there are more requests than the targets can serve, of
several kinds at once, some of which are more urgent to their callers.

A workspace's priority goes before the priority of the route. Ranks number the
priorities that occur among the requests of a service, so that it doesn't matter how far
apart an operator has put them, and a service whose requests are all alike has only one.
"""

from banyanshore.core.values import dataclass


@dataclass(frozen=True)
class Rank:
    """Urgency of a request among those of its service.

    :param position: 0 for the most urgent requests.
    :param count: number of ranks that the service has.
    """

    position: int = 0
    count: int = 1


ONLY_RANK = Rank()


class ServiceRanks:
    """The ranks of the requests of one service.

    :param priorities: pairs of the priority of a route and that of a workspace, which
        is ``None`` for a workspace without one.

    >>> ranks = ServiceRanks({(0, None), (1, None), (0, 5)})
    >>> ranks.find(1, None), ranks.find(0, 5)
    (Rank(position=1, count=3), Rank(position=2, count=3))
    """

    def __init__(self, priorities):
        urgencies = sorted({_urgency(*pair) for pair in priorities})
        count = len(urgencies)
        self._rank_by_urgency = {
            urgency: Rank(position, count) for position, urgency in enumerate(urgencies)
        }

    def find(self, route_priority, workspace_priority):
        """Return the :class:`Rank` of a request.

        :param workspace_priority: ``None`` if the workspace has none.
        """
        urgency = _urgency(route_priority, workspace_priority)
        return self._rank_by_urgency.get(urgency, ONLY_RANK)


def _urgency(route_priority, workspace_priority):
    if workspace_priority is None:
        return route_priority, route_priority
    return workspace_priority, route_priority
