"""Which requests a stopping process still accepts, and when it must have answered.

Load pattern: callers are sent to a process for seconds after it was asked to stop, and
some requests last as long as the time until it is killed.
"""

import math

from banyanshore.core.values import dataclass


@dataclass(frozen=True)
class StopPlan:
    """The times of a planned stop.

    :param refuses_at: time from which no request is accepted.
    :param answers_due_at: time by which all accepted requests must be answered.
    :param ends_at: time at which the process ends, even if requests are still running.
    """

    refuses_at: float = math.inf
    answers_due_at: float = math.inf
    ends_at: float = math.inf

    def accepts(self, now, seconds):
        """Return whether a request that may take some seconds can be accepted.

        >>> plan = StopPlan(12.6, 17.2, 17.6)
        >>> plan.accepts(11.1, 6.0), plan.accepts(11.3, 6.0), plan.accepts(12.5, 1.0)
        (True, False, True)
        """
        return now < self.refuses_at and now + seconds <= self.answers_due_at


# The plan of a process that has not been asked to stop.
NOT_STOPPING = StopPlan()
