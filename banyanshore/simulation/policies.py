"""How a simulated gateway chooses a target: the product's way, and others to compare.

Load pattern: gateways choose at once, each by reports that are some time old.
"""

import abc
import random

from banyanshore.membership.load_reports import LoadReport, PlacementNotice
from banyanshore.membership.registry import RowTable, TargetRow
from banyanshore.routing.board import Choice, TargetBoard, TargetRequirements
from banyanshore.routing.engine_model import EngineModel
from banyanshore.routing.retry_after import Reason
from banyanshore.routing.shares import ColdShares
from banyanshore.state import DesiredState, Fence, PublishedState
from banyanshore.state.document import empty_document, to_json

SERVICE = "simulated"
MODEL = "model"
DATA_CENTRE = "simulated"
# Seconds for which the other policies leave a target alone that was down.
LEFT_ALONE_SECONDS = 0.4


class Policy(abc.ABC):
    """How one gateway chooses.

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
        """Return the address of a target, or the :class:`Reason` to refuse."""

    def begin(self, now, row):
        """Take note of a request that is sent to its target."""

    def end(self, now, row):
        """Take note of an answer."""

    def fail(self, now, address):
        """Take note of a target that could not be reached, or broke off."""

    def told(self, now, row):
        """Take the news of a request that another gateway has sent."""

    def report(self, now, engine):
        """Take the report of a target's load."""


class BoardPolicy(Policy):
    """The gateways of this product."""

    # What the board reads of a gateway's settings.
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
        self._gateways = [f"gateway-{number}" for number in range(plan.gateways)]
        self._sequence = 0

    def _data_centre_of_target(self, address):
        return DATA_CENTRE

    def choose(self, now, row):
        """Return the address of the target that the product would choose."""
        requirements = TargetRequirements(
            SERVICE, MODEL, objective_seconds=row.kind.objective_seconds
        )
        choice = self._board.choose(now, requirements, self._desired, self._gateways)
        return choice.row.address if isinstance(choice, Choice) else choice.reason

    def begin(self, now, row):
        """Count the request at its target."""
        seconds = self._model.prefill_seconds(row.prompt)
        self._board.begin(now, self._rows[row.target], seconds)

    def end(self, now, row):
        """Count the answer."""
        self._board.end(self._rows[row.target])
        self._board.record_success(self._rows[row.target])

    def fail(self, now, address):
        """Leave the target alone for a while."""
        self._board.record_failure(now, self._rows[address])

    def told(self, now, row):
        """Count what another gateway has placed."""
        seconds = self._model.prefill_seconds(row.prompt)
        self._board.record_placement(now, PlacementNotice(row.target, seconds))

    def report(self, now, engine):
        """Take the load that a loader tells."""
        self._sequence += 1
        self._board.record_report(
            now,
            LoadReport(
                engine.address, 1, self._sequence, MODEL, 1, 1,
                len(engine.writing), len(engine.waiting), engine.pace,
            ),
        )  # fmt: skip


class _CountingPolicy(Policy):
    """Count what this gateway has sent, and leave alone what was down."""

    def __init__(self, name, plan, addresses):
        super().__init__(name, plan, addresses)
        self._own = dict.fromkeys(addresses, 0)
        self._reported = dict.fromkeys(addresses, 0)
        self._alone_until = dict.fromkeys(addresses, 0.0)

    def begin(self, now, row):
        """Count the request."""
        self._own[row.target] += 1

    def end(self, now, row):
        """Count the answer."""
        self._own[row.target] -= 1

    def fail(self, now, address):
        """Leave the target alone for a while."""
        self._alone_until[address] = now + LEFT_ALONE_SECONDS

    def report(self, now, engine):
        """Remember the load."""
        self._reported[engine.address] = engine.load

    def usable(self, now):
        """Return the targets that are not left alone."""
        return [name for name in self.addresses if self._alone_until[name] <= now]


class LeastInFlightPolicy(_CountingPolicy):
    """The target that has the fewest requests of this gateway."""

    def choose(self, now, row):
        """Return the address with the fewest own requests."""
        usable = self.usable(now)
        if not usable:
            return Reason.FULL
        return min(usable, key=lambda name: (self._own[name], self.rng.random()))


class TwoChoicesPolicy(_CountingPolicy):
    """The one of two targets, drawn by lot, that was reported less loaded."""

    def choose(self, now, row):
        """Return the better of two addresses."""
        usable = self.usable(now)
        if not usable:
            return Reason.FULL
        drawn = self.rng.sample(usable, min(2, len(usable)))
        return min(drawn, key=lambda name: self._reported[name])


class RoundRobinPolicy(_CountingPolicy):
    """One target after the other."""

    def __init__(self, name, plan, addresses):
        super().__init__(name, plan, addresses)
        self._turn = self.rng.randrange(len(addresses))

    def choose(self, now, row):
        """Return the next address."""
        usable = self.usable(now)
        if not usable:
            return Reason.FULL
        self._turn += 1
        return usable[self._turn % len(usable)]


POLICY_BY_NAME = {
    "board": BoardPolicy,
    "least-in-flight": LeastInFlightPolicy,
    "two-choices": TwoChoicesPolicy,
    "round-robin": RoundRobinPolicy,
}
