"""Run a deployment with requests and operator commands, and print the results."""

import json
import subprocess
import sys
import threading
import time
from collections import Counter

import anyio

from tests.deployment import Deployment, initial_patch, wait_for
from tests.load import Load, summarize

DATA_CENTRES = {"antwerpen-a": "north", "liege-a": "south", "brussel-a": "centre"}
ENTRIES = [*DATA_CENTRES, *DATA_CENTRES, "antwerpen-a", "liege-a"]
VOTERS = {0, 1, 2}
MODEL_TARGETS = [*DATA_CENTRES, "antwerpen-a", "liege-a"]
ORDER_TARGETS = list(DATA_CENTRES)
WEIGHTS_BYTES = 4_000_000
REQUESTS_PER_SECOND = 15.0


class Demo:
    """The steps of the demo and the table of their results."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.rows = []
        self.load = Load(
            [deployment.url(row["instance"]) for row in deployment.entry_rows],
            REQUESTS_PER_SECOND,
            follows_retry_after=True,
        )
        self.thread = threading.Thread(target=lambda: anyio.run(self.load.run))

    def run(self):
        """Run all steps; return whether no request had an unexpected result."""
        self.start()
        self.thread.start()
        time.sleep(2)
        self.step("steady", lambda: time.sleep(4))
        self.step("patch in force everywhere", self.patch)
        self.step("orders", self.order)
        sent = self.deployment.fake_stats("origin")["sent"]
        self.step("rollout of v2", self.roll_out_version)
        copies = (self.deployment.fake_stats("origin")["sent"] - sent) / WEIGHTS_BYTES
        self.rows.append(("copies drawn from the origin", f"{copies:.2f}"))
        self.step("liege-a out", lambda: self.set_data_centre("out"))
        self.step("liege-a back in", lambda: self.set_data_centre("in"))
        self.load.stopped = True
        self.thread.join()
        self.rows.append(("all requests", summarize(self.load.results)))
        self.rows.append(("refused, and came back", str(self._count_refusals())))
        return not self.unexpected_results()

    def _count_refusals(self):
        reasons = Counter(refusal.problem for refusal in self.load.refusals)
        return ", ".join(f"{n} {reason}" for reason, n in reasons.items()) or "none"

    def unexpected_results(self):
        """Return the results that are neither complete nor refused as not run."""
        return [r for r in self.load.results if r.problem and not r.is_refusal]

    def start(self):
        """Start all processes and wait until requests can be served."""
        deployment = self.deployment
        began_at = time.monotonic()
        deployment.start_origin("--bytes_per_second=8000000")
        deployment.start_entries()
        for number, data_centre in enumerate(MODEL_TARGETS):
            deployment.start_agent(f"assistant-{number}", data_centre, "assistant")
        for number, data_centre in enumerate(ORDER_TARGETS):
            deployment.start_agent(f"orders-{number}", data_centre, "orders", "plain")
        deployment.wait_for_leader()
        self.rows.append(("leader elected after", _seconds(began_at)))
        version = deployment.patch(initial_patch(deployment))
        deployment.wait_in_force(version, 20)
        deployment.wait_for_targets("assistant", len(MODEL_TARGETS))
        deployment.wait_for_targets("orders", len(ORDER_TARGETS))
        self.rows.append(("serving v1 everywhere after", _seconds(began_at)))

    def step(self, name, action):
        """Run a step; add its duration and a summary of the requests sent during it."""
        print(f"... {name}", flush=True)
        began_at = time.monotonic()
        action()
        took = _seconds(began_at)
        time.sleep(0.5)
        during = [r for r in self.load.results if r.sent_at >= began_at]
        self.rows.append((name, f"{took}; {summarize(during)}"))

    def patch(self):
        """Patch a workspace and wait until the patch is in force everywhere."""
        state = self.deployment.state()
        patch = json.dumps({"workspaces": {"verhaegen": {"priority": 3}}})
        self.command("patch", patch, f"--version={state['version']}", "--wait=10")

    def order(self):
        """Send an order twice, through two entries."""
        first = self.deployment.order("entry-1", "saturday", "key-1")
        again = self.deployment.order("entry-2", "saturday", "key-1")
        assert first.status_code == again.status_code == 201, again.text
        assert first.json() == again.json()
        runs = [
            self.deployment.fake_stats(f"orders-{number}-target")["runs"]
            for number in range(len(ORDER_TARGETS))
        ]
        assert sum(run.get("saturday", 0) for run in runs) == 1

    def roll_out_version(self):
        """Roll out a version and wait until all targets serve it."""
        base = f"{self.deployment.fake_url('origin')}/models/assistant/v2"
        self.command(
            "rollout",
            "assistant",
            "v2",
            f"--manifest_url={base}/manifest",
            f"--weights_url={base}/weights",
            "--wait=60",
        )

    def set_data_centre(self, direction):
        """Change whether a data centre is in service, then let the load run for 3 s."""
        self.command("data-centre", direction, "liege-a", "--wait=10")
        time.sleep(3)
        if direction == "in":
            wait_for(lambda: self.deployment.serving("assistant") >= len(MODEL_TARGETS))

    def command(self, *arguments):
        """Run a management command."""
        entry = self.deployment.url("entry-1")
        command = [sys.executable, "-m", "banyanshore.management", *arguments]
        subprocess.run([*command, f"--entry={entry}"], check=True)


def _seconds(began_at):
    return f"{time.monotonic() - began_at:.1f} s"


def main():
    """Run the demo and exit with 1 if a request had an unexpected result."""
    with Deployment(DATA_CENTRES, ENTRIES, VOTERS, WEIGHTS_BYTES) as deployment:
        demo = Demo(deployment)
        try:
            succeeded = demo.run()
        finally:
            demo.load.stopped = True
    width = max(len(name) for name, _ in demo.rows)
    print()
    for name, figure in demo.rows:
        print(f"{name:<{width}}  {figure}")
    for result in demo.unexpected_results()[:5]:
        print(f"unexpected result: {result}")
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
