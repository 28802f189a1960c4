"""Compare the product's routing with simple policies on cold and failing targets.

Bounds from the brief: a cold target gets no more than its capacity; fresh targets are
never overloaded. The bound on retries is the budget that operators set, a tenth.
"""

from benchmarks.report import Report
from benchmarks.service_model import (
    SERVICE_SECONDS,
    WARM_CAPACITY,
    CorePolicy,
    LeastReportedPolicy,
    RandomPolicy,
    ServiceModel,
)

TARGETS = 16
SEEDS = range(3)
CAPACITY = TARGETS * WARM_CAPACITY / SERVICE_SECONDS
HEADS = (
    "case",
    "policy",
    "sent",
    "answered",
    "share of what all targets bear",
    "refused as not run",
    "failed",
    "work above what is borne",
    "dispatches a request",
)
POLICIES = {
    "random": RandomPolicy,
    "least reported": LeastReportedPolicy,
    "banyanshore": CorePolicy,
}


def burst_rate(now):
    """Return the request rate: a tenth of all capacity, then all, then a tenth."""
    return CAPACITY * (1.0 if 10 <= now < 30 else 0.1)


def steady_rate(now):
    """Return the request rate: half of all targets' capacity."""
    return CAPACITY * 0.5


def run():
    """Return the report."""
    report = Report("bursts")
    cases = {
        "cold start, burst of ten times": (burst_rate, {}),
        "warm, half of the targets fail": (steady_rate, {"warm": True, "failing": 0.5}),
        "warm, no fault": (steady_rate, {"warm": True}),
    }
    for case, (rate_at, options) in cases.items():
        for name, policy in POLICIES.items():
            add_case(report, case, name, policy, rate_at, options)
    return report


def add_case(report, case, name, policy, rate_at, options):
    """Run one case with one policy for each seed and add the totals."""
    seconds = 40.0
    runs = [
        ServiceModel(policy, TARGETS, rate_at, seconds, seed=seed, **options).run()
        for seed in SEEDS
    ]
    sent = sum(run.sent for run in runs)
    answered = sum(run.answered for run in runs)
    overload = sum(run.overload for run in runs)
    dispatched = sum(run.dispatched for run in runs)
    # An upper limit: during a cold start the targets have less capacity.
    capacity = CAPACITY * seconds * len(SEEDS)
    report.add_row(
        "Cases",
        HEADS,
        case,
        name,
        sent,
        answered,
        min(1.0, answered / capacity),
        sum(run.refused for run in runs),
        sum(run.failed for run in runs),
        overload,
        dispatched / sent,
    )
    if name == "banyanshore":
        report.add_bound(
            f"{case}: work above what is borne", overload, 0, "no more than it can bear"
        )
        report.add_bound(
            f"{case}: dispatches a request",
            dispatched / sent,
            1.15,
            "budget of a tenth",
        )
    if name == "banyanshore" and "fault" in case:
        share = answered / sent
        report.add_bound(f"{case}: answered", share, 0.999, "whole service", True)
