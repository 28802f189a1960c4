"""Target selection: exclusion criteria, and load patterns that it must handle."""

import math
import random
from dataclasses import replace

import pytest

from banyanshore.membership.hubs import batch_delay
from banyanshore.membership.load_reports import LoadReport, PlacementNotice
from banyanshore.membership.registry import RowTable, TargetRow
from banyanshore.routing.board import Choice, TargetBoard, TargetRequirements
from banyanshore.routing.retry_after import Reason
from banyanshore.routing.shares import ColdShares
from banyanshore.simulation.plan import EnginePlan, KindPlan, Plan
from banyanshore.state import DesiredState, Fence, PublishedState
from banyanshore.state.document import empty_document, to_json
from tests.simulation.data_centres import MultiDataCentreSimulation
from tests.simulation.loads import NEVER, late_share, make_plan, replay

ROW = TargetRow(
    "i-1", "llm", "10.0.0.1:80", "dc", "v1", 16, "ready", 0.0, 1, 1, "m", 2, 0, 16
)
REQUIREMENTS = TargetRequirements("llm", "m")
# One-way network latency within a data centre, in seconds.
LATENCY_SECONDS = 0.001
ENGINE = {**vars(EnginePlan()), "layers": 16}


class Settings:
    data_centre = "dc"
    regions = {"dc": "north", "far": "south"}  # noqa: RUF012


def make_desired():
    return desired_with()


def make_board(*rows):
    table = RowTable("target", 0)
    for row in rows:
        table.record(0.0, row)
    return TargetBoard(Settings, table, ColdShares("g", 1.5, 5), random.Random(1))


def choose(board, requirements=REQUIREMENTS, now=1.0, desired=None, gateways=1):
    names = [f"g{number}" for number in range(gateways)]
    return board.choose(now, requirements, desired or make_desired(), names)


def desired_with(**tables):
    document = empty_document()
    document["services"]["llm"] = {"kind": "direct", "engine": ENGINE}
    document["services"]["llm"]["cold_per_second"] = 2.0
    document.update(tables)
    return DesiredState(PublishedState(1, Fence(1, 1), to_json(document)))


def test_target_with_only_some_layers_of_a_newer_version_is_not_chosen():
    """The layers of the older version in its heartbeat counted for the newer one."""
    board = make_board(replace(ROW, model_version=1))
    assert choose(board).model_version == 1
    report = LoadReport("10.0.0.1:80", 1, 1, "m", 2, 3, 0, 0, 1.0, False)
    board.record_report(1.0, report)
    assert choose(board).reason is Reason.NO_WEIGHTS
    board.record_report(1.0, replace(report, sequence=2, end_layer=16))
    assert choose(board).model_version == 2


@pytest.mark.parametrize(
    ("row", "wish", "reason"),
    [
        ({"state": "draining"}, {}, Reason.NO_TARGET),
        ({"service": "other"}, {}, Reason.NO_TARGET),
        ({}, {"excluded": frozenset({"i-1"})}, Reason.NO_TARGET),
        ({}, {"regions": (frozenset({"south"}),)}, Reason.NO_TARGET),
        (
            {},
            {"regions": (frozenset({"north"}), frozenset({"south"}))},
            Reason.NO_TARGET,
        ),
        ({"end_layer": 8}, {}, Reason.NO_WEIGHTS),
        ({"end_layer": 0, "model_version": 0}, {}, Reason.NO_WEIGHTS),
        ({}, {"oldest_version_in": lambda seconds: 3}, Reason.NO_WEIGHTS),
        ({}, {"exact_version": 1}, Reason.NO_WEIGHTS),
        # A stream that began on older weights isn't resumed on them once they are no
        # longer allowed.
        (
            {},
            {"exact_version": 2, "oldest_version_in": lambda seconds: 3},
            Reason.NO_WEIGHTS,
        ),
    ],
)
def test_unsuitable_target_is_not_chosen(row, wish, reason):
    board = make_board(replace(ROW, **row))
    assert choose(board, replace(REQUIREMENTS, **wish)).reason is reason


