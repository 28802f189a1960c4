"""Routing policies of a simulated gateway: the product's own, and others to compare.

Gateways choose independently of each other, each by load reports that lag behind.
"""

import abc
import random

from banyanshore.membership.load_reports import LoadReport, PlacementNotice
from banyanshore.membership.registry import RowTable, TargetRow
from banyanshore.routing.board import Choice, TargetBoard, TargetRequirements
from banyanshore.routing.engine_model import EngineModel
from banyanshore.routing.ranks import ONLY_RANK
from banyanshore.routing.retry_after import Reason
from banyanshore.routing.shares import ColdShares
from banyanshore.state import DesiredState, Fence, PublishedState
from banyanshore.state.document import empty_document, to_json

SERVICE = "simulated"
MODEL = "model"
DATA_CENTRE = "simulated"
# Seconds for which the other policies pause a target after a failure.
PAUSE_SECONDS = 0.4


class Policy(abc.ABC):
    """Base class of the policies by which a gateway chooses a target.

    :param name: name of the gateway.
    :param plan: the :class:`~banyanshore.simulation.plan.Plan`.
    :param addresses: addresses of all targets.
    """

    def __init__(self, name, plan, addresses):
        self.name = name
        self.plan = plan
        self.addresses = addresses
        self.rng = random.Random(f"{plan.seed}/{name}")

    @abc.abstractmethod
    def choose(self, now, row):
        """Return the address of a target, or the :class:`Reason` for a refusal."""

    def begin(self, now, row):
        """Record that a request is sent to its target."""

    def record_first_event(self, now, row):
        """Record that a target has begun to answer a request."""

    def end(self, now, row):
        """Record that a request ended at its target."""

    def record_failure(self, now, address):
        """Record that a target was unreachable or broke off an answer."""

    def record_placement(self, now, row):
        """Record a request that another gateway has sent to its target."""

    def record_own_notice(self, now, row):
        """Record that the notice of a request of this gateway came back to it."""

    def record_report(self, now, engine):
        """Record a load report of a target."""


class BoardPolicy(Policy):
    """Choose with the product's own :class:`~banyanshore.routing.board.TargetBoard`."""

    # The settings of a gateway that the board reads.
    data_centre = DATA_CENTRE
    regions = {DATA_CENTRE: DATA_CENTRE}  # noqa: RUF012

    def __init__(self, name, plan, addresses):
        super().__init__(name, plan, addresses)
        engine = {key: getattr(plan.engine, key) for key in vars(plan.engine)}
        document = empty_document()
        document["services"][SERVICE] = {"kind": "direct", "engine": engine}
        published = PublishedState(1, Fence(1, 1), to_json(document))
        self._desired = DesiredState(published)
        self._model = EngineModel.from_row(engine)
        table = RowTable("target", 0)
        for address in addresses:
            row = TargetRow(
                address, SERVICE, address, self._data_centre_of_target(address), "",
                plan.engine.slots, "ready", 0.0, 1, 1, MODEL, 1, 0, 1,
            )  # fmt: skip
            table.record(0.0, row)
        self._rows = {row.address: row for row in table.rows()}
        shares = ColdShares(name, 1.0, 0.0)
        self._board = TargetBoard(self, table, shares, self.rng)
        # The prompts that the targets have still to read, by the id of the arrival.
        self._prompts = {}
        self._gateways = [f"gateway-{number}" for number in range(plan.gateways)]
        self._sequence = 0

    def _data_centre_of_target(self, address):
        return DATA_CENTRE

    def choose(self, now, row):
        """Return the address of the target that the board chooses."""
        requirements = TargetRequirements(
            SERVICE, MODEL, objective_seconds=row.kind.objective_seconds
        )
        choice = self._board.choose(now, requirements, self._desired, self._gateways)
        return choice.row.address if isinstance(choice, Choice) else choice.reason

    def begin(self, now, row):
        """Add the request to the load of its target."""
        seconds = self._model.prefill_seconds(row.prompt)
        target = self._rows[row.target]
        self._prompts[id(row)] = self._board.begin(now, target, seconds)

    def record_first_event(self, now, row):
        """Record that a target has read the prompt of a request."""
        prompt = self._prompts.pop(id(row))
        self._board.record_read(now, self._rows[row.target], prompt, ONLY_RANK)

    def end(self, now, row):
        """Remove the request from the load of its target and record a success."""
        self._board.end(now, self._rows[row.target])
        self._board.record_success(self._rows[row.target])

    def record_failure(self, now, address):
        """Record the failure, for which the board pauses the target."""
        self._board.record_failure(now, self._rows[address])

    def record_placement(self, now, row):
        """Add the request of another gateway to the load of its target."""
        seconds = self._model.prefill_seconds(row.prompt)
        self._board.record_placement(now, PlacementNotice(row.target, seconds))

    def record_own_notice(self, now, row):
        """Record how long the notice took to come back."""
        self._board.unseen.record_age(now - row.arrived_at)

    def record_report(self, now, engine):
        """Record a load report as a loader sends it."""
        self._sequence += 1
        self._board.record_report(
            now,
            LoadReport(
                engine.address, 1, self._sequence, MODEL, 1, 1,
                len(engine.decoding), len(engine.waiting), engine.pace,
            ),
        )  # fmt: skip


class _CountingPolicy(Policy):
    """Count the requests of this gateway at each target and pause failed targets."""

    def __init__(self, name, plan, addresses):
        super().__init__(name, plan, addresses)
        self._in_flight = dict.fromkeys(addresses, 0)
        self._reported_load = dict.fromkeys(addresses, 0)
        self._paused_until = dict.fromkeys(addresses, 0.0)

    def begin(self, now, row):
        """Add the request to the count of its target."""
        self._in_flight[row.target] += 1

    def end(self, now, row):
        """Remove the request from the count of its target."""
        self._in_flight[row.target] -= 1

    def record_failure(self, now, address):
        """Pause the target."""
        self._paused_until[address] = now + PAUSE_SECONDS

    def record_report(self, now, engine):
        """Store the reported load."""
        self._reported_load[engine.address] = engine.load

    def usable(self, now):
        """Return the targets that aren't paused."""
        return [name for name in self.addresses if self._paused_until[name] <= now]


class LeastInFlightPolicy(_CountingPolicy):
    """Choose the target with the fewest requests in flight from this gateway."""

    def choose(self, now, row):
        """Return the address with the fewest requests in flight from this gateway."""
        usable = self.usable(now)
        if not usable:
            return Reason.FULL
        return min(usable, key=lambda name: (self._in_flight[name], self.rng.random()))


class TwoChoicesPolicy(_CountingPolicy):
    """Choose the target with the lower reported load of two random ones."""

    def choose(self, now, row):
        """Return the less loaded of two random addresses."""
        usable = self.usable(now)
        if not usable:
            return Reason.FULL
        candidates = self.rng.sample(usable, min(2, len(usable)))
        return min(candidates, key=lambda name: self._reported_load[name])


class RoundRobinPolicy(_CountingPolicy):
    """Choose the targets in turn."""

    def __init__(self, name, plan, addresses):
        super().__init__(name, plan, addresses)
        self._position = self.rng.randrange(len(addresses))

    def choose(self, now, row):
        """Return the next address."""
        usable = self.usable(now)
        if not usable:
            return Reason.FULL
        self._position += 1
        return usable[self._position % len(usable)]


POLICY_BY_NAME = {
    "board": BoardPolicy,
    "least-in-flight": LeastInFlightPolicy,
    "two-choices": TwoChoicesPolicy,
    "round-robin": RoundRobinPolicy,
}
