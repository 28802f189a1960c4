"""Timeouts of an answer that makes no progress, free of I/O.

Load pattern: in the middle of a burst some targets hang, while healthy ones are slow
because they are full. Giving up on a healthy target runs its request twice when
capacity is scarcest; waiting for a hung one makes the request miss its objective. The
timeouts therefore depend on the route's objectives and on the slowdown that the target
reports, and differ before the first event and between events.
"""

# Timeout of the head of an answer as a multiple of the objective, and its maximum in
# seconds before the slowdown is applied.
OBJECTIVE_FACTOR = 3.0
MAX_HEAD_SECONDS = 1.2
# Timeout between two events as a multiple of the objective for the longest pause, and
# its minimum in seconds. Callers abandon a stream only somewhat later.
PAUSE_FACTOR = 4.0
MIN_EVENT_SECONDS = 1.2
# Maximum slowdown that timeouts allow for; a slower target serves no request in time.
MAX_PACE = 8.0


def head_timeout(objective_seconds, pace):
    """Return the seconds within which the head of an answer must arrive.

    :param pace: slowdown factor that the target reports, 1 for normal speed.

    >>> round(head_timeout(0.4, 1.0), 2), round(head_timeout(0.4, 4.0), 2)
    (1.2, 4.8)
    """
    base = min(MAX_HEAD_SECONDS, OBJECTIVE_FACTOR * objective_seconds)
    return base * _clamped(pace)


def event_timeout(max_pause_seconds, pace):
    """Return the seconds within which the next event of a stream must arrive.

    :param max_pause_seconds: objective for the longest pause between two events.
    :param pace: slowdown factor that the target reports, 1 for normal speed.

    >>> round(event_timeout(0.4, 1.0), 2), event_timeout(float("inf"), 1.0)
    (1.6, inf)
    """
    return max(MIN_EVENT_SECONDS, PAUSE_FACTOR * max_pause_seconds) * _clamped(pace)


def _clamped(pace):
    return min(MAX_PACE, max(1.0, pace))
