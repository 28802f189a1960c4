"""Compare the product's routing policy with simpler ones.

Uses the simulation of ``banyanshore simulate``. Bounds: the worth of each baseline in
each case with bursts or faults, and nearly full worth in the calm case.
"""

from banyanshore.simulation.plan import POLICIES, BurstPlan, FaultPlan, KindPlan, Plan
from banyanshore.simulation.report import count
from banyanshore.simulation.run import Simulation
from benchmarks.report import Report

SEEDS = range(3)
SECONDS = 20.0
PRODUCT_POLICY = "board"
KINDS = (
    KindPlan(
        "digest", 20.0, 1000.0, objective_seconds=0.506, worth=2.4, late_worth=0.6
    ),
    KindPlan("query", 28.0, 450.0, objective_seconds=0.405, worth=1.5, late_worth=0.37),
)
CASES = {
    "calm": {},
    "twice the load for 5 s": {"bursts": (BurstPlan(8.0, 5.0, 2.0),)},
    "four times the load for 2 s": {"bursts": (BurstPlan(8.0, 2.0, 4.0),)},
    "one kind three times for 5 s": {"bursts": (BurstPlan(8.0, 5.0, 3.0, "digest"),)},
    "three targets end for 5 s": {"faults": (FaultPlan(8.0, 5.0, 3),)},
    "three targets four times slower for 8 s": {
        "faults": (FaultPlan(8.0, 8.0, 3, "slow", 4.0),)
    },
}
HEADS = ("case", "policy", "asked", "in time", "late", "lost", "worth", "p95 s")


def run():
    """Return the report."""
    report = Report("policies")
    for case, options in CASES.items():
        rows = {policy: add_case(report, case, policy, options) for policy in POLICIES}
        board_worth = rows.pop(PRODUCT_POLICY).worth
        if case == "calm":
            report.add_bound("calm: worth", board_worth, 0.97, "whole service", True)
            continue
        for policy, figures in rows.items():
            name = f"{case}: worth beside {policy}"
            report.add_bound(name, board_worth, figures.worth, "that policy", True)
    return report


def add_case(report, case, policy, options):
    """Run one case with one policy for each seed; return the figures of all runs."""
    arrivals = []
    for seed in SEEDS:
        plan = Plan(KINDS, SECONDS, seed, **options)
        arrivals += Simulation(plan, policy).run()
    figures = count(arrivals)
    report.add_row(
        "Cases",
        HEADS,
        case,
        policy,
        figures.asked,
        figures.in_time,
        figures.late,
        figures.lost,
        figures.worth,
        figures.first_p95,
    )
    return figures
