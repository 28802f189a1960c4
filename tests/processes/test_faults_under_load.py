"""Inject each fault alone and in pairs, under load, and check the invariants.

The faults are those that the users list. Each answer must be complete and hold nothing
of other answers; a request reported as "not-run" must not have run; an order must run
at most once; targets may crash only where the fault causes it; and all requests must
be served afterwards.
"""

import contextlib
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

import anyio
import httpx
import pytest

from tests.deployment import Deployment, check_answer, initial_patch, wait_for
from tests.load import Load
from tests.network import Network
from tests.processes.conftest import DATA_CENTRES, ENTRIES

FAULT_SECONDS = 5.0
TARGETS = [f"assistant-{number}-target" for number in range(6)]
ORDER_TARGETS = [f"orders-{number}-target" for number in range(3)]


@dataclass
class Orders:
    """Send orders one after the other, each of them twice through different entries."""

    deployment: Deployment
    prefix: str
    stopped: bool = False
    outcomes: dict = field(default_factory=dict)

    def run(self):
        number = 0
        while not self.stopped:
            name = f"{self.prefix}-{number}"
            self.outcomes[name] = [
                self.send(f"entry-{(number + attempt) % 5 + 1}", name)
                for attempt in range(2)
            ]
            number += 1
            time.sleep(0.1)

    def send(self, entry, name):
        try:
            response = self.deployment.order(entry, name, f"key-{name}", timeout=8)
        except httpx.HTTPError:
            return "broken"
        if response.status_code == 201:
            assert response.json() == {"order": name, "run": 1}
            return "done"
        return response.json()["outcome"]


class FaultHarness:
    """A deployment behind network relays, with faults to inject into it."""

    def __init__(self):
        self.network = Network()
        self.deployment = Deployment(
            DATA_CENTRES, ENTRIES, {0, 1, 2}, network=self.network
        )
        self.expected_crashes = {}
        self.round = 0

    def start(self):
        deployment = self.deployment
        deployment.start_origin()
        deployment.start_entries()
        for number in range(6):
            data_centre = list(DATA_CENTRES)[number % 3]
            deployment.start_agent(f"assistant-{number}", data_centre, "assistant")
        for number, data_centre in enumerate(DATA_CENTRES):
            deployment.start_agent(f"orders-{number}", data_centre, "orders", "plain")
        deployment.wait_for_leader()
        deployment.patch(initial_patch(deployment))
        self.wait_for_all_targets()

    def wait_for_all_targets(self):
        for entry in self.deployment.http_port:
            self.deployment.wait_for_targets("assistant", 6, 40, entry)
            self.deployment.wait_for_targets("orders", 3, 20, entry)

    def process(self, name):
        return self.deployment.processes[name]

    def restart(self, name):
        process = self.process(name)
        if process.process.poll() is None:
            process.signal(signal.SIGCONT)
            process.kill()
        process.start()

    def expect_crash(self, target):
        """Record that a fault makes a target crash."""
        self.expected_crashes[target] = self.expected_crashes.get(target, 0) + 1

    def crash_target(self, number):
        target = TARGETS[number]
        self.expect_crash(target)
        self.deployment.fake_control(target, action="crash")


@contextlib.contextmanager
def instance_dies(harness):
    harness.process("assistant-0").kill()
    yield
    harness.restart("assistant-0")


@contextlib.contextmanager
def instance_freezes(harness):
    harness.process("assistant-1").signal(signal.SIGSTOP)
    yield
    harness.process("assistant-1").signal(signal.SIGCONT)


@contextlib.contextmanager
def entry_dies(harness):
    harness.process("entry-5").kill()
    yield
    harness.restart("entry-5")


@contextlib.contextmanager
def leader_freezes(harness):
    leader = wait_for(lambda: harness.deployment.status("entry-4")["leader"], 10)
    harness.process(leader).signal(signal.SIGSTOP)
    yield
    harness.process(leader).signal(signal.SIGCONT)


@contextlib.contextmanager
def leader_dies(harness):
    leader = wait_for(lambda: harness.deployment.status("entry-4")["leader"], 10)
    harness.process(leader).kill()
    yield
    harness.restart(leader)


@contextlib.contextmanager
def target_crashes(harness):
    harness.crash_target(2)
    yield


@contextlib.contextmanager
def target_turns_cold(harness):
    # The requests in flight at that moment may be more than a cold target bears.
    harness.expect_crash(TARGETS[3])
    harness.deployment.fake_control(TARGETS[3], action="cold")
    yield


@contextlib.contextmanager
def connections_go_silent(harness):
    agents = [f"assistant-{number}" for number in range(6)]
    harness.network.silence(["*"], [*agents, "orders-0", "orders-1"])
    yield


@contextlib.contextmanager
def data_centre_is_cut_off(harness):
    inside, outside = ["entry-3"], ["entry-1", "entry-2", "entry-4", "entry-5"]
    harness.network.cut(inside, outside)
    yield
    harness.network.heal()


@contextlib.contextmanager
def request_is_poisoned(harness):
    threads = []
    for _ in range(2):
        thread = threading.Thread(
            target=lambda: harness.deployment.chat("entry-4", f"POISON-{harness.round}")
        )
        thread.start()
        threads.append(thread)
    # Two crashes in the whole fleet are allowed, on any targets.
    harness.expected_crashes["any"] = harness.expected_crashes.get("any", 0) + 2
    yield
    for thread in threads:
        thread.join()


