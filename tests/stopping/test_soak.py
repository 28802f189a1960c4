"""Gateways that are stopped by series of signals lose nothing that they have taken."""

import os

import pytest

from tests.stopping.soak import play
from tests.stopping.soak_plan import draw_plan
from tests.stopping.soak_rules import describe, judge

pytestmark = pytest.mark.anyio

# Seeds that CI plays.
SEEDS = range(3)
# Number of further seeds that are played by hand.
MORE_SEEDS = int(os.environ.get("BANYANSHORE_SOAK_SEEDS", "0"))


@pytest.mark.parametrize("seed", [*SEEDS, *range(100, 100 + MORE_SEEDS)])
async def test_a_soak_breaks_no_rule_on_planned_stops(tmp_path, seed):
    """Overlapping signals and restarts ended requests without a whole answer."""
    plan = draw_plan(seed)
    record = await play(plan, tmp_path)
    findings = judge(plan, record)
    assert not findings, describe(plan, record, findings)
