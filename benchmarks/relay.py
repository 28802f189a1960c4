"""Measure the overhead of an entry and an agent by the rate of requests.

One run sends the same load directly to the target and through an entry and an agent, so
that differences can be bounded. The users' bounds are 1.1 s to the first token and
39 ms between tokens; the target itself takes 50 ms and 10 ms.
"""

from contextlib import contextmanager

import anyio

from benchmarks.report import Report, fit_slope
from benchmarks.usage import rate_between, read_usage
from tests.deployment import Deployment, initial_patch
from tests.load import Load, percentile

RATES = (10.0, 40.0, 80.0, 120.0, 160.0)
# Rates that are also run without batching of tokens, as a baseline.
BASELINE_RATES = (40.0, 80.0)
# Lengths of answers at a steady rate, to separate the cost of requests from that of
# tokens.
TOKEN_COUNTS = (5, 20, 80, 200)
TOKEN_RATE = 8.0
SECONDS = 6.0
TOKENS = 20
TOKEN_SLOPES = "Processor time, by slope in the length of answers"
HEADS = (
    "requests a second",
    "way",
    "answered",
    "first token p50 ms",
    "first token p95 ms",
    "between tokens p95 ms",
    "entry % of a core",
    "agent % of a core",
)


def run():
    """Return the report."""
    report = Report("relay")
    with start_deployment(gather_seconds=0.0) as deployment:
        for rate in BASELINE_RATES:
            measure(deployment, report, rate, "Baseline: each token written by itself")
    with start_deployment() as deployment:
        rows = [measure(deployment, report, rate) for rate in RATES]
        add_token_slopes(report, deployment)
    add_slopes(report, rows)
    return report


@contextmanager
def start_deployment(**transport):
    """Run one entry and one agent with the given transport settings."""
    data_centres = {"antwerpen-a": "north"}
    options = {"trace_file": "", "transport": transport}
    with Deployment(data_centres, ["antwerpen-a"], {0}, **options) as deployment:
        deployment.start_origin()
        deployment.start_entries()
        flags = ["--capacity=1000", "--cold_capacity=1000", "--cold_factor=1"]
        deployment.start_agent(
            "assistant-0",
            "antwerpen-a",
            "assistant",
            flags=flags,
            trace_file="",
            admission={"cold_limit": 900, "full_limit": 1000, "cold_ttft_factor": 50.0},
            transport=transport,
        )
        deployment.wait_for_leader()
        deployment.patch(initial_patch(deployment))
        deployment.wait_for_targets("assistant", 1)
        yield deployment


def measure(deployment, report, rate, title="Both ways"):
    """Send the load both ways; return the rate and the processor use of both roles."""
    direct_results = send(deployment.fake_url("assistant-0-target"), rate)
    add_row(report, title, rate, "direct", direct_results, 0.0, 0.0)
    before = read_usages(deployment)
    relayed_results = send(deployment.url("entry-1"), rate)
    after = read_usages(deployment)
    core_percents = [
        rate_between(one, two).core_percent
        for one, two in zip(before, after, strict=True)
    ]
    add_row(report, title, rate, "entry and agent", relayed_results, *core_percents)
    added = first_token_percentile(relayed_results, 0.95) - first_token_percentile(
        direct_results, 0.95
    )
    token_interval = token_interval_percentile(relayed_results, 0.95)
    name = f"at {rate:g} requests a second"
    if rate <= RATES[2] and title == "Both ways":
        answered = sum(not r.problem for r in relayed_results) / len(relayed_results)
        report.add_bound(f"{name}: answered", answered, 1.0, "answered whole", True)
        report.add_bound(f"{name}: first token added, s", added, 0.55, "half of 1.1 s")
        report.add_bound(f"{name}: between tokens, s", token_interval, 0.039, "39 ms")
    return rate, core_percents


def read_usages(deployment):
    """Return the :class:`~benchmarks.usage.Usage` of the entry and of the agent."""
    names = ("entry-1", "assistant-0")
    return [read_usage(deployment.processes[name].pid) for name in names]


def send(url, rate, tokens=TOKENS):
    """Send a steady load and return its results."""
    load = Load([url], rate, max_tokens=tokens)
    anyio.run(load.run, SECONDS)
    return load.results


def first_token_percentile(results, share):
    """Return a percentile of the time to the first token."""
    return percentile([r.first_seconds for r in results if not r.problem], share)


def token_interval_percentile(results, share):
    """Return a percentile of the mean time between the tokens of each answer."""
    gaps = [
        (r.seconds - r.first_seconds) / (TOKENS - 1) for r in results if not r.problem
    ]
    return percentile(gaps, share)


def add_row(report, title, rate, way, results, entry, agent):
    """Add the figures of one path at one rate."""
    report.add_row(
        title,
        HEADS,
        rate,
        way,
        f"{sum(not r.problem for r in results)}/{len(results)}",
        1000 * first_token_percentile(results, 0.5),
        1000 * first_token_percentile(results, 0.95),
        1000 * token_interval_percentile(results, 0.95),
        entry,
        agent,
    )


def add_slopes(report, rows):
    """Fit processor time per request and per 1,000 tokens over the linear range."""
    linear = rows[:3]
    rates = [rate for rate, _ in linear]
    heads = ["role", "ms a request", "standard error", "ms per 1,000 tokens"]
    for position, role in enumerate(("entry", "agent")):
        line = fit_slope(
            rates, [core_percents[position] for _, core_percents in linear]
        )
        # One percent of a core is 10 ms a second.
        cost = 10 * line.slope
        report.add_row(
            "Processor time, by slope",
            heads,
            role,
            cost,
            10 * line.spread,
            cost * 1000 / TOKENS,
        )


def add_token_slopes(report, deployment):
    """Fit processor time per request and per token over the length of answers."""
    costs = []
    for tokens in TOKEN_COUNTS:
        before = read_usages(deployment)
        results = send(deployment.url("entry-1"), TOKEN_RATE, tokens)
        after = read_usages(deployment)
        costs.append(
            [
                1000 * (two.cpu_seconds - one.cpu_seconds) / len(results)
                for one, two in zip(before, after, strict=True)
            ]
        )
        heads = ["tokens a request", "entry ms a request", "agent ms a request"]
        report.add_row("Length of answers, 8 a second", heads, tokens, *costs[-1])
    heads = ["role", "ms a request", "ms per 1,000 tokens", "standard error"]
    for position, role in enumerate(("entry", "agent")):
        line = fit_slope(TOKEN_COUNTS, [cost[position] for cost in costs])
        report.add_row(
            TOKEN_SLOPES,
            heads,
            role,
            line.intercept,
            1000 * line.slope,
            1000 * line.spread,
        )
