"""Run the arrivals, gateways and targets of a plan in simulated time."""

import heapq
import itertools
import random

from banyanshore.routing.engine_model import EngineModel
from banyanshore.routing.retry_after import Reason, retry_after_seconds
from banyanshore.simulation.arrivals import draw_arrivals
from banyanshore.simulation.engine import SimulatedEngine
from banyanshore.simulation.policies import POLICY_BY_NAME

# Offers to targets that a gateway makes for one attempt of a caller.
MAX_OFFERS = 2
# Times that a refused caller sends its request again.
MAX_CALLER_RETRIES = 1


class Simulation:
    """A discrete-event simulation of one policy under the load of a plan.

    :param plan: the :class:`~banyanshore.simulation.plan.Plan`.
    :param policy: name of the policy, or its class.
    :ivar arrivals: the :class:`~banyanshore.simulation.arrivals.Arrival` rows, with
        their outcomes after :meth:`run`.
    """

    def __init__(self, plan, policy):
        self.plan = plan
        self.arrivals = draw_arrivals(plan)
        self._rng = random.Random(plan.seed)
        self._events = []
        self._order = itertools.count()
        model = EngineModel.from_row(vars(plan.engine))
        addresses = [f"target-{number}" for number in range(plan.targets)]
        self._engine_by_address = {
            address: SimulatedEngine(address, plan.engine, model)
            for address in addresses
        }
        names = [f"gateway-{number}" for number in range(plan.gateways)]
        make_policy = POLICY_BY_NAME.get(policy, policy)
        self._policy_by_gateway = {
            name: make_policy(name, plan, addresses) for name in names
        }

    def run(self):
        """Run until no event is left; return the arrivals."""
        for row in self.arrivals:
            self._schedule(row.arrived_at, self._arrive, row)
        for step in range(int(self.plan.seconds / self.plan.report_interval) + 1):
            self._schedule(step * self.plan.report_interval, self._send_reports)
        for fault in self.plan.faults:
            self._schedule(fault.at, self._inject_fault, fault)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self.arrivals

    def _schedule(self, time, action, *arguments):
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def _arrive(self, now, row):
        row.gateway = self._rng.choice(list(self._policy_by_gateway))
        self._offer(now, row, MAX_OFFERS)

    def _offer(self, now, row, offers_left):
        policy = self._policy_by_gateway[row.gateway]
        target = policy.choose(now, row)
        if isinstance(target, Reason):
            self._refuse(now, row, target)
            return
        engine = self._engine_by_address[target]
        if engine.is_down:
            policy.record_failure(now, target)
            if offers_left > 1:
                self._offer(now, row, offers_left - 1)
            else:
                self._refuse(now, row, Reason.TARGET_REFUSED)
            return
        row.target, row.steps_left = target, row.answer
        policy.begin(now, row)
        self._schedule(
            now + self.plan.notice_seconds, self._notify_placement, policy, row
        )
        self._start(now, engine, row)

    def _start(self, now, engine, row):
        engine.waiting.append(row)
        if not engine.is_busy:
            engine.is_busy = True
            self._schedule(now, self._begin_pass, engine, engine.incarnation)

    def _refuse(self, now, row, reason):
        row.refusals += 1
        if not self.plan.callers_return or row.refusals > MAX_CALLER_RETRIES:
            return
        seconds_left = row.kind.patience_seconds - (now - row.arrived_at)
        seconds = retry_after_seconds(reason, seconds_left, self._rng)
        self._schedule(now + seconds, self._arrive, row)

    def _notify_placement(self, now, sender, row):
        for policy in self._policy_by_gateway.values():
            if policy is sender:
                policy.record_own_notice(now, row)
            elif not self._is_news_lost():
                policy.record_placement(now, row)

    def _is_news_lost(self):
        return self.plan.news_loss and self._rng.random() < self.plan.news_loss

    def _begin_pass(self, now, engine, incarnation):
        if incarnation != engine.incarnation:
            return
        if not engine.load:
            engine.is_busy = False
            return
        seconds, prefilled, completed = engine.run_pass()
        self._schedule(
            now + seconds, self._end_pass, engine, incarnation, prefilled, completed
        )

    def _end_pass(self, now, engine, incarnation, prefilled, completed):
        if incarnation != engine.incarnation:
            return
        for row in prefilled:
            row.first_event_at = now
            self._policy_by_gateway[row.gateway].record_first_event(now, row)
        for row in completed:
            row.completed_at = now
            self._policy_by_gateway[row.gateway].end(now, row)
        self._begin_pass(now, engine, incarnation)

    def _send_reports(self, now):
        for engine in self._engine_by_address.values():
            if not engine.is_down:
                self._schedule(
                    now + self.plan.report_seconds,
                    self._deliver_report,
                    engine.snapshot(),
                )

    def _deliver_report(self, now, snapshot):
        for policy in self._policy_by_gateway.values():
            if not self._is_news_lost():
                policy.record_report(now, snapshot)

    def _inject_fault(self, now, fault):
        engines = list(self._engine_by_address.values())
        for engine in self._rng.sample(engines, min(fault.targets, len(engines))):
            end = _END_BY_FAULT[fault.what]
            _BEGIN_BY_FAULT[fault.what](self, now, engine, fault)
            self._schedule(now + fault.seconds, end, engine)

    def _crash(self, now, engine, fault):
        for row in engine.crash():
            policy = self._policy_by_gateway[row.gateway]
            policy.end(now, row)
            policy.record_failure(now, engine.address)
            # The answer broke off, so its first event doesn't count.
            row.first_event_at = None
            self._refuse(now, row, Reason.TARGET_REFUSED)

    def _slow_down(self, now, engine, fault):
        engine.pace = fault.factor


def _restart(now, engine):
    engine.restart()


def _restore_speed(now, engine):
    engine.pace = 1.0


_BEGIN_BY_FAULT = {"down": Simulation._crash, "slow": Simulation._slow_down}
_END_BY_FAULT = {"down": _restart, "slow": _restore_speed}
