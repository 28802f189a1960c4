"""Simulate entries and targets with the product's routing or with simple policies.

A target runs a few requests at once, far fewer while it is cold. One more crashes it:
its requests are lost and it restarts cold after a while. Entries receive load reports
late.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from banyanshore.membership.messages import AgentReport, TargetStatus
from banyanshore.membership.targets import TargetTable
from banyanshore.routing.admission import Admission, AdmissionOptions
from banyanshore.routing.budgets import RetryBudget
from banyanshore.routing.selection import SelectionCriteria, Selector

WARM_CAPACITY = 8
COLD_CAPACITY = 1
WARM_AFTER = 6
SERVICE_SECONDS = 0.5
COLD_FACTOR = 2.0
DOWN_SECONDS = 5.0
REPORT_SECONDS = 0.5
REPORT_LAG = 0.5
QUEUE_SECONDS = 0.8
RETRY_INTERVAL = 0.05
MAX_ATTEMPTS = 4


@dataclass
class Target:
    """A simulated target and its agent."""

    name: str
    admission: Admission
    running: dict = field(default_factory=dict)
    completed: int = 0
    down_until: float = -1.0
    incarnation: int = 0
    crashes: int = 0
    overload: int = 0
    is_failing: bool = False
    reported: int = 0

    @property
    def capacity(self):
        """Return how many requests it can run now without a crash."""
        return WARM_CAPACITY if self.completed >= WARM_AFTER else COLD_CAPACITY


@dataclass
class Totals:
    """Counts of a run."""

    sent: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    dispatched: int = 0
    crashes: int = 0
    overload: int = 0
    waits: list = field(default_factory=list)


class Policy:
    """Base class of the policies by which entries choose targets and retry."""

    uses_admission = False

    def __init__(self, model):
        self.model = model

    def choose(self, now, entry, tried):
        """Return a target, or ``None`` if there is none to try now."""
        raise NotImplementedError

    def can_retry(self, entry):
        """Return whether a failed request may be offered again."""
        return True

    def on_success(self, entry):
        """Record an answer."""


class RandomPolicy(Policy):
    """Choose at random, without admission, with up to four attempts."""

    def choose(self, now, entry, tried):
        """Return a random target, one not tried before if there is any."""
        rows = [t for t in self.model.targets if t.name not in tried]
        return self.model.random.choice(rows or self.model.targets)


class LeastReportedPolicy(Policy):
    """Choose by reported load, without admission, with up to four attempts."""

    def choose(self, now, entry, tried):
        """Return the target with the lowest reported load."""
        rows = [t for t in self.model.targets if t.name not in tried]
        return min(
            rows or self.model.targets,
            key=lambda t: (t.reported, self.model.random.random()),
        )


class CorePolicy(Policy):
    """Use the product's selector, admission and retry budget."""

    uses_admission = True

    def __init__(self, model):
        super().__init__(model)
        self.tables = [TargetTable(3.0) for _ in range(model.entries)]
        self.selectors = [Selector(table, model.random) for table in self.tables]
        self.budgets = [RetryBudget(0.1, 20) for _ in range(model.entries)]
        self.sequence = itertools.count(1)

    def record_reports(self, now):
        """Record the reports of all targets at each entry."""
        for target in self.model.targets:
            report = AgentReport(
                target.name,
                "dc",
                "r",
                "s",
                target.name,
                1,
                next(self.sequence),
                TargetStatus.SERVING if now >= target.down_until else "starting",
                "m",
                "v1",
                target.admission.current_limit(now),
                target.admission.in_flight,
                "v1",
                1,
                target.admission.service_seconds,
            )
            for table in self.tables:
                table.record(now, report)

    def choose(self, now, entry, tried):
        """Return the target that the selector chooses."""
        criteria = SelectionCriteria("s", excluded=frozenset(tried))
        report = self.selectors[entry].choose(now, criteria, lambda report: True)
        return self.model.by_name[report.instance] if report else None

    def can_retry(self, entry):
        """Return whether the retry budget allows a retry, and spend it."""
        return self.budgets[entry].try_spend()

    def on_success(self, entry):
        """Add to the retry budget."""
        self.budgets[entry].record_success()


