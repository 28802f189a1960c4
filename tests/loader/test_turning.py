"""Test in which order and when the targets of a fleet turn to a version."""

import random
from dataclasses import dataclass, replace

import pytest

from banyanshore.loader.turning import (
    CHECK_SECONDS,
    TurnState,
    plan_turn,
    should_drain,
    turn_share,
)
from banyanshore.weights.ready_time import DRAIN_SECONDS, drain_seconds
from banyanshore.weights.version_order import (
    LOAD_SECONDS,
    VersionState,
    version_to_load,
)

STEP_SECONDS = 0.02
ACTIVE = 9
TURN_SECONDS = drain_seconds(ACTIVE) + LOAD_SECONDS


def make_names(counts):
    return {
        f"dc-{number}": {f"loader-{number}-{place}" for place in range(count)}
        for number, count in enumerate(counts)
    }


@pytest.mark.parametrize("counts", [(1,), (2, 2, 1), (5, 6, 6), (8, 8, 8), (3, 20)])
@pytest.mark.parametrize("groups", [2, 3, 4])
def test_each_group_has_its_part_of_each_data_centre(counts, groups):
    """Waves by name alone took most of a data centre at once."""
    names = make_names(counts)
    total = [0] * groups
    for row in names.values():
        sizes = [0] * groups
        for name in row:
            sizes[int(turn_share(name, names, 2) * groups)] += 1
        assert max(sizes) <= len(row) / groups + 1
        total = [one + two for one, two in zip(total, sizes, strict=True)]
    assert max(total) <= sum(counts) / groups + len(counts)


def test_order_differs_between_versions():
    names = make_names((5, 5))
    orders = {
        tuple(
            sorted(
                (name for row in names.values() for name in row),
                key=lambda name: turn_share(name, names, version),
            )
        )
        for version in range(2, 12)
    }
    assert len(orders) > 5


def test_loader_that_is_not_known_yet_has_a_place():
    assert turn_share("loader-9", make_names((2, 2)), 2) == 0.0


@dataclass(frozen=True)
class Row:
    """A target of a schedule, with the time for which its requests still run."""

    name: str
    data_centre: str
    whole_at: float
    drain_seconds: float


@dataclass(frozen=True)
class Schedule:
    """A fleet that turns.

    :param demand: part of the targets that the requests need.
    """

    rows: tuple
    load_by: float
    demand: float

    def names(self):
        names = {}
        for row in self.rows:
            names.setdefault(row.data_centre, set()).add(row.name)
        return names


def make_schedule(seed):
    rng = random.Random(seed)
    load_by = rng.uniform(7.2, 9.3)
    whole_at = rng.uniform(3.5, load_by - 0.3)
    spread = rng.uniform(0.0, 0.8)
    per_data_centre = rng.randint(2, 8)
    rows = tuple(
        Row(
            f"loader-{number}-{place}",
            f"dc-{number}",
            whole_at + rng.uniform(0.0, spread),
            rng.uniform(0.25, 1.0) * DRAIN_SECONDS,
        )
        for number in range(3)
        for place in range(per_data_centre)
    )
    return Schedule(rows, load_by, rng.uniform(0.4, 0.85))


def planned_turns(schedule):
    """Return when each target is out, as planned; loads begin as soon as they may."""
    names = schedule.names()
    for row in schedule.rows:
        share = turn_share(row.name, names, 2)
        state = TurnState(
            share, len(schedule.rows), row.whole_at, schedule.load_by, ACTIVE
        )
        begins_at = min(plan_turn(state).begins_at, schedule.load_by)
        yield row, begins_at, max(begins_at + row.drain_seconds, row.whole_at)


def waves_by_name(schedule):
    """Return when each target was out in three waves, as it was before."""
    ranked = sorted(row.name for row in schedule.rows)
    random.Random(1).shuffle(ranked)
    for row in schedule.rows:
        place = ranked.index(row.name)
        if place < int(0.3 * len(ranked)):
            drained_at = max(
                row.whole_at, row.whole_at - DRAIN_SECONDS + row.drain_seconds
            )
            yield row, row.whole_at - DRAIN_SECONDS, drained_at
            continue
        begins_at = row.whole_at + 0.4
        if place >= int(0.6 * len(ranked)):
            switch_at = min(schedule.load_by, row.whole_at + 1.6)
            begins_at = max(row.whole_at, switch_at)
        yield row, begins_at, begins_at + row.drain_seconds


def lost_seconds(schedule, turns):
    """Return the seconds of all demand that the targets which serve can't take."""
    turns = list(turns)
    lost, now = 0.0, 0.0
    while now < schedule.load_by + 5.0:
        out = sum(
            begins_at <= now < drained_at + LOAD_SECONDS
            for _, begins_at, drained_at in turns
        )
        serving = 1 - out / len(turns)
        lost += STEP_SECONDS * max(0.0, schedule.demand - serving)
        now += STEP_SECONDS
    return lost


