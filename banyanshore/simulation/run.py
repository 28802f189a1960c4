"""Run a plan: arrivals, gateways and engines in simulated time."""

import heapq
import itertools
import random

from banyanshore.routing.engine_model import EngineModel
from banyanshore.routing.retry_after import Reason, retry_after_seconds
from banyanshore.simulation.arrivals import draw_arrivals
from banyanshore.simulation.engine import SimulatedEngine
from banyanshore.simulation.policies import POLICY_BY_NAME

# Attempts at targets for one arrival at a gateway.
MAX_OFFERS = 2
# Times that a caller comes back.
MAX_RETURNS = 1


class Simulation:
    """One policy under the load of a plan.

    :param plan: the :class:`~banyanshore.simulation.plan.Plan`.
    :param policy: name of the policy, or its class.
    :ivar arrivals: rows, with their outcomes once it has run.
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
        """Run until all arrivals have ended; return them."""
        for row in self.arrivals:
            self._at(row.arrived_at, self._arrive, row)
        for step in range(int(self.plan.seconds / self.plan.report_interval) + 1):
            self._at(step * self.plan.report_interval, self._report)
        for fault in self.plan.faults:
            self._at(fault.at, self._break, fault)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self.arrivals

    def _at(self, time, action, *arguments):
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def _arrive(self, now, row):
        row.gateway = self._rng.choice(list(self._policy_by_gateway))
        self._offer(now, row, MAX_OFFERS)

    def _offer(self, now, row, offers):
        policy = self._policy_by_gateway[row.gateway]
        target = policy.choose(now, row)
        if isinstance(target, Reason):
            self._refuse(now, row, target)
            return
        engine = self._engine_by_address[target]
        if engine.is_down:
            policy.fail(now, target)
            if offers > 1:
                self._offer(now, row, offers - 1)
            else:
                self._refuse(now, row, Reason.TARGET_REFUSED)
            return
        row.target, row.steps_left = target, row.answer
        policy.begin(now, row)
        for other in self._policy_by_gateway.values():
            if other is not policy:
                self._at(now + self.plan.notice_seconds, self._tell, other, row)
        self._start(now, engine, row)

    def _start(self, now, engine, row):
        engine.waiting.append(row)
        if not engine.is_busy:
            engine.is_busy = True
            self._at(now, self._begin_pass, engine, engine.life)

    def _refuse(self, now, row, reason):
        row.refusals += 1
        if not self.plan.callers_return or row.refusals > MAX_RETURNS:
            return
        left = row.kind.patience_seconds - (now - row.arrived_at)
        seconds = retry_after_seconds(reason, left, self._rng)
        self._at(now + seconds, self._arrive, row)

    def _tell(self, now, policy, row):
        policy.told(now, row)

    def _begin_pass(self, now, engine, life):
        if life != engine.life:
            return
        if not engine.load:
            engine.is_busy = False
            return
        seconds, read, ended = engine.run_pass()
        self._at(now + seconds, self._end_pass, engine, life, read, ended)

    def _end_pass(self, now, engine, life, read, ended):
        if life != engine.life:
            return
        for row in read:
            row.first_at = now
        for row in ended:
            row.ended_at = now
            self._policy_by_gateway[row.gateway].end(now, row)
        self._begin_pass(now, engine, life)

    def _report(self, now):
        for engine in self._engine_by_address.values():
            if not engine.is_down:
                for policy in self._policy_by_gateway.values():
                    policy.report(now, engine)

    def _break(self, now, fault):
        engines = list(self._engine_by_address.values())
        for engine in self._rng.sample(engines, min(fault.targets, len(engines))):
            end = _END_BY_FAULT[fault.what]
            _BEGIN_BY_FAULT[fault.what](self, now, engine, fault)
            self._at(now + fault.seconds, end, engine)

    def _fall(self, now, engine, fault):
        for row in engine.fall():
            policy = self._policy_by_gateway[row.gateway]
            policy.end(now, row)
            policy.fail(now, engine.address)
            # Its answer broke off; what it wrote counts for nothing.
            row.first_at = None
            self._refuse(now, row, Reason.TARGET_REFUSED)

    def _slow_down(self, now, engine, fault):
        engine.pace = fault.factor


def _rise(now, engine):
    engine.rise()


def _speed_up(now, engine):
    engine.pace = 1.0


_BEGIN_BY_FAULT = {"down": Simulation._fall, "slow": Simulation._slow_down}
_END_BY_FAULT = {"down": _rise, "slow": _speed_up}
