"""Test roles, fallbacks and fault tolerance of the transfer planner."""

import random

import pytest

from banyanshore.weights.placement import Member, Placement
from banyanshore.weights.planner import TransferPlanner
from banyanshore.weights.planner_rows import ORIGIN, PlannerOptions
from benchmarks.link_model import Faults, LinkModel

DIGESTS = [f"chunk-{index}" for index in range(40)]


def members(count=9, data_centres=3, regions=3):
    return [
        Member(
            f"agent-{number}",
            f"dc-{number % data_centres}",
            f"region-{number % data_centres % regions}",
        )
        for number in range(count)
    ]


def make_planner(member, placement, **options):
    return TransferPlanner(
        member.instance,
        member.data_centre,
        DIGESTS,
        placement,
        PlannerOptions(**options),
        random.Random(1),
        0.0,
    )


def test_each_chunk_has_one_origin_fetcher():
    rows = members()
    placement = Placement(rows)
    for digest in DIGESTS:
        origin_fetchers = [
            row
            for row in rows
            if placement.role(row.instance, row.data_centre, digest).rank == 0
            and not placement.upstream(row.data_centre, digest)
        ]
        assert len(origin_fetchers) == 1


def test_chunk_enters_each_region_once():
    rows = members(30, 6, 3)
    placement = Placement(rows)
    region_of = {row.data_centre: row.region for row in rows}
    for digest in DIGESTS:
        crossings = [
            data_centre
            for data_centre in region_of
            if (upstream := placement.upstream(data_centre, digest))
            and region_of[upstream] != region_of[data_centre]
        ]
        assert len(crossings) == 2
        assert len({region_of[name] for name in crossings}) == 2


def test_remaining_members_keep_their_chunks_when_one_leaves():
    rows = members(9, 1, 1)
    before, after = Placement(rows), Placement(rows[1:])
    moved = 0
    for digest in DIGESTS:
        first = before.holders("dc-0", digest)[0]
        moved += after.holders("dc-0", digest)[0] != first
        assert first == rows[0].instance or first == after.holders("dc-0", digest)[0]
    assert moved < len(DIGESTS) / 3


def test_chunks_that_become_due_late_are_not_starved():
    # Due chunks were once requested in the order of their indices: with one fetch at a
    # time, those whose source replied "queued" came first again and again.
    rows = members(2, 2, 2)
    placement = Placement(rows)
    importer = rows[0]
    planner = make_planner(importer, placement, max_peer_fetches=1, retry_delay=0.1)
    asked = set()
    now = 0.0
    for _ in range(200):
        now += 0.1
        for fetch in planner.tick(now):
            if fetch.source != ORIGIN:
                asked.add(fetch.index)
                planner.record_failure(now, fetch, "queued")
            else:
                planner.record_received(fetch.index)
    imports = {
        index
        for index, digest in enumerate(DIGESTS)
        if placement.upstream(importer.data_centre, digest)
    }
    assert asked == imports


def test_holders_are_the_agents_of_lowest_rank():
    placement = Placement(members(30, 3, 3))
    for digest in DIGESTS:
        ranked_agents = placement.ranked_agents("dc-1", digest)
        assert placement.holders("dc-1", digest) == tuple(ranked_agents[:3])
        ranks = [placement.role(name, "dc-1", digest).rank for name in ranked_agents]
        assert ranks == list(range(10))


def test_agent_of_next_rank_takes_over_from_a_dead_origin_fetcher():
    rows = members(2, 1, 1)
    planner = make_planner(rows[1], Placement(rows), takeover_timeout=2.0)
    from_origin, now = set(), 0.0
    while now < 10:
        now += 0.1
        for fetch in planner.tick(now):
            if fetch.source == ORIGIN:
                from_origin.add(fetch.index)
                planner.record_received(fetch.index)
            else:
                planner.record_failure(now, fetch, "")
    assert planner.is_complete
    assert from_origin == set(range(len(DIGESTS)))


def test_chunks_of_another_data_centre_are_not_fetched_from_origin_again():
    # Two agents in each of three data centres: the other agent of dc-0 and those of
    # dc-1 are dead, and those of dc-2 have all chunks.
    rows = members(6, 3, 3)
    placement = Placement(rows)
    planner = make_planner(rows[0], placement, takeover_timeout=1.0)
    living = {row.instance for row in rows if row.data_centre == "dc-2"}
    from_origin, now = set(), 0.0
    while not planner.is_complete and now < 60:
        now += 0.1
        for fetch in planner.tick(now):
            if fetch.source == ORIGIN:
                from_origin.add(fetch.index)
            elif fetch.source not in living:
                planner.record_failure(now, fetch, "")
                continue
            planner.record_received(fetch.index)
    assert planner.is_complete
    own = {
        index
        for index, digest in enumerate(DIGESTS)
        if not placement.upstream("dc-0", digest)
        and placement.holders("dc-0", digest)[0] == "agent-0"
    }
    assert from_origin == own


