"""Simulate targets in several data centres, with delayed updates between them."""

from banyanshore.routing.retry_after import Reason
from banyanshore.simulation.policies import BoardPolicy
from banyanshore.simulation.run import Simulation

DATA_CENTRES = 5
# Seconds until other data centres receive a placement notice or a load report.
REMOTE_DELAY_SECONDS = 0.16
# Seconds until gateways of the same data centre receive a placement notice.
LOCAL_DELAY_SECONDS = 0.008


def data_centre_of(name):
    """Return the data centre of a gateway or target by the number in its name.

    >>> data_centre_of("target-7")
    'dc-2'
    """
    return f"dc-{int(name.rpartition('-')[2]) % DATA_CENTRES}"


class MultiDataCentrePolicy(BoardPolicy):
    """The board of a gateway in one data centre, with targets in all of them."""

    def __init__(self, name, plan, addresses):
        self.data_centre = data_centre_of(name)
        super().__init__(name, plan, addresses)

    def _data_centre_of_target(self, address):
        return data_centre_of(address)


class MultiDataCentreSimulation(Simulation):
    """A simulation that delays notices and reports between data centres."""

    def __init__(self, plan):
        super().__init__(plan, MultiDataCentrePolicy)

    def _offer(self, now, row, offers_left):
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
                self._schedule(now + LOCAL_DELAY_SECONDS, self._notify_one, other, row)
            elif other.data_centre == data_centre_of(target):
                self._schedule(now + REMOTE_DELAY_SECONDS, self._notify_one, other, row)
        self._start(now, engine, row)

    def _send_reports(self, now):
        for engine in self._engine_by_address.values():
            snapshot = engine.snapshot()
            data_centre = data_centre_of(engine.address)
            for policy in self._policy_by_gateway.values():
                delay_seconds = (
                    0.0 if policy.data_centre == data_centre else REMOTE_DELAY_SECONDS
                )
                self._schedule(
                    now + delay_seconds, self._report_to_one, policy, snapshot
                )

    def _notify_one(self, now, policy, row):
        policy.record_placement(now, row)

    def _report_to_one(self, now, policy, snapshot):
        policy.record_report(now, snapshot)
