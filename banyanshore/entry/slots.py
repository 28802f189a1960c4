"""Work out how many targets may load at once, for agents that ask for a turn."""

import math

from banyanshore.state.rollouts import LoadPermitCommand


class SlotPlanner:
    """Turn an agent's request into a command with the limits that hold now."""

    def __init__(self, settings, state, entries, targets):
        self._settings = settings
        self._state = state
        self._entries = entries
        self._targets = targets

    def build_command(self, now, request):
        """Return the :class:`~banyanshore.state.rollouts.LoadPermitCommand`."""
        desired = self._state.desired
        spec = desired and desired.model_of_service(request.service)
        ratio = spec.max_unavailable_ratio if spec else 0.0
        here = self._count(self._targets.capacity(now), request.service)
        fleet = here + sum(
            self._count(row.digest.capacity, request.service)
            for row in self._entries.live_data_centres(now).values()
        )
        return LoadPermitCommand(request, turns(fleet, ratio), turns(here, ratio))

    def _count(self, capacity, service):
        return sum(row.targets for row in capacity if row.service == service)


def turns(targets, ratio):
    """Return how many of some targets may load at once, at least one.

    >>> turns(8, 0.25), turns(2, 0.25)
    (2, 1)
    """
    return max(1, math.floor(targets * ratio))
