"""Requests that cross a thin link between regions while new weights cross it too.

Two regions of today's size with one link of 10 Mbit/s each way, shared by all traffic.
One region is out of service, so that its callers are served across the link. A version
is rolled out meanwhile: once by transfers that take what they can get, once by ones
that yield.
"""

import threading
import time
from dataclasses import dataclass

import anyio

from benchmarks.report import Report
from tests.deployment import Deployment, initial_patch, wait_for
from tests.load import Load, percentile
from tests.network import Network

REGION_BY_DATA_CENTRE = {"sur-a": "sur", "norte-a": "norte"}
ENTRIES = ["sur-a", "norte-a", "sur-a", "norte-a"]
TARGETS = ["sur-a", "norte-a", "sur-a", "norte-a"]
LINK_BYTES_PER_SECOND = 1_250_000
# Buffer of a router, as the time to send it over the link.
QUEUE_SECONDS = 0.5
WEIGHTS_BYTES = 24_000_000
REQUESTS_PER_SECOND = 10.0
WARM_UP_SECONDS = 12.0
QUIET_SECONDS = 8.0
LONGEST_TRANSFER_SECONDS = 240.0
FIRST_TOKEN_SECONDS = 1.1
IN_FORCE_SECONDS = 4.0


@dataclass(frozen=True)
class Phase:
    """The measurements of one phase.

    :param in_force: seconds until a patch was in force everywhere.
    """

    name: str
    results: list
    seconds: float
    in_force: float


class ThinLinkRun:
    """A deployment of two regions that share a thin link.

    :param yield_delay: the setting ``weights.yield_delay_seconds`` of all agents.
    """

    def __init__(self, yield_delay):
        self.network = Network()
        self.deployment = Deployment(
            REGION_BY_DATA_CENTRE,
            ENTRIES,
            {0, 1, 2},
            weights_size=WEIGHTS_BYTES,
            network=self.network,
            agent_options={
                "trace_file": "",
                "weights": {"yield_delay_seconds": yield_delay},
            },
            trace_file="",
        )

    def run(self):
        """Return the :class:`Phase` without a rollout and the one with it."""
        with self.deployment:
            self.start()
            load = Load(self.caller_urls(), REQUESTS_PER_SECOND)
            thread = threading.Thread(target=lambda: anyio.run(load.run))
            thread.start()
            time.sleep(WARM_UP_SECONDS)
            quiet = self.measure("quiet", load, lambda: time.sleep(QUIET_SECONDS))
            rollout = self.measure("rollout", load, self.transfer)
            load.stopped = True
            thread.join()
        return quiet, rollout

    def start(self):
        """Start all processes; take the callers' data centre out of service."""
        deployment = self.deployment
        regions = {row["instance"]: row["region"] for row in deployment.entry_rows} | {
            f"assistant-{number}": REGION_BY_DATA_CENTRE[name]
            for number, name in enumerate(TARGETS)
        }
        self.network.make_thin(regions, LINK_BYTES_PER_SECOND, QUEUE_SECONDS)
        deployment.start_origin()
        deployment.start_entries()
        for number, name in enumerate(TARGETS):
            deployment.start_agent(f"assistant-{number}", name, "assistant")
        deployment.wait_for_leader()
        deployment.patch(initial_patch(deployment))
        deployment.wait_for_targets("assistant", len(TARGETS), 180)
        deployment.patch({"data_centres": {"norte-a": {"in_service": False}}})

    def caller_urls(self):
        """Return the URLs of the entries in the data centre out of service."""
        return [
            self.deployment.url(row["instance"])
            for row in self.deployment.entry_rows
            if row["data_centre"] == "norte-a"
        ]

    def transfer(self):
        """Roll out a paused version and wait until all agents have its weights."""
        row = self.deployment.model_row("assistant", "v2")
        self.deployment.patch({"models": {"assistant": {**row, "paused": True}}})
        wait_for(self.all_have_weights, LONGEST_TRANSFER_SECONDS, 0.2)

    def all_have_weights(self):
        """Return whether version v2 is complete and verified at every agent."""
        rows = self.deployment.status()["targets"]
        rows += self.deployment.status("entry-2")["targets"]
        ready = {row["instance"] for row in rows if row["ready_version"] == "v2"}
        return len(ready) == len(TARGETS)

    def measure(self, name, load, action):
        """Run an action under load, apply a patch meanwhile, and return the phase."""
        began_at = time.monotonic()
        thread = threading.Thread(target=action)
        thread.start()
        time.sleep(QUIET_SECONDS / 4)
        patched_at = time.monotonic()
        patch = {"workspaces": {"w": {"priority": int(patched_at) % 9}}}
        version = self.deployment.patch(patch)
        self.deployment.wait_in_force(version, 60)
        in_force = time.monotonic() - patched_at
        thread.join()
        ended_at = time.monotonic()
        time.sleep(2.0)
        results = [r for r in load.results if began_at <= r.sent_at < ended_at]
        return Phase(name, results, ended_at - began_at, in_force)


def run():
    """Return the report."""
    report = Report("thin_link")
    report.notes.append(__doc__.strip())
    for name, yield_delay in (("takes all", 0.0), ("yields", 0.03)):
        quiet, rollout = ThinLinkRun(yield_delay).run()
        add_phase(report, name, quiet)
        add_phase(report, name, rollout)
        if yield_delay:
            add_bounds(report, rollout)
    return report


def add_phase(report, name, phase):
    """Add a row with the measurements of a phase."""
    first_token_seconds = [r.first_seconds for r in phase.results if not r.problem]
    heads = [
        "transfers", "phase", "seconds", "requests", "not answered",
        "first token p50 ms", "p95 ms", "p99 ms", "patch in force s",
    ]  # fmt: skip
    report.add_row(
        "Callers served across the link",
        heads,
        name,
        phase.name,
        phase.seconds,
        len(phase.results),
        sum(bool(r.problem) for r in phase.results),
        *(1000 * percentile(first_token_seconds, share) for share in (0.5, 0.95, 0.99)),
        phase.in_force,
    )


def add_bounds(report, phase):
    """Add the bounds that hold while a version is rolled out."""
    first_token_seconds = [r.first_seconds for r in phase.results if not r.problem]
    report.add_bound(
        "first token p95 beside a rollout, s",
        percentile(first_token_seconds, 0.95),
        FIRST_TOKEN_SECONDS,
        "1.1 s for 95 in 100",
    )
    unanswered = sum(bool(r.problem) for r in phase.results)
    report.add_bound("not answered beside a rollout", unanswered, 0, "answered whole")
    report.add_bound(
        "patch in force beside a rollout, s",
        phase.in_force,
        IN_FORCE_SECONDS,
        "in force everywhere within 4 s",
    )