def test_target_with_the_required_region_and_version_is_chosen():
    requirements = replace(
        REQUIREMENTS, regions=(frozenset({"north"}), frozenset()), exact_version=2
    )
    choice = choose(make_board(ROW), requirements)
    assert (choice.row, choice.model_version) == (ROW, 2)


def test_data_centre_out_of_service_gets_nothing():
    rows = {"dc": {"in_service": False}}
    found = choose(make_board(ROW), desired=desired_with(data_centres=rows))
    assert found.reason is Reason.NO_TARGET


def test_failed_target_is_suspended_for_a_while():
    board = make_board(ROW)
    board.record_failure(1.0, ROW)
    assert choose(board, now=1.1).reason is Reason.FULL
    assert isinstance(choose(board, now=2.0), Choice)
    board.record_failure(2.0, ROW)
    assert choose(board, now=2.6).reason is Reason.FULL


def test_target_about_to_load_gets_no_more_requests():
    board = make_board(ROW)
    report = LoadReport(ROW.address, 1, 1, "m", 2, 16, 0, 0, 1.0, True)
    board.record_report(1.0, report)
    assert choose(board).reason is Reason.NO_WEIGHTS
    board.record_report(1.0, replace(report, sequence=2, is_loading=False))
    assert isinstance(choose(board), Choice)


def test_load_counts_the_report_and_requests_sent_since():
    board = make_board(ROW)
    board.record_report(1.0, LoadReport(ROW.address, 1, 1, "m", 2, 16, 13, 1))
    assert isinstance(choose(board), Choice)
    board.begin(1.0, ROW, 0.0)
    board.begin(1.0, ROW, 0.0)
    assert choose(board).reason is Reason.FULL
    board.end(1.0, ROW)
    assert isinstance(choose(board), Choice)
    # Another gateway sends a request there.
    board.record_placement(1.0, PlacementNotice(ROW.address, 0.0))
    assert choose(board).reason is Reason.FULL
    board.record_report(1.1, LoadReport(ROW.address, 1, 2, "m", 2, 16, 13, 1))
    assert isinstance(choose(board), Choice)


def test_own_requests_count_that_a_report_on_its_way_does_not_know():
    """Reports cancelled the requests that were sent while they were on their way."""
    board = make_board(ROW)
    board.unseen.age_seconds = 0.2
    board.begin(1.0, ROW, 0.0)
    report = LoadReport(ROW.address, 1, 1, "m", 2, 16, 15, 0)
    board.record_report(1.1, report)
    assert choose(board, now=1.1).reason is Reason.FULL
    board.record_report(1.25, replace(report, sequence=2))
    assert isinstance(choose(board, now=1.25), Choice)


def test_own_request_that_ended_after_the_report_leaves_its_place():
    board = make_board(ROW)
    board.unseen.age_seconds = 0.2
    board.begin(1.0, ROW, 0.0)
    board.end(1.25, ROW)
    board.record_report(1.3, LoadReport(ROW.address, 1, 1, "m", 2, 16, 16, 0))
    assert isinstance(choose(board, now=1.3), Choice)


def test_target_with_a_prefill_backlog_gets_no_requests_until_it_shrinks():
    board = make_board(ROW)
    quick, patient = (replace(REQUIREMENTS, objective_seconds=s) for s in (0.4, 2.0))
    board.begin(1.0, ROW, 0.3)
    assert choose(board, quick).reason is Reason.FULL
    assert isinstance(choose(board, patient), Choice)
    assert isinstance(choose(board, quick, now=1.25), Choice)


def test_refusal_tells_when_the_first_target_has_read_its_prompts():
    other = replace(ROW, id="i-2", address="10.0.0.2:80")
    board = make_board(ROW, other)
    quick = replace(REQUIREMENTS, objective_seconds=0.4)
    board.begin(1.0, ROW, 0.5)
    board.begin(1.0, other, 0.3)
    found = choose(board, quick)
    assert found.reason is Reason.FULL
    assert found.room_in == pytest.approx(0.2)
    assert isinstance(choose(board, quick, now=1.0 + found.room_in + 0.001), Choice)


