"""Plans of soaks: series of signals to gateways, drawn from a seed."""

import random
from dataclasses import dataclass
from enum import StrEnum

from banyanshore.state.routes import RouteKind

# Seconds of a request beyond the grace, of a target that outlasts a stop.
OUTLASTING_SECONDS = 1.0
ANSWER_BYTES = (2, 20_000, 3_000_000)
# Attempts by the kind of the route.
MAX_ATTEMPTS_BY_KIND = {
    RouteKind.NON_IDEMPOTENT: 1,
    RouteKind.IDEMPOTENT: 2,
    RouteKind.STREAMING: 1,
}


class Action(StrEnum):
    """What happens to a gateway."""

    TERMINATE = "terminate"
    INTERRUPT = "interrupt"
    RELOAD_UNCHANGED = "reload-unchanged"
    RELOAD_CHANGED = "reload-changed"
    RELOAD_INVALID = "reload-invalid"
    FREEZE = "freeze"
    THAW = "thaw"
    # Wait for the end of the process, and start it anew on the same ports.
    START = "start"


RELOADS = (Action.RELOAD_UNCHANGED, Action.RELOAD_CHANGED, Action.RELOAD_INVALID)


class CallerKind(StrEnum):
    """How a caller behaves."""

    KEPT = "kept"
    NEW_CONNECTIONS = "new-connections"
    SLOW = "slow"
    PIPELINING = "pipelining"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Step:
    """An action, and the seconds after the previous one at which it comes."""

    seconds: float
    action: Action


@dataclass(frozen=True)
class CallerPlan:
    """A caller.

    :param first_gateway: position of the gateway that it asks first.
    :param pause_seconds: pause between its requests.
    :param leave_seconds: time after which it leaves without an answer, if it does.
    """

    kind: CallerKind
    first_gateway: int
    pause_seconds: float
    leave_seconds: float


@dataclass(frozen=True)
class Plan:
    """Everything that a soak does.

    :param work_seconds: time for which each target works on a request.
    :param refused_percent: share of requests that targets refuse to run.
    :param broken_percent: share of answers that targets break off.
    :param steps_by_gateway: series of steps of each gateway; all begin together, and
        the process ends with the last one.
    """

    seed: int
    kind: RouteKind
    timeout_seconds: float
    objective_seconds: float
    grace_seconds: float
    work_seconds: tuple[float, ...]
    answer_bytes: int
    refused_percent: int
    broken_percent: int
    callers: tuple[CallerPlan, ...]
    steps_by_gateway: tuple[tuple[Step, ...], ...]

    @property
    def max_attempts(self):
        """Return the largest number of targets that a request is sent to."""
        return MAX_ATTEMPTS_BY_KIND[self.kind]

    @property
    def may_repeat(self):
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


def draw_plan(seed):
    """Return the :class:`Plan` of a seed.

    >>> draw_plan(3) == draw_plan(3), draw_plan(3) == draw_plan(4)
    (True, False)
    """
    rng = random.Random(f"soak-{seed}")
    timeout = _draw_seconds(rng, 1.0, 6.0)
    grace = _draw_seconds(rng, 2.0, 8.0)
    gateways = rng.randint(2, 4)
    answer_bytes = rng.choice(ANSWER_BYTES)
    return Plan(
        seed,
        rng.choice(list(MAX_ATTEMPTS_BY_KIND)),
        timeout,
        _draw_seconds(rng, 0.3, 2.0),
        grace,
        tuple(_draw_work(rng, timeout, grace) for _ in range(2)),
        answer_bytes,
        rng.choice((0, 0, 0, 5)),
        rng.choice((0, 0, 0, 5)),
        _draw_callers(rng, gateways, answer_bytes),
        tuple(_draw_series(rng) for _ in range(gateways)),
    )


def _draw_seconds(rng, least, most):
    return round(rng.uniform(least, most), 2)


def _draw_work(rng, timeout, grace):
    """Return the seconds for which a target works, from 10 ms to beyond the grace."""
    longest = grace + OUTLASTING_SECONDS
    return rng.choice(
        (
            0.01,
            _draw_seconds(rng, 0.1, 1.0),
            _draw_seconds(rng, 0.5, 0.9 * timeout),
            _draw_seconds(rng, 0.5, longest),
            longest,
        )
    )


def _draw_callers(rng, gateways, answer_bytes):
    """Return one to three callers of each kind; fewer of large answers."""
    most = 1 if answer_bytes == ANSWER_BYTES[-1] else 3
    return tuple(
        CallerPlan(
            kind,
            rng.randrange(gateways),
            _draw_seconds(rng, 0.02, 0.3),
            _draw_seconds(rng, 0.05, 1.5),
        )
        for kind in CallerKind
        for _ in range(rng.randint(1, most))
    )


def _draw_series(rng):
    """Return the steps of a gateway: stops with what comes before and within them."""
    steps = [*_draw_before(rng), *_draw_stop(rng)]
    if rng.random() < 0.5:
        steps.append(Step(_draw_seconds(rng, 0.0, 0.3), Action.START))
        steps += [*_draw_before(rng), *_draw_stop(rng)]
    return tuple(steps)


def _draw_before(rng):
    steps = []
    if rng.random() < 0.15:
        steps += _draw_freeze(rng)
    if rng.random() < 0.5:
        steps.append(Step(_draw_seconds(rng, 0.05, 1.0), rng.choice(RELOADS)))
    return steps


def _draw_stop(rng):
    steps = [Step(_draw_seconds(rng, 0.3, 2.0), Action.TERMINATE)]
    for _ in range(rng.randint(0, 3)):
        if rng.random() < 0.1:
            steps += _draw_freeze(rng)
        else:
            action = rng.choice((Action.TERMINATE, Action.INTERRUPT, *RELOADS))
            steps.append(Step(_draw_seconds(rng, 0.05, 2.0), action))
    return steps


def _draw_freeze(rng):
    """Return the steps of a freeze, with another signal in some of them."""
    seconds = _draw_seconds(rng, 0.2, 1.0)
    freeze = Step(_draw_seconds(rng, 0.05, 1.0), Action.FREEZE)
    if rng.random() < 0.5:
        return [freeze, Step(seconds, Action.THAW)]
    part = round(seconds / 2, 2)
    signal = Step(part, rng.choice((Action.TERMINATE, *RELOADS)))
    return [freeze, signal, Step(round(seconds - part, 2), Action.THAW)]
