"""Generate request arrivals at random from a plan and its seed."""

import math
import random

from banyanshore.core.values import dataclass


@dataclass
class Arrival:
    """One simulated generation request and its outcome.

    :ivar kind: the :class:`~banyanshore.simulation.plan.KindPlan`.
    :ivar arrived_at: time of the caller's first attempt, in seconds.
    :ivar prompt: length of the prompt in tokens.
    :ivar answer: length of the answer in tokens.
    :ivar gateway: name of the gateway that received it last, empty before that.
    :ivar target: address of the target it was last sent to, empty before that.
    :ivar first_event_at: time of its first event, ``None`` without one.
    :ivar completed_at: time at which its answer was complete, ``None`` before that.
    :ivar refusals: how often it was refused.
    :ivar steps_left: decoding steps left until its answer is complete.
    """

    kind: object
    arrived_at: float
    prompt: int
    answer: int
    gateway: str = ""
    target: str = ""
    first_event_at: float | None = None
    completed_at: float | None = None
    refusals: int = 0
    steps_left: int = 0

    @property
    def first_seconds(self):
        """Return the time from the first attempt to the first event, or ``inf``."""
        return (
            math.inf
            if self.first_event_at is None
            else self.first_event_at - self.arrived_at
        )

    @property
    def is_in_time(self):
        """Return whether its first event met the objective."""
        return self.first_seconds <= self.kind.objective_seconds

    @property
    def worth(self):
        """Return the worth of its answer to the caller, 0 without a complete one."""
        if self.completed_at is None:
            return 0.0
        return self.kind.worth if self.is_in_time else self.kind.late_worth


def draw_arrivals(plan):
    """Return the :class:`Arrival` rows of a plan in order of arrival."""
    rows = []
    for position, kind in enumerate(plan.kinds):
        rng = random.Random(f"{plan.seed}/{position}")
        max_rate = kind.rate * max([1.0, *(b.factor for b in plan.bursts)])
        now = 0.0
        while max_rate and (now := now + rng.expovariate(max_rate)) < plan.seconds:
            # Accept the arrival with the ratio of the current rate to the highest one.
            if rng.random() * max_rate < kind.rate * _burst_factor(plan, kind, now):
                rows.append(_draw_arrival(rng, kind, now))
    return sorted(rows, key=lambda row: row.arrived_at)


def _burst_factor(plan, kind, now):
    factor = 1.0
    for burst in plan.bursts:
        if burst.kind in ("", kind.name) and 0 <= now - burst.at < burst.seconds:
            factor *= burst.factor
    return factor


def _draw_arrival(rng, kind, now):
    prompt = rng.lognormvariate(math.log(kind.prompt_tokens), kind.prompt_spread)
    answer = rng.expovariate(1 / kind.answer_tokens)
    return Arrival(
        kind,
        now,
        max(1, min(kind.longest_prompt, int(prompt))),
        max(1, min(kind.longest_answer, int(answer))),
    )