def test_chunks_that_nobody_has_are_fetched_from_origin_after_asking_all():
    rows = members(6, 3, 3)
    planner = make_planner(rows[0], Placement(rows), takeover_timeout=1.0)
    now = 0.0
    while not planner.is_complete and now < 60:
        now += 0.1
        for fetch in planner.tick(now):
            if fetch.source == ORIGIN:
                planner.record_received(fetch.index)
            else:
                planner.record_failure(now, fetch, "missing")
    assert planner.is_complete


@pytest.mark.parametrize("seed", range(3))
def test_origin_sends_one_copy_despite_failing_machines(seed):
    faults = Faults(dying=0.05, stalled=0.05, corrupt=0.01)
    outcome = LinkModel(44, 48, faults=faults, seed=seed).run()
    assert outcome.completed == outcome.living
    assert outcome.origin_copies <= 1.1


def test_origin_sends_one_copy_over_shared_links():
    outcome = LinkModel(44, 48, shared=True).run()
    assert outcome.origin_copies <= 1.1


def test_agent_of_next_rank_waits_while_the_origin_fetcher_is_fetching():
    rows = members(2, 1, 1)
    planner = make_planner(rows[1], Placement(rows), takeover_timeout=1.0)
    now = 0.0
    from_origin = set()
    while now < 20:
        now += 0.1
        for fetch in planner.tick(now):
            if fetch.source == ORIGIN:
                from_origin.add(fetch.index)
                planner.record_received(fetch.index)
            else:
                planner.record_failure(now, fetch, "queued")
    placement = Placement(rows)
    expected = {
        index
        for index, digest in enumerate(DIGESTS)
        if placement.holders("dc-0", digest)[0] == rows[1].instance
    }
    assert from_origin == expected


def test_source_of_a_corrupt_chunk_is_paused():
    rows = members(3, 1, 1)
    planner = make_planner(rows[0], Placement(rows))
    planner.set_neighbours(["agent-1", "agent-2"])
    everything = (1 << len(DIGESTS)) - 1
    planner.record_have("agent-1", everything, 0)
    fetch = next(f for f in planner.tick(1.0) if f.source == "agent-1")
    planner.record_corrupt(1.0, fetch)
    later = planner.tick(1.1)
    assert all(other.source != "agent-1" for other in later)
    assert not planner.have >> fetch.index & 1


def test_rarest_chunk_is_fetched_first():
    rows = members(4, 1, 1)
    planner = make_planner(rows[0], Placement(rows), max_origin_fetches=0)
    planner.set_neighbours(["agent-1", "agent-2", "agent-3"])
    planner.record_have("agent-1", 0b0111, 0)
    planner.record_have("agent-2", 0b0011, 0)
    planner.record_have("agent-3", 0b0011, 0)
    first = planner.tick(0.1)[0]
    assert (first.index, first.source) == (2, "agent-1")


@pytest.mark.parametrize(
    "faults",
    [
        Faults(),
        Faults(dying=0.2),
        Faults(stalled=0.2),
        Faults(corrupt=0.05),
        Faults(0.1, 0.1, 0.02),
    ],
)
@pytest.mark.parametrize("seed", range(3))
def test_all_living_machines_get_all_chunks(faults, seed):
    outcome = LinkModel(24, 32, faults=faults, seed=seed).run(max_slots=2000)
    assert outcome.completed == outcome.living
    assert outcome.slots < 2000
    assert outcome.origin_copies <= 4


def count_origin_fetches(begun, **options):
    """Return the origin fetches of two data centres, the second of which joins late.

    :param begun: number of chunks that the first one has when the second one joins.
    """
    rows = members(2, 2, 2)
    alone, both = Placement(rows[:1]), Placement(rows)
    first = make_planner(rows[0], alone, max_peer_fetches=2)
    planners = {rows[0].instance: first}
    centres = {row.instance: row.data_centre for row in rows}
    origin_fetches, now = 0, 0.0
    while not all(planner.is_complete for planner in planners.values()):
        now += 0.1
        if first.have.bit_count() >= begun and len(planners) == 1:
            first.set_placement(now, both)
            late = rows[1]
            planners[late.instance] = make_planner(late, both, **options)
        for name, planner in planners.items():
            for fetch in planner.tick(now):
                source = planners.get(fetch.source)
                if fetch.from_origin:
                    origin_fetches += 1
                    planner.record_received(fetch.index)
                elif source.have >> fetch.index & 1:
                    planner.record_received(fetch.index)
                else:
                    reason = source.availability(fetch.index, centres[name])
                    planner.record_failure(now, fetch, reason)
        assert now < 120.0
    return origin_fetches


@pytest.mark.parametrize("begun", [1, 10, 20, 38])
def test_late_agent_fetches_from_origin_only_what_nobody_has(begun):
    """It used to fetch its share although the other one had it: 1.67 copies."""
    assert count_origin_fetches(begun, asks_other_data_centres=True) == len(DIGESTS)


def test_check_detects_late_agent_that_asks_no_other_data_centre():
    """Inject the fault: decide as before the fix."""
    assert count_origin_fetches(30) > 1.1 * len(DIGESTS)