def test_refusal_for_want_of_places_does_not_tell_when_there_is_room():
    board = make_board(ROW)
    board.record_report(1.0, LoadReport(ROW.address, 1, 1, "m", 2, 16, 19, 9))
    board.begin(1.0, ROW, 0.5)
    assert choose(board).room_in == math.inf


def test_older_report_is_ignored():
    board = make_board(ROW)
    board.record_report(1.0, LoadReport(ROW.address, 1, 5, "m", 2, 16, 19, 9))
    board.record_report(1.0, LoadReport(ROW.address, 1, 4, "m", 2, 16, 0, 0))
    assert choose(board).reason is Reason.FULL


@pytest.mark.parametrize(("bound", "gateways"), [(51, 8), (110, 41), (344, 40)])
def test_connections_of_all_gateways_stay_within_the_bound(bound, gateways):
    """Each of eight gateways sent up to 18 requests to a slow target."""
    service = {"kind": "direct", "max_connections": bound}
    desired = desired_with(services={"llm": service})
    names = [f"g{number}" for number in range(gateways)]
    total = 0
    for _ in names:
        board = make_board(replace(ROW, model="", model_version=0, slots=100))
        found = board.choose(1.0, TargetRequirements("llm"), desired, names)
        while isinstance(found, Choice):
            board.begin(1.0, found.row, 0.0)
            total += 1
            found = board.choose(1.0, TargetRequirements("llm"), desired, names)
    assert gateways <= total <= bound


def test_cold_target_gets_only_the_share_of_the_gateway():
    board = make_board(replace(ROW, cold_seconds=5.0))
    sent = 0
    while isinstance(found := choose(board, desired=desired_with()), Choice):
        board.begin(1.0, found.row, 0.0)
        board.end(1.0, found.row)
        sent += 1
    # The share is 0.8 * (2 * 1.5 + 5), rounded down.
    assert (sent, found.reason) == (6, Reason.COLD)


def test_targets_of_a_data_centre_that_comes_back_count_as_cold():
    """They may have become cold unnoticed, and all gateways send to them at once."""
    board = make_board(ROW)
    desired = desired_with()
    services = {"llm": {"cold_seconds": 3.0}}
    board.expect_cold_targets(1.0, "dc", services)
    sent = 0
    while isinstance(found := choose(board, now=2.0, desired=desired), Choice):
        board.begin(2.0, found.row, 0.0)
        board.end(2.0, found.row)
        sent += 1
    assert sent == 6
    assert isinstance(choose(board, now=6.0, desired=desired), Choice)


def test_target_that_fails_many_requests_gets_fewer():
    other = replace(ROW, id="i-2", address="10.0.0.2:80")
    board = make_board(ROW, other)
    for _ in range(10):
        board.record_error(ROW)
    assert {choose(board).row.id for _ in range(20)} == {"i-2"}
    for _ in range(60):
        board.record_success(ROW)
    assert {choose(board).row.id for _ in range(40)} == {"i-1", "i-2"}


def test_local_target_is_preferred_among_equals():
    remote = replace(ROW, id="i-2", address="10.0.0.2:80", data_centre="far")
    assert {choose(make_board(ROW, remote)).row.id for _ in range(20)} == {"i-1"}


@pytest.mark.parametrize("seed", range(3))
def test_calm_load_meets_its_objective(seed):
    """The load of a calm day: 57 generations a second at ten targets."""
    arrivals = replay(make_plan(57, 20, seed=seed, callers_return=False))
    assert late_share(arrivals) < 0.03


@pytest.mark.parametrize("seed", range(3))
def test_placement_notices_avoid_most_late_answers(seed):
    """Gateways that rely on delayed reports alone send long prompts to one target."""
    plan = make_plan(70, 20, seed=seed, callers_return=False)
    with_notices = late_share(replay(plan))
    without_notices = late_share(replay(replace(plan, notice_seconds=NEVER)))
    assert with_notices < without_notices / 2


