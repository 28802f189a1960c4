"""Compute how many targets may load a version at once, for load permit requests."""

import math

from banyanshore.state.rollouts import LoadPermitCommand


class LoadPermitPlanner:
    """Build the command for an agent's load permit request, with the current limits."""

    def __init__(self, settings, state, entries, targets):
        self._settings = settings
        self._state = state
        self._entries = entries
        self._targets = targets

    def build_command(self, now, request):
        """Return the :class:`LoadPermitCommand` of a request."""
        desired = self._state.desired
        spec = desired and desired.model_of_service(request.service)
        ratio = spec.max_unavailable_ratio if spec else 0.0
        data_centre_targets = self._count(self._targets.capacity(now), request.service)
        fleet_targets = data_centre_targets + sum(
            self._count(row.digest.capacity, request.service)
            for row in self._entries.live_data_centres(now).values()
        )
        return LoadPermitCommand(
            request,
            max_concurrent_loads(fleet_targets, ratio),
            max_concurrent_loads(data_centre_targets, ratio),
        )

    def _count(self, capacity, service):
        return sum(row.targets for row in capacity if row.service == service)


def max_concurrent_loads(targets, ratio):
    """Return how many of the targets may load at once, at least one.

    :param ratio: largest share of the targets that may be unavailable.

    >>> max_concurrent_loads(8, 0.25), max_concurrent_loads(2, 0.25)
    (2, 1)
    """
    return max(1, math.floor(targets * ratio))
