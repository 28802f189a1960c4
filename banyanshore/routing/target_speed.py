"""How much slower than usual a target is, free of I/O.

Load pattern: some targets are 2.5 times slower than the others for about half a second
at a time, in turns, while many gateways choose by reports that are some tens or
hundreds of milliseconds old. A target that has just become slow looks as good as
before, and one that has recovered looks slow.

This gateway's own answers tell the speed as they arrive: the time between two events of
an answer, over what the engine's cost model expects for a pass, compared with the usual
ratio of the service, since an event may hold the tokens of several passes. The report
of a target states its pace too. The newer of the two is used.
"""

import math
import statistics
from collections import deque

from banyanshore.core.values import dataclass

# Number of last pauses from which the pace is told, by the shortest of them: a single
# one may be long because the engine read prompts of which no news has arrived.
PAUSES = 2
# Seconds after which an observed pause is outdated.
PAUSE_EXPIRY_SECONDS = 0.5
# Observed slowdown below which a target counts as not slow: the cost model doesn't tell
# in which pass a prompt is read.
MIN_OBSERVED_PACE = 1.5
# Number of last pauses of a service from which the usual one is told, and the number
# below which it isn't known.
USUAL_PAUSES = 64
MIN_USUAL_PAUSES = 16
# Maximum observed slowdown: an answer that is much later is stalled rather than slow.
MAX_OBSERVED_PACE = 8.0


@dataclass(frozen=True)
class SpeedEstimate:
    """The estimated speed of a target, and what it was estimated from.

    :param pace: slowdown factor, 1 for the usual speed.
    :param source: ``report``, ``own answers``, or ``none`` if nothing is known.
    :param age_seconds: age of the observation, ``inf`` without any.
    """

    pace: float = 1.0
    source: str = "none"
    age_seconds: float = math.inf


UNKNOWN_SPEED = SpeedEstimate()


class TargetSpeed:
    """Estimate the speed of one target."""

    def __init__(self):
        self._reported_pace = 1.0
        self._report_made_at = -math.inf
        # Times and slowdowns of the last pauses, the oldest first.
        self._pauses = ()

    def record_report(self, made_at, pace):
        """Record a report.

        :param made_at: time at which the target made it, in seconds.
        :param pace: slowdown factor that it states.
        """
        self._reported_pace = max(1.0, pace)
        self._report_made_at = made_at

    def record_pause(self, now, seconds, expected_seconds):
        """Record the time between two events of an answer to this gateway.

        :param expected_seconds: time that the cost model expects at the usual speed,
            above 0.
        """
        ratio = min(MAX_OBSERVED_PACE, seconds / expected_seconds)
        self._pauses = (*self._pauses[1 - PAUSES :], (now, ratio))

    def estimate(self, now):
        """Return the :class:`SpeedEstimate`.

        >>> speed = TargetSpeed()
        >>> speed.record_report(0.0, 1.0)
        >>> speed.record_pause(0.2, 0.1, 0.05)
        >>> speed.record_pause(0.3, 0.1, 0.04)
        >>> speed.estimate(0.4).pace, speed.estimate(0.4).source
        (2.0, 'own answers')
        >>> speed.estimate(0.8).pace, speed.estimate(0.8).source
        (1.0, 'report')
        """
        if self._is_observed(now):
            age = now - self._pauses[-1][0]
            return SpeedEstimate(self.pace(now), "own answers", age)
        if self._report_made_at == -math.inf:
            return UNKNOWN_SPEED
        age = now - self._report_made_at
        return SpeedEstimate(self._reported_pace, "report", age)

    def pace(self, now):
        """Return the pace of :meth:`estimate`."""
        if not self._is_observed(now):
            return self._reported_pace
        ratio = min(ratio for _, ratio in self._pauses)
        return ratio if ratio >= MIN_OBSERVED_PACE else 1.0

    def _is_observed(self, now):
        """Return whether own pauses are newer than the last report."""
        pauses = self._pauses
        return (
            len(pauses) == PAUSES
            and pauses[-1][0] > self._report_made_at
            and pauses[0][0] > now - PAUSE_EXPIRY_SECONDS
        )


class UsualPauses:
    """The pauses of one service, as multiples of what its cost model expects."""

    def __init__(self):
        self._ratios = deque(maxlen=USUAL_PAUSES)
        self._usual = None
        self._unused = 0

    def record(self, ratio):
        """Record the ratio of a pause to the expected one."""
        self._ratios.append(ratio)
        self._unused += 1
        if self._unused >= MIN_USUAL_PAUSES:
            self._usual = statistics.median(self._ratios)
            self._unused = 0

    @property
    def ratio(self):
        """Return the usual ratio, or ``None`` if too few pauses were seen.

        >>> usual = UsualPauses()
        >>> for _ in range(MIN_USUAL_PAUSES):
        ...     usual.record(2.0)
        >>> usual.ratio
        2.0
        """
        return self._usual


class AnswerPauses:
    """The pauses between the events of one answer to this gateway.

    :param load: the :class:`~banyanshore.routing.target_load.TargetLoad` of the target.
    :param model: the :class:`~banyanshore.routing.engine_model.EngineModel`.
    :param usual: the :class:`UsualPauses` of the service.
    """

    def __init__(self, load, model, usual):
        self._load = load
        self._model = model
        self._usual = usual
        # Time of the last event, and the prefill known until then.
        self._last = None

    def record_event(self, now):
        """Record that an event has arrived."""
        load = self._load
        if self._last is not None:
            last_at, prefill_seconds = self._last
            expected = self._model.pass_seconds(load.estimated_in_flight(now))
            expected += load.known_prefill_seconds - prefill_seconds
            if expected > 0:
                self._record_pause(now, now - last_at, expected)
        self._last = now, load.known_prefill_seconds

    def _record_pause(self, now, seconds, expected):
        usual = self._usual.ratio
        if usual is not None:
            self._load.speed.record_pause(now, seconds, expected * max(1.0, usual))
        self._usual.record(seconds / expected)


class PausesByService:
    """The usual pauses of the services that a gateway sends requests to."""

    def __init__(self):
        self._usual_by_service = {}

    def follow(self, load, service, model):
        """Return the :class:`AnswerPauses` of an answer that begins.

        :param service: name of the service of the target.
        """
        usual = self._usual_by_service.setdefault(service, UsualPauses())
        return AnswerPauses(load, model, usual)

    def keep_only(self, services):
        """Forget services that no longer have targets."""
        for service in self._usual_by_service.keys() - services:
            del self._usual_by_service[service]