class ServiceModel:
    """A discrete-event simulation of requests, entries and targets.

    :param rate_at: callable that returns the requests a second at a time.
    """

    def __init__(self, policy, targets, rate_at, seconds, entries=8, seed=1, **options):
        self.random = random.Random(seed)
        self.entries = entries
        self.seconds = seconds
        self.rate_at = rate_at
        self.events = []
        self.order = itertools.count()
        self.totals = Totals()
        failing = options.get("failing", 0.0)
        admission = AdmissionOptions(
            COLD_CAPACITY, WARM_AFTER, 0.0, WARM_CAPACITY, 2, 5.0
        )
        self.targets = [
            Target(
                f"t{number}",
                Admission(admission),
                completed=WARM_AFTER if options.get("warm") else 0,
                is_failing=number < failing * targets,
            )
            for number in range(targets)
        ]
        if options.get("warm"):
            for target in self.targets:
                target.admission.limit = WARM_CAPACITY
        self.by_name = {target.name: target for target in self.targets}
        self.policy = policy(self)

    def run(self):
        """Run the simulation and return its :class:`Totals`."""
        self.schedule(0.0, self.send_reports)
        self.schedule(0.0, self.arrive)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            if now > self.seconds + 5:
                break
            action(now, *arguments)
        self.totals.crashes = sum(target.crashes for target in self.targets)
        self.totals.overload = sum(target.overload for target in self.targets)
        return self.totals

    def schedule(self, time, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def send_reports(self, now):
        """Send load reports, and schedule the next ones."""
        for target in self.targets:
            self.schedule(
                now + REPORT_LAG, self.set_reported, target, len(target.running)
            )
        if self.policy.uses_admission:
            self.policy.record_reports(now)
        if now < self.seconds:
            self.schedule(now + REPORT_SECONDS, self.send_reports)

    def set_reported(self, now, target, count):
        """Record the reported load of a target."""
        target.reported = count

    def arrive(self, now):
        """Send a request and schedule the next one."""
        if now >= self.seconds:
            return
        self.schedule(now + self.random.expovariate(self.rate_at(now)), self.arrive)
        self.totals.sent += 1
        entry = self.random.randrange(self.entries)
        self.offer(now, entry, now, frozenset(), 0)

    def offer(self, now, entry, sent_at, tried, attempts):
        """Offer a request to a target; without one, wait or refuse it."""
        target = self.policy.choose(now, entry, tried)
        if target is None:
            if now - sent_at >= QUEUE_SECONDS:
                self.totals.refused += 1
                return
            retry_at = now + RETRY_INTERVAL
            self.schedule(retry_at, self.offer, entry, sent_at, tried, attempts)
            return
        request = (entry, sent_at, tried | {target.name}, attempts + 1)
        self.dispatch(now, target, request)

    def dispatch(self, now, target, request):
        """Run a request at a target if its agent admits it."""
        entry, sent_at, tried, _ = request
        request_id = next(self.order)
        if self.policy.uses_admission:
            selector = self.policy.selectors[entry]
            is_down = now < target.down_until
            if is_down or not target.admission.try_acquire(now, request_id):
                selector.record_full(now, target.name, 0.1)
                retry_at = now + 0.003
                self.schedule(
                    retry_at, self.offer, entry, sent_at, tried - {target.name}, 0
                )
                return
            selector.own_in_flight[target.name] += 1
        self.totals.dispatched += 1
        if now < target.down_until:
            self.schedule(now + 0.01, self.end, target, request_id, request, "failed")
            return
        if len(target.running) + 1 > target.capacity:
            self.crash(now, target, request)
            return
        target.running[request_id] = request
        self.totals.waits.append(now - sent_at)
        slowdown = COLD_FACTOR if target.capacity == COLD_CAPACITY else 1.0
        seconds = SERVICE_SECONDS * slowdown * self.random.uniform(0.5, 1.5)
        outcome = "failed" if target.is_failing else "answered"
        incarnation = target.incarnation
        self.schedule(
            now + seconds, self.end, target, request_id, request, outcome, incarnation
        )

    def crash(self, now, target, request):
        """Crash a target; its requests fail."""
        target.crashes += 1
        target.overload += 1
        target.incarnation += 1
        target.completed = 0
        target.down_until = now + DOWN_SECONDS
        target.admission.observe_incarnation(str(target.incarnation))
        lost_requests, target.running = target.running, {}
        for request_id, other in [*lost_requests.items(), (-1, request)]:
            self.schedule(now, self.end, target, request_id, other, "failed")

    def end(self, now, target, request_id, request, outcome, incarnation=None):
        """End a request at a target and retry it if it failed."""
        if incarnation is not None and incarnation != target.incarnation:
            return
        entry, sent_at, tried, attempts = request
        target.running.pop(request_id, None)
        if self.policy.uses_admission:
            target.admission.release(
                now, request_id, SERVICE_SECONDS, outcome == "answered"
            )
            selector = self.policy.selectors[entry]
            selector.record_end(target.name)
            selector.record_outcome(now, target.name, outcome == "answered")
        if outcome == "answered":
            target.completed += 1
            self.totals.answered += 1
            self.policy.on_success(entry)
        elif attempts < MAX_ATTEMPTS and self.policy.can_retry(entry):
            self.offer(now, entry, sent_at, tried, attempts)
        else:
            self.totals.failed += 1
