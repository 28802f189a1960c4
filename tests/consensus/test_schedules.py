"""The invariants of the replicated log hold under random schedules of faults."""

import os

import pytest

from tests.consensus.chaos import Chaos
from tests.consensus.cluster import Cluster

# Set the environment variable to run more schedules by hand.
SCHEDULES = int(os.environ.get("BANYANSHORE_SCHEDULES", "40"))


def run_schedule(seed, size, faults=None, seconds=20.0):
    cluster = Cluster(seed, size, faults)
    cluster.run(3.0)
    cluster.run(seconds, Chaos(cluster))
    cluster.heal()
    cluster.run(15.0)
    cluster.check_converged()
    # A healed cluster must accept a patch, whatever happened before. During a schedule
    # there may be no quorum for a long time, as with seed 365.
    accepted = len(cluster.acked_version_by_request)
    cluster.patch(cluster.leader())
    cluster.run(2.0)
    assert len(cluster.acked_version_by_request) == accepted + 1
    cluster.check_converged()
    return cluster


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_invariants_hold_with_three_voters(seed):
    run_schedule(seed, 3)


@pytest.mark.parametrize("seed", range(SCHEDULES // 4))
def test_invariants_hold_with_five_voters(seed):
    run_schedule(1000 + seed, 5)
