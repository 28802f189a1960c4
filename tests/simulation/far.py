"""A fleet in several data centres: news of far loads comes late and in batches."""

import copy

from banyanshore.routing.retry_after import Reason
from banyanshore.simulation.policies import BoardPolicy
from banyanshore.simulation.run import Simulation

DATA_CENTRES = 5
# Seconds until other data centres hear of a placement or a report.
FAR_SECONDS = 0.16
# Seconds until the own data centre hears of a placement.
NEAR_SECONDS = 0.008


def data_centre_of(name):
    """Return where a gateway or target is, by the number in its name.

    >>> data_centre_of("target-7")
    'dc-2'
    """
    return f"dc-{int(name.rpartition('-')[2]) % DATA_CENTRES}"


class FarPolicy(BoardPolicy):
    """A gateway of one data centre before targets in all of them."""

    def __init__(self, name, plan, addresses):
        self.data_centre = data_centre_of(name)
        super().__init__(name, plan, addresses)

    def _data_centre_of_target(self, address):
        return data_centre_of(address)


class FarSimulation(Simulation):
    """A simulation in which news between data centres is late."""

    def __init__(self, plan):
        super().__init__(plan, FarPolicy)

    def _offer(self, now, row, offers):
        policy = self._policy_by_gateway[row.gateway]
        target = policy.choose(now, row)
        if isinstance(target, Reason):
            self._refuse(now, row, target)
            return
        engine = self._engine_by_address[target]
        row.target, row.steps_left = target, row.answer
        policy.begin(now, row)
        for other in self._policy_by_gateway.values():
            if other is policy:
                continue
            if other.data_centre == policy.data_centre:
                self._schedule(now + NEAR_SECONDS, self._notify_placement, other, row)
            elif other.data_centre == data_centre_of(target):
                self._schedule(now + FAR_SECONDS, self._notify_placement, other, row)
        self._start(now, engine, row)

    def _report(self, now):
        for engine in self._engine_by_address.values():
            snapshot = copy.copy(engine)
            for name, value in vars(engine).items():
                if isinstance(value, list):
                    setattr(snapshot, name, list(value))
            here = data_centre_of(engine.address)
            for policy in self._policy_by_gateway.values():
                late = 0.0 if policy.data_centre == here else FAR_SECONDS
                self._schedule(now + late, self._pass_report, policy, snapshot)

    def _pass_report(self, now, policy, snapshot):
        policy.report(now, snapshot)
