"""Measure the time until a patch is in force, and the cost of control for each role.

Entries and agents run as processes; one fake plain service is the target of all agents.
The bounds are the users': in force everywhere within 4 s; 1.4% of a core, 32 MB and
25 KB a second for each node.
"""

import statistics
import time
from dataclasses import dataclass

from benchmarks.report import Report, fit_slope
from benchmarks.usage import rate_between, read_usage
from tests.deployment import Deployment, wait_for
from tests.ports import free_ports

DATA_CENTRES = {"antwerpen-a": "north", "liege-a": "south", "brussel-a": "centre"}
ENTRIES = [*DATA_CENTRES, *DATA_CENTRES, "antwerpen-a", "liege-a"]
AGENT_COUNTS = (3, 12, 24, 48)
CHANGE_RATES = (0.0, 1.0, 4.0, 10.0)
IDLE_SECONDS = 15.0
KILLS = 8
IN_FORCE_SECONDS = 4.0
CORE_PERCENT = 1.4
MEMORY_BYTES = 32e6
NETWORK_BYTES = 25e3


@dataclass(frozen=True)
class InForceTimes:
    """Seconds until a patch is in force at all entries.

    :param from_submission: since it was first sent; a patch that isn't accepted is sent
        again every 0.1 s.
    :param from_acceptance: since it was accepted.
    """

    from_submission: float
    from_acceptance: float


class ControlBench:
    """A deployment to which agents are added step by step."""

    def __init__(self, deployment, report):
        self.deployment = deployment
        self.report = report
        self.agents = []
        self.metrics_url = {}

    def start(self):
        """Start the entries and the fake target of all agents."""
        self.deployment.start_entries()
        self.deployment.wait_for_leader()
        self.deployment.patch({"services": {"orders": {"kind": "plain"}}})
        self.deployment.start_fake("shared-target", "plain")

    def start_agents(self, count):
        """Start agents, spread over the data centres, until there are ``count``."""
        while len(self.agents) < count:
            number = len(self.agents)
            name = f"agent-{number}"
            data_centre = list(DATA_CENTRES)[number % len(DATA_CENTRES)]
            (port,) = free_ports(1)
            # All agents share one fake target.
            target = f"{name}-target"
            self.deployment.processes[target] = self.deployment.processes[
                "shared-target"
            ]
            ports = self.deployment.fake_port_by_name
            ports[target] = ports["shared-target"]
            self.deployment.start_agent(
                name,
                data_centre,
                "orders",
                "plain",
                metrics_bind=f"127.0.0.1:{port}",
                trace_file="",
            )
            self.metrics_url[name] = f"http://127.0.0.1:{port}/metrics"
            self.agents.append(name)
        self.deployment.wait_for_targets("orders", count, 60)

    def usage(self, name):
        """Return the :class:`~benchmarks.usage.Usage` of one process up to now."""
        url = self.metrics_url.get(name) or f"{self.deployment.url(name)}/metrics"
        text = self.deployment.client.get(url).text
        return read_usage(self.deployment.processes[name].pid, text)

    def measure(self, seconds, action=None):
        """Return the rates of all entries and of up to 6 agents over some seconds."""
        names = [*self.deployment.http_port, *self.agents[:6]]
        before = {name: self.usage(name) for name in names}
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if action:
                action()
            else:
                time.sleep(0.1)
        return {name: rate_between(before[name], self.usage(name)) for name in names}

    def time_in_force(self, count, entry="entry-4"):
        """Apply patches one after another; return their :class:`InForceTimes`."""
        times = []
        for number in range(count):
            patch = {"workspaces": {"bench": {"priority": number % 10}}}
            submitted_at = time.monotonic()
            version = self.deployment.patch(patch, entry)
            accepted_at = time.monotonic()
            wait_for(lambda v=version: self.is_in_force_everywhere(v), 20, 0.005)
            now = time.monotonic()
            times.append(InForceTimes(now - submitted_at, now - accepted_at))
        return times

    def is_in_force_everywhere(self, version):
        """Return whether a version is in force at every running entry."""
        return all(
            self.deployment.status(name)["state"]["version"] >= version
            for name in self.deployment.http_port
            if self.deployment.processes[name].process.poll() is None
        )


def worst(rates, names, attribute):
    """Return the highest value of a figure among some processes."""
    return max(getattr(rates[name], attribute) for name in names)


