"""Measure the check of a declaration before it is sent, by the number of its routes.

The declaration in force has as many routes; a tenth of them differ.
"""

import json
import time

from banyanshore.management.declaration_files import DeclarationFile, make_document
from banyanshore.state.declaration_checks import CheckInput, check_effects
from banyanshore.state.declaration_diff import find_differences
from benchmarks.report import Report, fit_slope

ROUTE_COUNTS = (1_000, 3_000, 6_000)
SERVICES = 20
# Longest time in seconds that an operator waits for the check.
MAX_SECONDS = 5.0


def make_declaration(routes, first=0):
    """Return a declaration in the platform's format.

    :param first: number of its first route; others differ from those of another one.
    """
    services = [f"service-{number}" for number in range(SERVICES)]
    return {
        "version": 1,
        "routes": [
            {
                "name": f"r-{number}",
                "hostname": f"host-{number % 40}.example",
                "pathPrefix": f"/path/{number}/",
                "routeType": "streaming",
                "timeoutMs": 6000,
                "sloMs": 400,
                "backend": services[number % SERVICES],
            }
            for number in range(first, first + routes)
        ],
        "backends": [{"name": name, "healthPath": "/healthz"} for name in services],
        "limits": {},
    }


def measure(routes):
    """Return the seconds to decode, check and compare a declaration."""
    in_force, _ = _make(make_declaration(routes))
    document = make_declaration(routes, routes // 10)
    started_at = time.process_time()
    tables, findings = _make(document)
    findings += check_effects(CheckInput(tables))
    differences = find_differences(in_force, tables)
    seconds = time.process_time() - started_at
    if findings or len(differences) != 2 * (routes // 10):
        raise RuntimeError(f"{len(findings)} findings, {len(differences)} differences")
    return seconds


def _make(document):
    return make_document(DeclarationFile(json.dumps(document).encode(), {}, True), None)


def run():
    """Return the report."""
    report = Report("declaration_checks")
    seconds_by_count = {count: measure(count) for count in ROUTE_COUNTS}
    for count, seconds in seconds_by_count.items():
        report.add_row("Check and comparison", ["routes", "seconds"], count, seconds)
    thousands = [count / 1000 for count in ROUTE_COUNTS]
    line = fit_slope(thousands, list(seconds_by_count.values()))
    report.notes.append(f"{1000 * line.slope:.0f} ms for each thousand routes.")
    report.add_bound(
        f"seconds for {ROUTE_COUNTS[-1]} routes",
        seconds_by_count[ROUTE_COUNTS[-1]],
        MAX_SECONDS,
        "thousands of routes within seconds",
    )
    return report
