import json
from dataclasses import replace

import pytest

from banyanshore.management.base import ExitCode
from banyanshore.management.commands.simulate import Command
from banyanshore.simulation.arrivals import draw_arrivals
from banyanshore.simulation.plan import POLICIES, FaultPlan
from banyanshore.simulation.report import count, count_by_window
from tests.deployment import ROOT
from tests.simulation.loads import burst, make_plan, replay

EXAMPLE = ROOT / "docs" / "howto" / "burst.yaml"


def outcomes(arrivals):
    return [(row.arrived_at, row.first_event_at, row.completed_at) for row in arrivals]


@pytest.mark.parametrize("policy", POLICIES)
def test_light_load_is_answered_completely(policy):
    arrivals = replay(make_plan(30, 10, targets=10), policy)
    figures = count(arrivals)
    assert (figures.asked, figures.lost) == (len(arrivals), 0)
    assert figures.asked > 200


@pytest.mark.parametrize("policy", POLICIES)
def test_same_seed_gives_the_same_outcomes(policy):
    plan = make_plan(90, 5, faults=(FaultPlan(1.0, 2.0, 3),))
    assert outcomes(replay(plan, policy)) == outcomes(replay(plan, policy))


def test_arrivals_follow_the_bursts():
    plan = make_plan(40, 20, bursts=burst(3.0, 5.0, at=10.0))
    times = [row.arrived_at for row in draw_arrivals(plan)]
    in_burst = sum(10 <= time < 15 for time in times)
    assert 500 < in_burst < 700
    assert 500 < len(times) - in_burst < 700


def test_first_event_of_a_single_request_takes_prefill_and_one_pass():
    plan = make_plan(0.2, 60, targets=1, gateways=1)
    engine = plan.engine
    step = engine.step_seconds + engine.request_seconds
    last_end = 0.0
    for row in replay(plan):
        if row.arrived_at > last_end:
            tokens = row.prompt
            prefill_seconds = tokens / engine.read_tokens_per_second
            prefill_seconds += tokens * tokens / 2e6 * engine.pairs_seconds
            expected = prefill_seconds + engine.steps_per_pass * step
            assert row.first_seconds == pytest.approx(expected)
        last_end = max(last_end, row.completed_at)


@pytest.mark.parametrize("policy", POLICIES)
def test_crashed_targets_lose_their_requests_and_recover(policy):
    # Starts after the longest answer to a request of the first second.
    fault = FaultPlan(9.0, 4.0, targets=2)
    plan = make_plan(10, 20, targets=2, faults=(fault,), callers_return=False)
    windows = count_by_window(replay(plan, policy))
    assert windows[0.0].lost == 0
    assert windows[10.0].lost == windows[10.0].asked
    assert windows[18.0].lost == 0


def test_slow_targets_miss_more_objectives():
    plan = make_plan(30, 10, targets=5)
    slow = replace(plan, faults=(FaultPlan(2.0, 6.0, 5, "slow", 8.0),))
    assert count(replay(slow)).in_time < count(replay(plan)).in_time


def run_command(capsys, *arguments):
    code = Command("simulate").run(["simulate", *map(str, arguments)])
    return code, capsys.readouterr()


def test_board_has_the_highest_worth_in_the_example(capsys):
    code, output = run_command(capsys, EXAMPLE, "--json")
    assert code == ExitCode.OK
    document = json.loads(output.out)
    assert set(document) == set(POLICIES)
    # The example shows that the burst costs least with the product's policy.
    worths = {policy: row["all"]["worth"] for policy, row in document.items()}
    assert max(worths, key=worths.get) == "board"


def test_plot_is_drawn(capsys, tmp_path):
    path = tmp_path / "burst.png"
    plan = tmp_path / "plan.yaml"
    plan.write_text("kinds: [{name: a, rate: 20}]\nseconds: 3\n")
    code, _ = run_command(capsys, plan, "--plot", path)
    assert code == ExitCode.OK
    assert path.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("", "mapping"),
        ("kinds: []", "no kinds"),
        ("kinds: [{name: a}]", "kinds.0.rate"),
        ("kinds: [{name: a, rate: 1}]\npolicies: [best]", "policies"),
        ("kinds: [{name: a, rate: 1}]\nspeed: 3", "speed"),
        ("kinds: [{name: a, rate: .nan}]", "kinds.0.rate"),
        ("kinds: [", "YAML"),
    ],
)
def test_invalid_plan_is_rejected_with_the_reason(capsys, tmp_path, text, words):
    path = tmp_path / "plan.yaml"
    path.write_text(text)
    code, output = run_command(capsys, path)
    assert code == ExitCode.INVALID
    assert words in output.err


def test_missing_plan_file_is_reported(capsys, tmp_path):
    code, output = run_command(capsys, tmp_path / "none.yaml")
    assert code == ExitCode.INVALID
    assert "none.yaml" in output.err
