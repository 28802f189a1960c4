"""Load plans for tests that run the product's own simulation."""

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
