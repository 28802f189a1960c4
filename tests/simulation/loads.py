"""Loads that decisions are replayed under, by the product's own simulation."""

from banyanshore.simulation.plan import BurstPlan, KindPlan, Plan
from banyanshore.simulation.run import Simulation

OBJECTIVE_SECONDS = 0.405
# A notice that never arrives in time.
NEVER = 1e6


def make_plan(rate, seconds, **options):
    """Return a plan with prompts and answers that differ tenfold in length."""
    kind = KindPlan(
        "query", rate, prompt_tokens=705, objective_seconds=OBJECTIVE_SECONDS
    )
    return Plan((kind,), seconds, **options)


def replay(plan, policy="board"):
    """Return the arrivals of a plan with their outcomes."""
    return Simulation(plan, policy).run()


def late_share(arrivals):
    """Return the part of the arrivals whose first event missed the objective."""
    return sum(not row.is_in_time for row in arrivals) / len(arrivals)


def burst(factor, seconds, at=4.0):
    return (BurstPlan(at, seconds, factor),)