def run():
    """Return the report."""
    report = Report("control")
    options = {"trace_file": ""}
    with Deployment(DATA_CENTRES, ENTRIES, {0, 1, 2}, **options) as deployment:
        bench = ControlBench(deployment, report)
        bench.start()
        by_count = {}
        for count in AGENT_COUNTS:
            bench.start_agents(count)
            time.sleep(2)
            by_count[count] = bench.measure(IDLE_SECONDS)
            add_rates(report, "Idle, by agents", count, by_count[count], bench)
        add_slopes(report, "Slopes in agents of the deployment", by_count, bench)
        by_rate = measure_changes(report, bench)
        add_slopes(report, "Slopes in changes a second", by_rate, bench)
        add_in_force(report, bench)
        last = by_count[AGENT_COUNTS[-1]]
        agents = [name for name in last if name.startswith("agent")]
        for role, names in (("entry", deployment.http_port), ("agent", agents)):
            add_bounds(report, role, last, names)
    return report


def roles(rates, bench):
    """Return the names of the processes of each role."""
    leader = bench.deployment.status("entry-4")["leader"]
    voters = [n for n in ("entry-1", "entry-2", "entry-3") if n != leader]
    entries = [n for n in rates if n.startswith("entry") and n not in (*voters, leader)]
    agents = [n for n in rates if n.startswith("agent")]
    return {"leader": [leader], "voter": voters, "entry": entries, "agent": agents}


def add_rates(report, title, size, rates, bench):
    """Add the highest rates of each role to a table."""
    heads = ["size", "role", "% of a core", "private MB", "sent B/s", "received B/s"]
    for role, names in roles(rates, bench).items():
        report.add_row(
            title,
            heads,
            size,
            role,
            worst(rates, names, "core_percent"),
            worst(rates, names, "memory_bytes") / 1e6,
            worst(rates, names, "sent"),
            worst(rates, names, "received"),
        )


def add_slopes(report, title, rates_by_size, bench):
    """Fit the usage of each role over the sizes."""
    sizes = list(rates_by_size)
    heads = ["role", "figure", "slope", "standard error", "at size 0"]
    for role in ("leader", "voter", "entry", "agent"):
        for attribute in ("core_percent", "memory_bytes", "sent", "received"):
            ys = [
                statistics.fmean(
                    getattr(rates[name], attribute)
                    for name in roles(rates, bench)[role]
                )
                for rates in rates_by_size.values()
            ]
            line = fit_slope(sizes, ys)
            report.add_row(
                title, heads, role, attribute, line.slope, line.spread, line.intercept
            )


def measure_changes(report, bench):
    """Measure the usage at several rates of changes."""
    by_rate = {}
    for rate in CHANGE_RATES:
        number = 0

        def change(rate=rate):
            nonlocal number
            began_at = time.monotonic()
            if rate:
                patch = {"workspaces": {"bench": {"priority": number % 10}}}
                bench.deployment.patch(patch, "entry-4")
                number += 1
            interval = 1 / rate if rate else 0.5
            time.sleep(max(0.0, interval - (time.monotonic() - began_at)))

        by_rate[rate] = bench.measure(8.0, change)
        add_rates(report, "By changes a second", rate, by_rate[rate], bench)
    return by_rate


def add_in_force(report, bench):
    """Measure the time until in force, healthy and just after the leader is killed."""
    add_times(report, "healthy", bench.time_in_force(40))
    killed = []
    for _ in range(KILLS):
        leader = bench.deployment.status("entry-4")["leader"]
        bench.deployment.processes[leader].kill()
        killed += bench.time_in_force(1)
        bench.deployment.processes[leader].start()
        bench.deployment.wait_in_force(1, 20, "entry-4")
        time.sleep(3)
    add_times(report, "leader killed just before", killed)


def add_times(report, case, times):
    """Add the times of one case, with the users' bound."""
    heads = ["case", "since", "patches", "median s", "worst s"]
    for since in ("from_acceptance", "from_submission"):
        seconds = [getattr(item, since) for item in times]
        report.add_row(
            "Until in force at 8 entries",
            heads,
            case,
            since.removeprefix("from_"),
            len(seconds),
            statistics.median(seconds),
            max(seconds),
        )
        report.add_bound(
            f"in force, {case}, {since}, worst s",
            max(seconds),
            IN_FORCE_SECONDS,
            "in force everywhere within 4 s",
        )


def add_bounds(report, role, rates, names):
    """Add the figures of one role at the largest size, with the users' bounds."""
    core = worst(rates, names, "core_percent")
    memory = worst(rates, names, "memory_bytes")
    sent = worst(rates, names, "sent")
    received = worst(rates, names, "received")
    report.add_bound(f"{role}, % of a core", core, CORE_PERCENT, "1.4% of a core")
    report.add_bound(f"{role}, private bytes", memory, MEMORY_BYTES, "32 MB")
    report.add_bound(
        f"{role}, bytes a second", sent + received, NETWORK_BYTES, "25 KB a second"
    )
