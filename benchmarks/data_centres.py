"""Measure the cost of an idle entry by the number of data centres and of siblings.

Runs only entries, as processes: first two in each of several data centres, then several
in one. The slopes are the cost for an entry of each further data centre and sibling.
"""

import statistics
import time

from benchmarks.report import Report, fit_slope
from benchmarks.usage import rate_between, read_usage
from tests.deployment import Deployment

DATA_CENTRE_COUNTS = (2, 4, 8, 11)
SIBLING_COUNTS = (3, 6, 12, 18)
VOTERS = {0, 1, 2}
SETTLE_SECONDS = 4.0
SECONDS = 12.0
FIGURES = ("core_percent", "memory_bytes", "sent", "received")


def run():
    """Return the report."""
    report = Report("data_centres")
    by_count = {}
    for count in DATA_CENTRE_COUNTS:
        names = [f"dc-{number:02}" for number in range(count)]
        by_count[count] = measure(names, names + names)
        add_row(report, "Two entries in each data centre", count, by_count[count])
    add_slopes(report, "Slopes in data centres", by_count)
    by_count = {}
    for count in SIBLING_COUNTS:
        by_count[count] = measure(["dc-00"], ["dc-00"] * count)
        add_row(report, "All entries in one data centre", count, by_count[count])
    add_slopes(report, "Slopes in entries of one data centre", by_count)
    return report


def measure(data_centres, entries):
    """Return the median rates of the entries that aren't voters."""
    regions = {name: f"region-{n % 3}" for n, name in enumerate(data_centres)}
    with Deployment(regions, entries, VOTERS, trace_file="") as deployment:
        deployment.start_entries()
        deployment.wait_for_leader()
        deployment.patch({"services": {"orders": {"kind": "plain"}}})
        time.sleep(SETTLE_SECONDS)
        names = list(deployment.http_port)[len(VOTERS) :] or list(deployment.http_port)
        before = [read_entry_usage(deployment, name) for name in names]
        time.sleep(SECONDS)
        after = [read_entry_usage(deployment, name) for name in names]
    rates = [rate_between(one, two) for one, two in zip(before, after, strict=True)]
    return [statistics.median(getattr(r, figure) for r in rates) for figure in FIGURES]


def read_entry_usage(deployment, name):
    """Return the :class:`~benchmarks.usage.Usage` of one entry up to now."""
    text = deployment.client.get(f"{deployment.url(name)}/metrics").text
    return read_usage(deployment.processes[name].pid, text)


def add_row(report, title, count, figures):
    """Add the figures of one size."""
    core, memory, sent, received = figures
    heads = ["size", "% of a core", "private MB", "sent B/s", "received B/s"]
    report.add_row(title, heads, count, core, memory / 1e6, sent, received)


def add_slopes(report, title, by_count):
    """Fit each figure over the sizes."""
    heads = ["figure", "slope", "standard error", "at size 0"]
    for position, figure in enumerate(FIGURES):
        line = fit_slope(list(by_count), [row[position] for row in by_count.values()])
        report.add_row(title, heads, figure, line.slope, line.spread, line.intercept)
