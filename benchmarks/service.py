"""Measure requests while a data centre is taken out and restored under peak load.

Uses real processes at today's size of Mapas del Hogar: three data centres, eight model
targets, eight entries. The load is about 60% of the capacity of the two remaining data
centres.
"""

import threading
import time

import anyio

from benchmarks.report import Report
from tests.deployment import Deployment, initial_patch
from tests.load import Load, percentile

DATA_CENTRES = {"centro-a": "centre", "sur-a": "south", "norte-a": "north"}
ENTRIES = [*DATA_CENTRES, *DATA_CENTRES, "centro-a", "sur-a"]
TARGETS = 8
# An answer takes about 0.15 s at a target with a capacity of 8 at once.
RATE = 60.0
PHASE_SECONDS = 12.0
FIRST_TOKEN_SECONDS = 1.1
TITLE = f"{RATE:g} requests a second, sur-a leaves and returns"
HEADS = (
    "phase",
    "requests",
    "not answered",
    "first token p50 ms",
    "p95 ms",
    "p99 ms",
    "worst ms",
    "at the leaving one after 5 s",
)


def run():
    """Return the report."""
    report = Report("service")
    options = {"trace_file": ""}
    with Deployment(DATA_CENTRES, ENTRIES, {0, 1, 2}, **options) as deployment:
        start_deployment(deployment)
        load = Load([deployment.url(name) for name in deployment.http_port], RATE)
        thread = threading.Thread(target=lambda: anyio.run(load.run))
        thread.start()
        time.sleep(PHASE_SECONDS + 8)
        phases = []
        for name, in_service in (("before", None), ("out", False), ("back", True)):
            began_at = time.monotonic()
            if in_service is not None:
                row = {"data_centres": {"sur-a": {"in_service": in_service}}}
                deployment.patch(row)
            time.sleep(PHASE_SECONDS)
            phases.append((name, began_at, time.monotonic()))
        load.stopped = True
        thread.join()
        for name, began_at, ended_at in phases:
            add_phase(report, name, began_at, ended_at, load.results)
        crashes = sum(
            deployment.fake_stats(f"assistant-{number}-target")["falls"]
            for number in range(TARGETS)
        )
        report.add_bound(
            "targets that fell over", crashes, 0, "never more than it bears"
        )
    return report


def start_deployment(deployment):
    """Start the deployment and wait until it serves."""
    deployment.start_origin("--bytes_per_second=50000000")
    deployment.start_entries()
    for number in range(TARGETS):
        data_centre = list(DATA_CENTRES)[number % len(DATA_CENTRES)]
        name = f"assistant-{number}"
        deployment.start_agent(name, data_centre, "assistant", trace_file="")
    deployment.wait_for_leader()
    deployment.patch(initial_patch(deployment))
    deployment.wait_for_targets("assistant", TARGETS)


def add_phase(report, name, began_at, ended_at, results, title=TITLE):
    """Add the figures of the requests sent in one phase."""
    during = [r for r in results if began_at <= r.sent_at < ended_at]
    answered = [r for r in during if not r.problem]
    first_token_seconds = [r.first_seconds for r in answered]
    leaving = {f"assistant-{number}" for number in range(1, TARGETS, 3)}
    sent_to_leaving = [
        r for r in during if r.sent_at > began_at + 5 and r.target in leaving
    ]
    cut_off = [r for r in during if r.problem and r.outcome != "not-run"]
    report.add_row(
        title,
        HEADS,
        name,
        len(during),
        len(during) - len(answered),
        *(
            1000 * percentile(first_token_seconds, share)
            for share in (0.5, 0.95, 0.99, 1.0)
        ),
        len(sent_to_leaving),
    )
    if name == "out":
        report.add_bound(
            "out: new work after 5 s", len(sent_to_leaving), 0, "after a few seconds"
        )
    report.add_bound(f"{name}: cut off", len(cut_off), 0, "cuts off no request")
    p95 = percentile(first_token_seconds, 0.95)
    report.add_bound(
        f"{name}: first token p95, s", p95, FIRST_TOKEN_SECONDS, "1.1 s for 95 in 100"
    )
