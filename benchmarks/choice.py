"""Measure the processor time of one choice of a target, with 40 and 300 targets.

Run it with ``python -m benchmarks.choice``.
"""

import random
import time
from dataclasses import replace

from banyanshore.membership.load_reports import LoadReport
from banyanshore.membership.registry import RowTable, TargetRow
from banyanshore.routing.board import TargetBoard, TargetRequirements
from banyanshore.routing.shares import ColdShares
from banyanshore.simulation.plan import EnginePlan
from banyanshore.state import DesiredState, Fence, PublishedState
from banyanshore.state.document import empty_document, to_json

CHOICES = 300
REPEATS = 7
DATA_CENTRES = 3
ROW = TargetRow("", "llm", "", "", "v1", 16, "ready", 0.0, 1, 1, "m", 2, 0, 16)


class Settings:
    """The settings of a gateway that the board reads."""

    data_centre = "dc-0"
    regions = {}  # noqa: RUF012


def measure_choice(targets):
    """Return the least mean time of a choice, in seconds."""
    rng = random.Random(targets)
    table = RowTable("target", 0)
    board = TargetBoard(Settings, table, ColdShares("g", 1.5, 5), rng)
    for number in range(targets):
        name, data_centre = f"t-{number}", f"dc-{number % DATA_CENTRES}"
        row = replace(ROW, id=name, address=name, data_centre=data_centre)
        table.record(0.0, row)
        active = rng.randrange(8)
        board.record_report(1.0, LoadReport(name, 1, 1, "m", 2, 16, active, 0))
    document = empty_document()
    engine = {**vars(EnginePlan()), "layers": 16}
    document["services"]["llm"] = {"kind": "direct", "engine": engine}
    desired = DesiredState(PublishedState(1, Fence(1, 1), to_json(document)))
    requirements = TargetRequirements("llm", "m", objective_seconds=0.4)
    gateways = [f"g-{number}" for number in range(33)]
    means = []
    for _ in range(REPEATS):
        begun_at = time.process_time()
        for _ in range(CHOICES):
            board.choose(1.1, requirements, desired, gateways)
        means.append((time.process_time() - begun_at) / CHOICES)
    return min(means)


if __name__ == "__main__":
    for count in (40, 300):
        print(f"{count} targets: {measure_choice(count) * 1e6:.0f} us a choice")
