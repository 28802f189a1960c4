"""How much of its objective a request has left, free of I/O.

Load pattern: requests that were refused in a burst return while it lasts. Their
objective counts from the first attempt and has passed, so that no place at a target
makes them timely, while each of them takes the place of one that could be.

Callers of a route wait about equally long for an answer, up to some spread. An attempt
with a much smaller time budget than usual is a later one of the same request, and the
difference is the time that has passed since its first attempt.
"""

import math
from collections import deque

from banyanshore.core.values import dataclass

# Number of requests of a route from which its usual time budget is determined.
BUDGETS_KEPT = 64
# Maximum number of routes whose time budgets are kept.
MAX_ROUTES = 1000
# The usual time budget is the one that this part of the requests stays below. A few
# callers that wait for much longer than others don't raise it.
USUAL_QUANTILE = 0.9
# Fraction of the usual time budget below which a request counts as a later attempt;
# callers of a route differ in their patience by less.
LATER_ATTEMPT_PART = 0.85
# Maximum wait of a late request, as a fraction of the time that its caller has left.
LATE_WAIT_PART = 0.2
# Number of answers of a service from which its time to the first event is determined,
# and the part of them that begin within it: a request that has waited should still be
# in time at most targets.
FIRST_EVENTS_KEPT = 32
FIRST_EVENT_QUANTILE = 0.75


@dataclass(frozen=True)
class Timeliness:
    """What is left of the objective of a request.

    :param is_late: whether its objective has passed with an earlier attempt.
    :param longest_wait: seconds after its arrival until which it may wait for room at a
        target; 0 or less if it may not.
    """

    is_late: bool
    longest_wait: float


class TimeBudgets:
    """Time budgets of requests and times to the first event, seen by one gateway.

    Routes are told apart by host and prefix.
    """

    def __init__(self):
        self._budgets_by_route = {}
        self._usual_by_route = {}
        self._first_events_by_service = {}

    def record_request(self, route, seconds):
        """Record the time budget of a request.

        :param seconds: time for which the caller waits, ``inf`` if unknown.
        """
        seconds = min(seconds, route.timeout_seconds)
        if seconds == math.inf:
            return
        key = route.host, route.prefix
        budgets = self._budgets_by_route.get(key)
        if budgets is None:
            budgets = deque(maxlen=BUDGETS_KEPT)
            if len(self._budgets_by_route) >= MAX_ROUTES:
                self._forget(next(iter(self._budgets_by_route)))
            self._budgets_by_route[key] = budgets
        budgets.append(seconds)
        self._usual_by_route.pop(key, None)

    def record_first_event(self, service, seconds):
        """Record the time from an offer to the first event of its answer."""
        times = self._first_events_by_service.get(service)
        if times is None:
            times = deque(maxlen=FIRST_EVENTS_KEPT)
            self._first_events_by_service[service] = times
        times.append(seconds)

    def keep_only(self, routes, services):
        """Forget the routes and services that no longer exist.

        :param routes: pairs of host and prefix.
        """
        for key in self._budgets_by_route.keys() - set(routes):
            self._forget(key)
        for service in self._first_events_by_service.keys() - set(services):
            del self._first_events_by_service[service]

    def _forget(self, key):
        del self._budgets_by_route[key]
        self._usual_by_route.pop(key, None)

    def passed_seconds(self, route, seconds):
        """Return the seconds since the first attempt of a request, 0 for the first one.

        :param seconds: time for which the caller waits, ``inf`` if unknown.
        """
        usual = self._usual_seconds((route.host, route.prefix))
        seconds = min(seconds, route.timeout_seconds)
        return usual - seconds if seconds < LATER_ATTEMPT_PART * usual else 0.0

    def timeliness(self, route, service, seconds):
        """Return the :class:`Timeliness` of a request.

        A request may wait as long as its answer can still begin in time. One that has
        returned too late for that would not come back again: it may wait for some part
        of the time that its caller has left, though no longer than others.

        :param seconds: time for which the caller waits, ``inf`` if unknown.
        """
        objective = route.objective_seconds
        if objective == math.inf:
            return Timeliness(False, 0.0)
        passed = self.passed_seconds(route, seconds)
        if passed >= objective:
            seconds = min(seconds, route.timeout_seconds)
            return Timeliness(True, min(objective, LATE_WAIT_PART * seconds))
        first_event = self._first_event_seconds(service)
        return Timeliness(False, objective - passed - first_event)

    def _first_event_seconds(self, service):
        """Return the time within which most answers of a service begin."""
        return _quantile(
            self._first_events_by_service.get(service, ()), FIRST_EVENT_QUANTILE
        )

    def _usual_seconds(self, key):
        usual = self._usual_by_route.get(key)
        if usual is None:
            budgets = self._budgets_by_route.get(key, ())
            usual = self._usual_by_route[key] = _quantile(budgets, USUAL_QUANTILE)
        return usual


def _quantile(values, part):
    """Return the value that a part of the values stays below, 0 without any.

    >>> _quantile([3.0, 1.0, 2.0, 9.0], 0.75), _quantile([], 0.5)
    (9.0, 0.0)
    """
    ordered = sorted(values)
    return ordered[int(part * len(ordered))] if ordered else 0.0
