"""The cost of a change, which has to follow its own size, not that of the document.

With thousands of routes and changes 0.33 s apart, event loops of control and gateways
had no time for heartbeats.
"""

import pytest

from banyanshore.gateway.screening import Screening
from banyanshore.state import PublishedState, StateHolder, StateMachine
from banyanshore.state.commands import PatchCommand
from banyanshore.state.document import to_json
from banyanshore.state.views import DesiredState
from tests.work import count_work

FEW, MANY = 300, 3000


def make_route(number, **options):
    return {
        "host": f"h{number % 20}.example",
        "prefix": f"/r{number}/",
        "kind": "idempotent",
        "services": [{"service": "s", "weight": 1}],
        "timeout_seconds": 1.5,
        **options,
    }


def make_patch(first, count, **options):
    """Return a patch that adds or replaces routes."""
    routes = {f"r{n}": make_route(n, **options) for n in range(first, first + count)}
    return {"routes": routes, "services": {"s": {"kind": "direct"}}}


def apply_patch(machine, patch):
    index = machine.version + 1
    command = PatchCommand(f"id-{index}", machine.version, to_json(patch), 0.0)
    outcome = machine.apply(index, 1, command)
    assert outcome.version == index, outcome


def machine_with(count):
    machine = StateMachine()
    apply_patch(machine, make_patch(0, count))
    # The first change may build what later ones use.
    apply_patch(machine, make_patch(0, 1, timeout_seconds=2.0))
    return machine


def states_with(count):
    """Return two versions that differ in one route, and a holder of the first."""
    machine = machine_with(count)
    before = machine.published_state()
    apply_patch(machine, make_patch(count, 1))
    after = machine.published_state()
    delta = DesiredState(after).delta_from(DesiredState(before))
    holder = StateHolder()
    screening = Screening(0.0, 2.25)
    holder.on_change.append(lambda desired: screening.use(desired.document))
    holder.apply(PublishedState(before.version, before.fence, before.document))
    holder.apply_delta(delta)
    machine_after = machine_with(count)
    apply_patch(machine_after, make_patch(count, 1))
    apply_patch(machine_after, make_patch(count, 1, timeout_seconds=3.0))
    last = DesiredState(machine_after.published_state()).delta_from(DesiredState(after))
    return holder, last


def assert_independent_of_size(work_by_size):
    few, many = (work_by_size[size] for size in (FEW, MANY))
    assert many.calls < 2 * few.calls
    assert many.json_bytes < 2 * few.json_bytes


def test_cost_of_accepting_a_change_does_not_grow_with_the_routes():
    """Each control instance checked and encoded all routes for a change of one."""

    def work_with(count):
        machine = machine_with(count)
        patch = make_patch(count, 1)
        return count_work(lambda: apply_patch(machine, patch))

    assert_independent_of_size({size: work_with(size) for size in (FEW, MANY)})


def test_cost_of_a_change_at_a_gateway_does_not_grow_with_the_routes():
    """Each gateway encoded, decoded and indexed all routes for a change of one."""

    def work_with(count):
        holder, delta = states_with(count)
        version = holder.version
        work = count_work(lambda: holder.apply_delta(delta))
        assert holder.version == version + 1
        return work

    assert_independent_of_size({size: work_with(size) for size in (FEW, MANY)})


@pytest.mark.parametrize("removed", ["routes", "services"])
def test_invalid_change_is_refused_among_valid_rows(removed):
    machine = machine_with(FEW)
    command = PatchCommand(
        "id", machine.version, to_json({"services": {"s": None}}), 0.0
    )
    if removed == "routes":
        patch = {"routes": {"r9": {"prefix": "/r8/", "host": "h8.example"}}}
        command = PatchCommand("id", machine.version, to_json(patch), 0.0)
    outcome = machine.apply(99, 1, command)
    assert outcome.status == "invalid"
    assert machine.version == 2
