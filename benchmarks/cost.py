"""Measure what a choice and a batch of notices cost a gateway, by the fleet.

All parts run in this process, without a network.
"""

import random
import time

from banyanshore.conf.loader import parse_settings
from banyanshore.membership.hubs import DuplicateFilter
from banyanshore.membership.load_reports import (
    LoadReport,
    PlacementNotice,
    UpdateBatch,
)
from banyanshore.membership.registry import RowTable, TargetRow
from banyanshore.routing.board import TargetBoard, TargetRequirements
from banyanshore.routing.shares import ColdShares
from banyanshore.state import Fence, PublishedState, StateHolder
from banyanshore.state.document import empty_document, to_json
from banyanshore.transport import decode, encode_notice
from benchmarks.report import Report, fit_slope

TARGET_COUNTS = (15, 30, 60, 120, 240)
GATEWAY_COUNTS = (8, 48, 300)
# Targets and gateways of a large deployment.
TARGETS_AT_SCALE = 60
GATEWAYS_AT_SCALE = 48
# Notices in a batch of a hub.
BATCH_SIZES = (1, 4, 16, 64)
DATA_CENTRES = 3
# Repetitions, of which the fastest counts, and calls in each.
REPETITIONS = 5
CALLS = 100
# Microseconds of a whole request at a gateway (docs/design/cost.md).
REQUEST_MICROSECONDS = 6_000

SETTINGS = {
    "role": "gateway",
    "instance": "g-0",
    "data_centre": "dc-0",
    "region": "north",
    "callers_bind": "127.0.0.1:1",
    "ready_bind": "127.0.0.1:2",
    "peers_bind": "127.0.0.1:3",
    "peer_port": 3,
    "seeds": ["127.0.0.1:4"],
    "regions": {f"dc-{number}": "north" for number in range(DATA_CENTRES)},
}
ENGINE = {"slots": 8, "layers": 2, "usual_prompt_tokens": 1_000.0}


def microseconds(call):
    """Return the processor time of a call in microseconds, at its fastest."""
    best = float("inf")
    for _ in range(REPETITIONS):
        started_at = time.process_time()
        for _ in range(CALLS):
            call()
        best = min(best, (time.process_time() - started_at) / CALLS)
    return 1e6 * best


def make_desired():
    """Return the desired state with a service of engines and another one."""
    document = empty_document()
    document["services"]["llm"] = {"kind": "model", "engine": ENGINE}
    document["services"]["other"] = {"kind": "direct"}
    state = StateHolder()
    state.apply(PublishedState(1, Fence(1, 1), to_json(document)))
    return state.desired


def make_board(targets):
    """Return the board of a gateway that knows some targets and their loads.

    A third of the targets are of another service.
    """
    settings = parse_settings(SETTINGS)
    table = RowTable("target", 0)
    board = TargetBoard(
        settings, table, ColdShares(settings.instance, 1.5, 5), random.Random(1)
    )
    for number in range(targets):
        address = f"10.0.0.{number}:80"
        service = "llm" if number % 3 else "other"
        row = TargetRow(
            f"t-{number}", service, address, f"dc-{number % DATA_CENTRES}", "v1", 8,
            "ready", 0.0, 1, 1, "m", 1, 0, 2,
        )  # fmt: skip
        table.record(0.0, row)
        board.record_report(0.0, LoadReport(address, 1, 1, "m", 1, 2, 2, 0))
    return board


def measure_choice(targets, gateways):
    """Return the microseconds of a choice."""
    board, desired = make_board(targets), make_desired()
    names = {f"g-{number}" for number in range(gateways)}
    requirements = TargetRequirements("llm", "m", objective_seconds=0.5)
    return microseconds(lambda: board.choose(0.1, requirements, desired, names))


def measure_batch(size):
    """Return the microseconds to encode, and to decode and apply, a batch."""
    board = make_board(TARGETS_AT_SCALE)
    sequences = iter(range(10**9))

    def make_batch():
        notices = [
            PlacementNotice(
                f"10.0.0.{number % TARGETS_AT_SCALE}:80", 0.05, "dc-0",
                f"g-{number + 1}", 1, next(sequences),
            )
            for number in range(size)
        ]  # fmt: skip
        return UpdateBatch(tuple(notices))

    batch = make_batch()
    encoded = iter([encode_notice(make_batch()) for _ in range(REPETITIONS * CALLS)])
    duplicates = DuplicateFilter("g-0")

    def receive():
        for item in decode(next(encoded)).body.items:
            if duplicates.is_new(item):
                board.record_placement(0.0, item)

    return microseconds(lambda: encode_notice(batch)), microseconds(receive)


def run():
    """Return the report."""
    report = Report("cost")
    heads = ["targets", "gateways", "microseconds"]
    times = []
    for targets in TARGET_COUNTS:
        times.append(measure_choice(targets, GATEWAYS_AT_SCALE))
        report.add_row("A choice", heads, targets, GATEWAYS_AT_SCALE, times[-1])
    for gateways in GATEWAY_COUNTS:
        spent = measure_choice(TARGETS_AT_SCALE, gateways)
        report.add_row(
            "A choice, by gateways", heads, TARGETS_AT_SCALE, gateways, spent
        )
    batch_heads = ["notices", "encode, microseconds", "decode and apply, microseconds"]
    received = []
    for size in BATCH_SIZES:
        encode, receive = measure_batch(size)
        received.append(receive)
        report.add_row("A batch of a hub", batch_heads, size, encode, receive)
    slope_heads = ["part", "microseconds for each", "standard error", "at none"]
    for name, counts, values in (
        ("choice, for each target", TARGET_COUNTS, times),
        ("notice received", BATCH_SIZES, received),
    ):
        line = fit_slope(counts, values)
        row = (name, line.slope, line.spread, line.intercept)
        report.add_row("Slopes", slope_heads, *row)
    report.add_bound(
        f"microseconds of a choice among {TARGETS_AT_SCALE} targets",
        times[TARGET_COUNTS.index(TARGETS_AT_SCALE)],
        REQUEST_MICROSECONDS / 10,
        "a tenth of a request",
    )
    return report
