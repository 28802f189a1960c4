"""How long an answer may make no progress: decisions without input or output.

Load pattern: targets that hang or fall silent in the middle of a burst, beside sound
ones that are slow since they are full. Giving up a sound one runs its request twice
when there is least room; waiting for a silent one costs the caller its objective. So
the time follows from what is asked for and from the pace that the target reports, and
differs before the first event and between events.
"""

# Times the objective that an answer may take to begin, and the most of that in seconds.
OBJECTIVE_FACTOR = 3.0
MAX_HEAD_SECONDS = 1.2
# Times the longest pause asked for that may lie between two events, and the least of
# that in seconds. Callers leave a stream after some more.
PAUSE_FACTOR = 4.0
MIN_EVENT_SECONDS = 1.2
# Slowest pace that is waited for: a target that is slower serves nobody in time.
MAX_PACE = 8.0


def head_patience(objective_seconds, pace):
    """Return the seconds that an answer may take to begin.

    :param pace: factor on the time that the target's work takes, 1 for a usual one.

    >>> round(head_patience(0.4, 1.0), 2), round(head_patience(0.4, 4.0), 2)
    (1.2, 4.8)
    """
    usual = min(MAX_HEAD_SECONDS, OBJECTIVE_FACTOR * objective_seconds)
    return usual * _bounded(pace)


def event_patience(max_pause_seconds, pace):
    """Return the seconds that may lie between two events of a stream.

    >>> round(event_patience(0.4, 1.0), 2), event_patience(float("inf"), 1.0)
    (1.6, inf)
    """
    return max(MIN_EVENT_SECONDS, PAUSE_FACTOR * max_pause_seconds) * _bounded(pace)


def _bounded(pace):
    return min(MAX_PACE, max(1.0, pace))
