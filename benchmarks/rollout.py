"""Compare transfers of a new version over modelled links with baselines.

Bounds from the brief: the origin's link carries about four copies in the time allowed
and each machine's link about two, so a transfer has to end within the time of two
copies on a duplex link. The project aims at 1.1 origin copies and 1.05 copies into a
region.
"""

import os
import time

from benchmarks.baselines import all_from_origin, binary_tree, lower_bound
from benchmarks.link_model import Faults, LinkModel
from benchmarks.report import Report

CHUNKS = 128
SIZES = (8, 60, 200, 600, 2400)
FAULTS = Faults(dying=0.05, stalled=0.05, corrupt=0.01)
# The largest size takes more than twenty minutes; a quick run omits it.
IS_QUICK_RUN = bool(os.environ.get("BANYANSHORE_QUICK"))
HEADS = (
    "machines",
    "links",
    "faults",
    "time, copies",
    "lower bound",
    "ratio",
    "origin copies",
    "into a region",
    "busiest in plus out",
    "control bytes a machine",
    "whole",
    "run s",
)
BASELINE_HEADS = ("machines", "way", "time, copies", "origin copies", "busiest")


def run():
    """Return the report."""
    report = Report("rollout")
    sizes = [size for size in SIZES if not IS_QUICK_RUN or size <= 600]
    for count in sizes:
        for shared in (False, True):
            add_run(report, count, shared, Faults())
        add_run(report, count, False, FAULTS)
        add_baselines(report, count)
        # Save after each size, so that an interrupted run keeps its results.
        report.save()
    return report


def add_run(report, count, shared, faults):
    """Run one transfer and add its figures and bounds."""
    began_at = time.monotonic()
    outcome = LinkModel(count, CHUNKS, shared, faults).run()
    bound = lower_bound(count, CHUNKS, shared)
    faulty = faults != Faults()
    name = f"{count} machines, {'shared' if shared else 'duplex'}"
    name += ", faults" if faulty else ""
    report.add_row(
        "Transfers",
        HEADS,
        count,
        "shared" if shared else "duplex",
        "yes" if faulty else "no",
        outcome.copies_time,
        bound,
        outcome.copies_time / bound,
        outcome.origin_copies,
        outcome.region_copies,
        outcome.busiest,
        outcome.control_bytes,
        f"{outcome.completed}/{outcome.living}",
        time.monotonic() - began_at,
    )
    completed_share = outcome.completed / outcome.living
    report.add_bound(
        f"{name}: whole", completed_share, 1.0, "every instance", at_least=True
    )
    report.add_bound(
        f"{name}: origin copies", outcome.origin_copies, 4.0, "about four copies"
    )
    if not shared and not faulty:
        report.add_bound(
            f"{name}: time", outcome.copies_time, 2.0, "a machine's two copies"
        )
        report.add_bound(f"{name}: origin aim", outcome.origin_copies, 1.1, "aim 1.1")
        report.add_bound(
            f"{name}: region link aim", outcome.region_copies, 1.05, "aim 1.05"
        )
    if not faulty:
        report.add_bound(
            f"{name}: busiest", outcome.busiest, 2.2, "about two, 10% allowed"
        )


def add_baselines(report, count):
    """Add the figures of the baselines."""
    slots, copies = all_from_origin(count, CHUNKS)
    report.add_row(
        "Baselines",
        BASELINE_HEADS,
        count,
        "all from the origin",
        slots / CHUNKS,
        copies,
        1.0,
    )
    for shared in (False, True):
        slots, copies, busiest = binary_tree(count, CHUNKS, shared)
        way = f"two-way tree, {'shared' if shared else 'duplex'}"
        report.add_row(
            "Baselines", BASELINE_HEADS, count, way, slots / CHUNKS, copies, busiest
        )