def test_load_beyond_the_capacity_is_refused_at_once():
    arrivals = replay(make_plan(120, 10, targets=5, callers_return=False))
    served = [row for row in arrivals if not row.refusals]
    assert len(served) < len(arrivals)
    assert all(row.first_seconds < 2.0 for row in served)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("rate", [100, 120, 150])
def test_requests_admitted_during_overload_meet_their_objective(rate, seed):
    arrivals = replay(make_plan(rate, 10, seed=seed, callers_return=False))
    admitted = [row for row in arrivals if not row.refusals]
    # Ten targets prefill about 100 such prompts per second.
    assert len(admitted) > 900
    assert late_share(admitted) < 0.05


# Engine of a large fleet; replay_large() sends a third more requests to one of its data
# centres than it can serve.
LARGE_ENGINE = EnginePlan(
    slots=8,
    step_seconds=0.0139,
    request_seconds=0.0000348,
    read_tokens_per_second=13_800.0,
    pairs_seconds=0.00177,
    usual_answer_tokens=70.0,
)


def replay_large(notice_seconds, seed):
    kind = KindPlan(
        "query", 62, objective_seconds=0.55, answer_tokens=70.0, longest_answer=178
    )
    plan = Plan(
        (kind,), 12, seed, 20, 9, LARGE_ENGINE,
        notice_seconds=notice_seconds, callers_return=False,
    )  # fmt: skip
    return [row for row in replay(plan) if not row.refusals]


@pytest.mark.parametrize("seed", [1, 2])
def test_placements_forwarded_by_a_hub_keep_admitted_requests_in_time(seed):
    """Hubs of 20 gateways gathered updates for 27 ms: a seventh was late."""
    gathering_seconds = batch_delay(20, True)
    admitted = replay_large(gathering_seconds + 2 * LATENCY_SECONDS, seed)
    assert len(admitted) > 500
    assert late_share(admitted) < 0.08
    assert late_share(replay_large(0.03, seed)) > 0.1


def replay_data_centres(rate):
    kind = KindPlan(
        "query", rate, objective_seconds=0.55, answer_tokens=70.0, longest_answer=178
    )
    plan = Plan((kind,), 6, 1, 50, 45, LARGE_ENGINE, callers_return=False)
    return MultiDataCentreSimulation(plan).run()


def test_remote_targets_are_not_overloaded_when_all_data_centres_are_full(monkeypatch):
    """Five data centres at 1.3 times capacity: 0.44 of those admitted were late."""
    arrivals = replay_data_centres(300)
    admitted = [row for row in arrivals if not row.refusals]
    assert late_share(admitted) < 0.1
    monkeypatch.setattr("banyanshore.routing.room.REMOTE_RESERVE", 0.0)
    before = [row for row in replay_data_centres(300) if not row.refusals]
    in_time = sum(row.is_in_time for row in admitted)
    assert in_time > 1.2 * sum(row.is_in_time for row in before)


def test_data_centre_without_targets_uses_all_remote_capacity():
    remote = [
        replace(ROW, id=f"i-{n}", address=f"10.0.0.{n}:80", data_centre="far")
        for n in (1, 2)
    ]
    local = replace(ROW, id="i-3", address="10.0.0.3:80")
    board = make_board(*remote)
    for row in (*remote, local):
        board.record_report(1.0, LoadReport(row.address, 1, 1, "m", 2, 16, 9, 0))
    assert isinstance(choose(board), Choice)
    board = make_board(*remote, local)
    for row in remote:
        board.record_report(1.0, LoadReport(row.address, 1, 1, "m", 2, 16, 11, 0))
    board.record_report(1.0, LoadReport(local.address, 1, 1, "m", 2, 16, 16, 0))
    # The local target is full, and the remote ones too full for one of many gateways
    # whose data centre has its share of targets.
    assert choose(board, gateways=99).reason is Reason.FULL
    assert isinstance(choose(board, gateways=2), Choice)
