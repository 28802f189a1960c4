"""Load plans for tests that run the product's own simulation."""

from collections import Counter

from banyanshore.simulation.plan import BurstPlan, KindPlan, Plan
from banyanshore.simulation.run import Simulation

OBJECTIVE_SECONDS = 0.405
# Seconds until a notice that never arrives in time.
NEVER = 1e6


def make_plan(rate, seconds, **options):
    """Return a plan with prompts and answers whose lengths differ tenfold."""
    kind = KindPlan(
        "query", rate, prompt_tokens=705, objective_seconds=OBJECTIVE_SECONDS
    )
    return Plan((kind,), seconds, **options)


def replay(plan, policy="board"):
    """Simulate a plan; return its arrivals with their outcomes."""
    return Simulation(plan, policy).run()


def late_share(arrivals):
    """Return the fraction of arrivals whose first event missed the objective."""
    return sum(not row.is_in_time for row in arrivals) / len(arrivals)


def burst(factor, seconds, at=4.0):
    return (BurstPlan(at, seconds, factor),)


def busiest_over_mean(arrivals, targets, windows):
    """Return the load of the busiest target over the mean load, for each window.

    The load of a target is the mean number of its requests in a window of a second.
    Refused callers must not return, so that requests are placed as they arrive.

    :param targets: number of targets.
    :param windows: start times of the windows in seconds.
    """
    placed = [row for row in arrivals if row.completed_at is not None]
    ratios = []
    for start in windows:
        seconds_by_target = Counter()
        for row in placed:
            begin = max(start, row.arrived_at)
            end = min(start + 1, row.completed_at)
            seconds_by_target[row.target] += max(0.0, end - begin)
        mean = sum(seconds_by_target.values()) / targets
        ratios.append(max(seconds_by_target.values()) / mean)
    return ratios