def start_rollout(harness, version):
    row = harness.deployment.model_row("assistant", version)
    with contextlib.suppress(AssertionError, httpx.HTTPError):
        harness.deployment.patch({"models": {"assistant": row}}, "entry-4")


@contextlib.contextmanager
def version_changes_mid_transfer(harness):
    for version in (f"v{harness.round}a", f"v{harness.round}b"):
        start_rollout(harness, version)
        time.sleep(0.3)
    yield


@contextlib.contextmanager
def chunks_arrive_corrupt(harness):
    harness.deployment.fake_control("origin", corrupt_every=5)
    start_rollout(harness, f"v{harness.round}c")
    yield
    harness.deployment.fake_control("origin", corrupt_every=0)


@contextlib.contextmanager
def links_stall(harness):
    harness.deployment.fake_control("origin", stall_every=7)
    start_rollout(harness, f"v{harness.round}s")
    yield
    harness.deployment.fake_control("origin", stall_every=0)


@contextlib.contextmanager
def data_centre_goes_out_and_in(harness):
    row = {"data_centres": {"liege-a": {"in_service": False}}}
    with contextlib.suppress(AssertionError, httpx.HTTPError):
        harness.deployment.patch(row, "entry-4")
    yield
    row = {"data_centres": {"liege-a": {"in_service": True}}}
    harness.deployment.patch(row, "entry-4")


@contextlib.contextmanager
def target_leaves(harness):
    process = harness.process("assistant-4")
    process.signal(signal.SIGTERM)
    yield
    process.stop()
    process.start()


FAULTS = [
    instance_dies,
    instance_freezes,
    entry_dies,
    leader_dies,
    leader_freezes,
    target_crashes,
    target_turns_cold,
    connections_go_silent,
    data_centre_is_cut_off,
    request_is_poisoned,
    version_changes_mid_transfer,
    chunks_arrive_corrupt,
    links_stall,
    data_centre_goes_out_and_in,
    target_leaves,
]
# Each fault with those one, two and five positions after it: six pairs for each.
PAIRS = [
    (FAULTS[index], FAULTS[(index + step) % len(FAULTS)])
    for step in (1, 2, 5)
    for index in range(len(FAULTS))
]


@pytest.fixture(scope="module")
def harness():
    harness = FaultHarness()
    with harness.deployment:
        harness.start()
        yield harness


def run_under_load(harness, *faults):
    harness.round += 1
    harness.expected_crashes = {}
    before = {name: harness.deployment.fake_stats(name)["falls"] for name in TARGETS}
    urls = [harness.deployment.url(f"entry-{number}") for number in range(1, 6)]
    load = Load(urls, 12.0, seed=harness.round, deadline=8.0)
    orders = Orders(harness.deployment, f"r{harness.round}")
    threads = [
        threading.Thread(target=lambda: anyio.run(load.run)),
        threading.Thread(target=orders.run),
    ]
    for thread in threads:
        thread.start()
    try:
        time.sleep(0.5)
        with contextlib.ExitStack() as stack:
            for fault in faults:
                stack.enter_context(fault(harness))
            time.sleep(FAULT_SECONDS)
    finally:
        load.stopped = orders.stopped = True
        for thread in threads:
            thread.join()
    check_answers(load.results)
    check_refusals(harness, load.results)
    check_orders(harness, orders)
    check_crashes(harness, before)
    check_recovery(harness)


def check_answers(results):
    assert results
    for result in results:
        assert "foreign or mixed" not in result.problem, result
        assert not result.problem.startswith("not whole"), result


def count_runs(harness, targets):
    runs = Counter()
    for target in targets:
        runs.update(harness.deployment.fake_stats(target)["runs"])
    return runs


def check_refusals(harness, results):
    runs = count_runs(harness, TARGETS)
    for result in results:
        if result.outcome == "not-run":
            assert not runs[result.content], f"said not to have run: {result}"


def check_orders(harness, orders):
    runs = count_runs(harness, ORDER_TARGETS)
    for name, outcomes in orders.outcomes.items():
        count = runs[name]
        assert count <= 1, f"{name} ran {count} times: {outcomes}"
        if "done" in outcomes:
            assert count == 1
        if outcomes == ["not-run", "not-run"]:
            assert count == 0, f"{name} was said not to have run"


def check_crashes(harness, before):
    unassigned_crashes = harness.expected_crashes.get("any", 0)
    for name in TARGETS:
        crashes = harness.deployment.fake_stats(name)["falls"] - before[name]
        unassigned_crashes -= max(0, crashes - harness.expected_crashes.get(name, 0))
    causes = {name: harness.deployment.fake_stats(name)["causes"] for name in TARGETS}
    assert unassigned_crashes >= 0, (
        f"more crashes than expected {harness.expected_crashes}: {causes}"
    )


def check_recovery(harness):
    harness.wait_for_all_targets()
    for number in range(1, 6):
        entry = f"entry-{number}"
        content = f"after-{harness.round}-{number}"
        response = wait_for(
            lambda e=entry, c=content: _served(harness.deployment.chat(e, c)),
            15,
            0.2,
            f"{entry} serves again",
        )
        check_answer(response, content)


def _served(response):
    return response if response.status_code == 200 else None


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_fault_alone(harness, fault):
    run_under_load(harness, fault)


@pytest.mark.parametrize(
    "pair", PAIRS, ids=lambda pair: f"{pair[0].__name__}-{pair[1].__name__}"
)
def test_faults_in_pairs(harness, pair):
    run_under_load(harness, *pair)
