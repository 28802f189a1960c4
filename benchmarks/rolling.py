"""Measure rollouts under load with real processes: their time and their failures.

Today's size of Mapas del Hogar: three data centres, eight model targets, eight
entries. The bounds are the users': no request is cut off or lost, no target gets more
than its capacity, the origin sends the weights once.
"""

import threading
import time

import anyio

from benchmarks.report import Report
from benchmarks.service import (
    DATA_CENTRES,
    ENTRIES,
    TARGETS,
    add_phase,
    start_deployment,
)
from tests.deployment import Deployment, wait_for
from tests.load import Load

TITLE = "Requests sent while a version is rolled out"
# Requests a second of each run; the last is about 60% of seven targets' capacity.
RATES = (0.5, 15.0, 60.0)
WARM_UP_SECONDS = 12.0
LONGEST_ROLLOUT_SECONDS = 180.0


def run():
    """Return the report."""
    report = Report("rolling")
    options = {"trace_file": ""}
    with Deployment(DATA_CENTRES, ENTRIES, {0, 1, 2}, **options) as deployment:
        start_deployment(deployment)
        for number, rate in enumerate(RATES):
            measure(report, deployment, rate, f"v{number + 2}")
        crashes = sum(
            deployment.fake_stats(f"assistant-{number}-target")["falls"]
            for number in range(TARGETS)
        )
        report.add_bound("targets that fell over", crashes, 0, "never overloaded")
    return report


def measure(report, deployment, rate, version):
    """Roll out a version at one rate of requests."""
    load = Load([deployment.url(name) for name in deployment.http_port], rate)
    thread = threading.Thread(target=lambda: anyio.run(load.run))
    thread.start()
    time.sleep(WARM_UP_SECONDS)
    began_at = time.monotonic()
    row = deployment.model_row("assistant", version)
    deployment.patch({"models": {"assistant": row}})
    wait_for(lambda: all_serve(deployment, version), LONGEST_ROLLOUT_SECONDS, 0.1)
    ended_at = time.monotonic()
    load.stopped = True
    thread.join()
    heads = ["requests a second", "seconds until all serve"]
    report.add_row("Time", heads, rate, ended_at - began_at)
    add_phase(report, f"{rate:g} a second", began_at, ended_at, load.results, TITLE)
    unanswered = sum(bool(result.problem) for result in load.results)
    report.add_bound(f"not answered at {rate:g}", unanswered, 0, "answered whole")


def all_serve(deployment, version):
    """Return whether every target serves a version."""
    return all(
        deployment.fake_stats(f"assistant-{number}-target")["version"] == version
        for number in range(TARGETS)
    )
