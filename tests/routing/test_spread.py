"""Even load with old news: schedules of gateways, targets, and news late or lost."""

import random
import statistics
from dataclasses import replace

import pytest

from banyanshore.membership.registry import TargetRow
from banyanshore.routing.engine_model import EngineModel
from banyanshore.routing.spread import Candidate, TargetSpread
from banyanshore.routing.target_load import TargetLoad
from banyanshore.simulation.plan import EnginePlan, FaultPlan, KindPlan, Plan
from tests.simulation.loads import busiest_over_mean, make_plan, replay

ROW = TargetRow("", "llm", "", "dc", "v1", 12, "ready", 0.0, 1, 1, "m", 2, 0, 16)
MODEL = EngineModel(slots=12)
SECONDS = 7
GATEWAYS = (8, 45, 300)


def long_prompts(gateways, news_seconds, seed=1, **options):
    """Return a plan with 20 targets of 12 slots that are half full."""
    return make_plan(
        110, SECONDS, seed=seed, gateways=gateways, targets=20,
        engine=EnginePlan(slots=12), callers_return=False,
        notice_seconds=news_seconds, report_seconds=news_seconds, **options,
    )  # fmt: skip


def short_prompts(gateways, news_seconds, seed=1, **options):
    """Return a plan with 10 targets of 48 slots that are a third full."""
    kind = KindPlan("query", 150, prompt_tokens=90.0, longest_prompt=900)
    engine = EnginePlan(slots=48, usual_prompt_tokens=120.0)
    return Plan(
        (kind,), SECONDS, seed, gateways, 10, engine, callers_return=False,
        notice_seconds=news_seconds, report_seconds=news_seconds, **options,
    )  # fmt: skip


def slow_in_turns(targets, factor=2.5, seconds=0.6):
    """Return faults that make a sixth of the targets slow for a while, in turns."""
    count = round(targets / 6)
    return tuple(
        FaultPlan(0.3 + turn * seconds, seconds, count, "slow", factor)
        for turn in range(int(SECONDS / seconds))
    )


def unevenness(plan):
    """Return the busiest target over the mean, on average of the seconds but two."""
    arrivals = replay(plan)
    return statistics.mean(busiest_over_mean(arrivals, plan.targets, range(2, SECONDS)))


def mean_unevenness(make, gateways, news_seconds, **options):
    seeds = (1,) if gateways > 100 else (1, 2, 3)
    return statistics.mean(
        unevenness(make(gateways, news_seconds, seed, **options)) for seed in seeds
    )


# What the least estimated start time with 10 ms of noise gave on the same schedules, by
# the seconds that news takes: mean of 8, 45 and 300 gateways.
LEAST_START_TIME = {
    (long_prompts, 0.05): 1.41,
    (long_prompts, 0.2): 1.44,
    (long_prompts, 0.5): 1.60,
    (short_prompts, 0.05): 1.17,
    (short_prompts, 0.2): 1.20,
    (short_prompts, 0.5): 1.28,
}


@pytest.mark.parametrize("gateways", GATEWAYS)
@pytest.mark.parametrize("news_seconds", [0.05, 0.2, 0.5])
@pytest.mark.parametrize("make", [long_prompts, short_prompts])
def test_busiest_target_is_less_busy_than_by_least_start_time(
    make, news_seconds, gateways
):
    found = mean_unevenness(make, gateways, news_seconds)
    assert found < LEAST_START_TIME[make, news_seconds]


@pytest.mark.parametrize("make", [long_prompts, short_prompts])
def test_load_is_as_even_with_many_gateways_as_with_few(make):
    found = [mean_unevenness(make, gateways, 0.05) for gateways in GATEWAYS]
    assert max(found) - min(found) < 0.1


def test_load_stays_even_while_a_fifth_of_the_news_is_lost():
    assert mean_unevenness(long_prompts, 45, 0.05, news_loss=0.2) < 1.41


def test_load_is_nearly_even_with_fresh_news():
    assert mean_unevenness(long_prompts, 8, 0.003) < 1.2


def test_load_is_even_while_targets_are_slow_in_turns():
    assert mean_unevenness(long_prompts, 45, 0.05, faults=slow_in_turns(20)) < 1.38


def select(rng, loads, unseen=0.0, model=MODEL, data_centres=None):
    """Return the number of the target that is selected among some with given loads."""
    candidates = [
        Candidate(
            replace(ROW, data_centre=data_centres[number] if data_centres else "dc"),
            load,
            False,
        )
        for number, load in enumerate(loads)
    ]
    chosen = TargetSpread("dc", rng).select(1.0, candidates, model, unseen)
    return next(number for number, k in enumerate(candidates) if k is chosen)


def make_load(prefill_seconds=0.0):
    load = TargetLoad()
    load.prompts.add(1.0, prefill_seconds)
    return load


def test_best_target_alone_is_chosen_while_nothing_is_unseen():
    rng = random.Random(1)
    loads = [make_load(0.05 * number) for number in range(4)]
    assert {select(rng, loads) for _ in range(50)} == {0}


def test_more_targets_share_the_requests_the_more_are_unseen():
    rng = random.Random(1)
    loads = [make_load(0.05 * number) for number in range(8)]
    chosen = [
        len({select(rng, loads, unseen) for _ in range(400)}) for unseen in (0.5, 2, 20)
    ]
    assert chosen == sorted(set(chosen))
    assert chosen[-1] == 8


def test_targets_elsewhere_get_nothing_however_many_requests_are_unseen():
    """The gateways there fill them up as well."""
    rng = random.Random(1)
    loads = [make_load() for _ in range(4)]
    places = ["dc", "far", "dc", "far"]
    chosen = {select(rng, loads, 50.0, data_centres=places) for _ in range(100)}
    assert chosen == {0, 2}


def test_busy_local_targets_are_passed_over_for_remote_ones():
    rng = random.Random(1)
    loads = [make_load(0.3), make_load(), make_load(0.3), make_load()]
    places = ["dc", "far", "dc", "far"]
    chosen = {select(rng, loads, 3.0, data_centres=places) for _ in range(100)}
    assert chosen == {1, 3}


def test_plain_targets_are_chosen_by_the_requests_in_flight():
    rng = random.Random(1)
    loads = [TargetLoad(own_in_flight=count) for count in (9, 0, 9)]
    assert {select(rng, loads, model=None) for _ in range(50)} == {1}


def test_choice_among_many_targets_looks_at_few_of_them(monkeypatch):
    looked_at = []
    monkeypatch.setattr(
        TargetLoad,
        "estimated_in_flight",
        lambda load, now: looked_at.append(load) or 0,
    )
    select(random.Random(1), [make_load() for _ in range(300)], 5.0)
    assert len(looked_at) <= 32
