"""A model of entries and targets, driven by the routing cores or by plain policies.

Time is simulated. A target bears a few requests at once, far fewer while it is cold;
one more and it falls over: what it runs is lost and it comes back cold after a while.
Entries hear of the load by reports that lag.
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

FULL = 8
COLD = 1
WARM_AFTER = 6
SERVICE_SECONDS = 0.5
COLD_FACTOR = 2.0
DOWN_SECONDS = 5.0
REPORT_SECONDS = 0.5
REPORT_LAG = 0.5
QUEUE_SECONDS = 0.8
RETRY_EVERY = 0.05
MAX_ATTEMPTS = 4


@dataclass
class Target:
    """One modelled target and its agent."""

    name: str
    admission: Admission
    running: dict = field(default_factory=dict)
    completed: int = 0
    down_until: float = -1.0
    incarnation: int = 0
    falls: int = 0
    overload: int = 0
    fails: bool = False
    reported: int = 0

    @property
    def bears(self):
        """Return how many requests it bears now."""
        return FULL if self.completed >= WARM_AFTER else COLD


@dataclass
class Totals:
    """What a run counted."""

    sent: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    dispatched: int = 0
    falls: int = 0
    overload: int = 0
    waits: list = field(default_factory=list)


class Policy:
    """How entries choose and whether agents admit; see the subclasses."""

    uses_admission = False

    def __init__(self, model):
        self.model = model

    def choose(self, now, entry, tried):
        """Return a target or ``None``."""
        raise NotImplementedError

    def may_retry(self, entry):
        """Tell whether a failed request may be offered again."""
        return True

    def on_success(self, entry):
        """Take note of an answer."""


class RandomPolicy(Policy):
    """Any target at random, no admission, up to four attempts."""

    def choose(self, now, entry, tried):
        """Return a target at random."""
        rows = [t for t in self.model.targets if t.name not in tried]
        return self.model.random.choice(rows or self.model.targets)


class LeastReportedPolicy(Policy):
    """The target with the least reported load, no admission, up to four attempts."""

    def choose(self, now, entry, tried):
        """Return the target that reported least."""
        rows = [t for t in self.model.targets if t.name not in tried]
        return min(
            rows or self.model.targets,
            key=lambda t: (t.reported, self.model.random.random()),
        )


class CorePolicy(Policy):
    """The product's selector, admission and retry budget."""

    uses_admission = True

    def __init__(self, model):
        super().__init__(model)
        self.tables = [TargetTable(3.0) for _ in range(model.entries)]
        self.selectors = [Selector(table, model.random) for table in self.tables]
        self.budgets = [RetryBudget(0.1, 20) for _ in range(model.entries)]
        self.sequence = itertools.count(1)

    def take_reports(self, now):
        """Give each entry the targets' reports."""
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

    def may_retry(self, entry):
        """Tell whether the retry budget allows it."""
        return self.budgets[entry].try_spend()

    def on_success(self, entry):
        """Earn a part of a retry."""
        self.budgets[entry].record_success()


class ServiceModel:
    """Requests, entries and targets on one event queue.

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
        admission = AdmissionOptions(COLD, WARM_AFTER, 0.0, FULL, 2, 5.0)
        self.targets = [
            Target(
                f"t{number}",
                Admission(admission),
                completed=WARM_AFTER if options.get("warm") else 0,
                fails=number < failing * targets,
            )
            for number in range(targets)
        ]
        if options.get("warm"):
            for target in self.targets:
                target.admission.limit = FULL
        self.by_name = {target.name: target for target in self.targets}
        self.policy = policy(self)

    def run(self):
        """Run to the end and return the :class:`Totals`."""
        self.at(0.0, self.report)
        self.at(0.0, self.arrive)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            if now > self.seconds + 5:
                break
            action(now, *arguments)
        self.totals.falls = sum(target.falls for target in self.targets)
        self.totals.overload = sum(target.overload for target in self.targets)
        return self.totals

    def at(self, time, action, *arguments):
        """Plan an action."""
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def report(self, now):
        """Let the reports of a while ago arrive."""
        for target in self.targets:
            self.at(now + REPORT_LAG, self.set_reported, target, len(target.running))
        if self.policy.uses_admission:
            self.policy.take_reports(now)
        if now < self.seconds:
            self.at(now + REPORT_SECONDS, self.report)

    def set_reported(self, now, target, count):
        """Take a load report."""
        target.reported = count

    def arrive(self, now):
        """Send a request and plan the next."""
        if now >= self.seconds:
            return
        self.at(now + self.random.expovariate(self.rate_at(now)), self.arrive)
        self.totals.sent += 1
        entry = self.random.randrange(self.entries)
        self.offer(now, entry, now, frozenset(), 0)

    def offer(self, now, entry, sent_at, tried, attempts):
        """Offer a request to a target, or let it wait or be given up."""
        target = self.policy.choose(now, entry, tried)
        if target is None:
            if now - sent_at >= QUEUE_SECONDS:
                self.totals.refused += 1
                return
            later = now + RETRY_EVERY
            self.at(later, self.offer, entry, sent_at, tried, attempts)
            return
        request = (entry, sent_at, tried | {target.name}, attempts + 1)
        self.dispatch(now, target, request)

    def dispatch(self, now, target, request):
        """Hand a request to a target, if its agent admits it."""
        entry, sent_at, tried, _ = request
        request_id = next(self.order)
        if self.policy.uses_admission:
            selector = self.policy.selectors[entry]
            down = now < target.down_until
            if down or not target.admission.try_acquire(now, request_id):
                selector.record_full(now, target.name, 0.1)
                again = now + 0.003
                self.at(again, self.offer, entry, sent_at, tried - {target.name}, 0)
                return
            selector.own_in_flight[target.name] += 1
        self.totals.dispatched += 1
        if now < target.down_until:
            self.at(now + 0.01, self.end, target, request_id, request, "failed")
            return
        if len(target.running) + 1 > target.bears:
            self.fall_over(now, target, request)
            return
        target.running[request_id] = request
        self.totals.waits.append(now - sent_at)
        slow = COLD_FACTOR if target.bears == COLD else 1.0
        seconds = SERVICE_SECONDS * slow * self.random.uniform(0.5, 1.5)
        outcome = "failed" if target.fails else "answered"
        incarnation = target.incarnation
        self.at(
            now + seconds, self.end, target, request_id, request, outcome, incarnation
        )

    def fall_over(self, now, target, request):
        """Lose what a target runs."""
        target.falls += 1
        target.overload += 1
        target.incarnation += 1
        target.completed = 0
        target.down_until = now + DOWN_SECONDS
        target.admission.observe_incarnation(str(target.incarnation))
        lost, target.running = target.running, {}
        for request_id, other in [*lost.items(), (-1, request)]:
            self.at(now, self.end, target, request_id, other, "failed")

    def end(self, now, target, request_id, request, outcome, incarnation=None):
        """End a request at a target."""
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
        elif attempts < MAX_ATTEMPTS and self.policy.may_retry(entry):
            self.offer(now, entry, sent_at, tried, attempts)
        else:
            self.totals.failed += 1