SCHEDULES = [make_schedule(seed) for seed in range(150)]


def has_time(schedule):
    whole_at = max(row.whole_at for row in schedule.rows)
    return schedule.load_by - whole_at > DRAIN_SECONDS


def test_groups_cost_callers_less_than_waves():
    """The waves were 0.4 s apart, and all targets were out at the same time."""
    waves = sum(lost_seconds(row, waves_by_name(row)) for row in SCHEDULES)
    planned = sum(lost_seconds(row, planned_turns(row)) for row in SCHEDULES)
    assert planned < 0.85 * waves


def test_groups_cost_much_less_where_there_is_time():
    schedules = [row for row in SCHEDULES if has_time(row)]
    assert len(schedules) > 20
    waves = sum(lost_seconds(row, waves_by_name(row)) for row in schedules)
    planned = sum(lost_seconds(row, planned_turns(row)) for row in schedules)
    assert planned < 0.65 * waves


@pytest.mark.parametrize("number", range(0, 150, 5))
def test_targets_turn_by_the_bound_and_without_need_not_before(number):
    schedule = SCHEDULES[number]
    for row, begins_at, _ in planned_turns(schedule):
        first_at = row.whole_at - drain_seconds(ACTIVE)
        assert begins_at >= min(first_at, schedule.load_by)
        assert begins_at <= schedule.load_by + 1e-9


@pytest.mark.parametrize("turns", [1, 2, 3, 5])
@pytest.mark.parametrize("counts", [(2, 2, 1), (6, 6, 6), (8, 8, 7)])
def test_no_more_are_out_at_once_than_on_paper(turns, counts):
    """With time for some turns in a row, one group of as many and one are out."""
    names = make_names(counts)
    load_by = 10.0
    whole_at = load_by - turns * TURN_SECONDS + drain_seconds(ACTIVE)
    begins_by_data_centre = {
        data_centre: sorted(
            plan_turn(
                TurnState(
                    turn_share(name, names, 2), sum(counts), whole_at, load_by, ACTIVE
                )
            ).begins_at
            for name in row
        )
        for data_centre, row in names.items()
    }
    groups = min(turns + 1, sum(counts))
    for begins in begins_by_data_centre.values():
        for now in begins:
            out = sum(at <= now < at + TURN_SECONDS - 1e-6 for at in begins)
            assert out <= len(begins) / groups + 1


STATE = TurnState(0.0, 6, 5.0, 9.0, ACTIVE)


def test_first_group_drains_while_the_last_chunks_arrive():
    turn = plan_turn(STATE)
    assert turn.begins_at == 5.0 - drain_seconds(ACTIVE)
    assert not should_drain(turn.begins_at - 0.1, turn, STATE, 0.0)
    assert should_drain(turn.begins_at + 0.1, turn, STATE, 0.0)


def test_targets_keep_serving_while_no_chunks_arrive():
    """Three tenths of all targets idled while the origin was unavailable for 6 s."""
    turn = plan_turn(STATE)
    assert should_drain(4.5, turn, STATE, 0.2)
    assert not should_drain(4.5, turn, STATE, 1.5)
    assert should_drain(9.0, turn, STATE, 6.0)


def test_target_whose_weights_are_late_serves_until_the_switch():
    late = replace(STATE, whole_at=9.5)
    turn = plan_turn(late)
    assert not should_drain(8.5, turn, late, 0.0)
    assert should_drain(9.6, turn, late, 0.0)


def test_idle_targets_turn_one_after_the_other_without_a_pause():
    begins = [plan_turn(TurnState(n / 4, 4, 5.0, 60.0, 0)).begins_at for n in range(4)]
    assert begins == pytest.approx([5.0, 5.6, 6.2, 6.8])


def test_all_turn_at_once_if_the_switch_has_passed():
    for share in (0.0, 0.5, 0.9):
        turn = plan_turn(replace(STATE, share=share, load_by=3.0))
        assert turn.begins_at <= 5.0


@pytest.mark.parametrize("seed", range(200))
def test_each_group_turns_in_time_for_a_version_that_another_one_follows(seed):
    """The last group turned at the end of the grace period, which was too late."""
    rng = random.Random(seed)
    switch, targets = rng.uniform(6.0, 10.0), rng.randint(3, 24)
    named_after = rng.uniform(1.0, 5.0)
    whole_at = rng.uniform(0.5, 0.9) * switch
    older, newer = VersionState(2, 0.0, 0.0), VersionState(3, named_after, 1.0)
    for position in range(targets):
        state = TurnState(
            position / targets,
            targets,
            whole_at,
            switch,
            rng.randint(0, 12),
            named_after + switch,
        )
        if whole_at > state.latest_begin:
            continue
        now = max(whole_at, plan_turn(state).begins_at) + CHECK_SECONDS
        plan = now, older, newer, switch, 1, 2
        if version_to_load(*plan) == 2:
            end_seconds = drain_seconds(state.active)
            assert version_to_load(*plan, end_seconds=end_seconds) == 2
