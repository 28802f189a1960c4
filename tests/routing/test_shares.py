"""Per-gateway shares of limits that apply to all gateways together."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banyanshore.routing.shares import ColdShares, RetryShare, SlidingCount


def test_sliding_count_forgets_events_before_the_window():
    count = SlidingCount(1.0)
    for now in (0.0, 0.5, 0.9):
        count.add(now)
    assert count.count(1.0) == 3
    assert count.count(1.6) == 1


@pytest.mark.parametrize("number", [1, 8, 41, 300])
@pytest.mark.parametrize("per_second", [4.0, 36.0])
def test_all_gateways_at_once_keep_a_cold_target_within_its_bound(number, per_second):
    names = [f"gateway-{i}" for i in range(number)]
    shares = {name: ColdShares(name, 1.5, 5.0) for name in names}
    sent = []
    for step in range(300):
        now = step / 100
        for name in names:
            if shares[name].has_room(now, "target", per_second, names):
                shares[name].record_sent(now, "target")
                sent.append(now)
    for start in range(200):
        window = [t for t in sent if start / 100 <= t < start / 100 + 1]
        assert len(window) <= per_second * 1.5 + 5
    assert sent


@given(st.integers(1, 60), st.integers(0, 200), st.randoms(use_true_random=False))
def test_retries_of_all_gateways_stay_within_the_budget(gateways, requests, rng):
    shares = [RetryShare(0.2, 104, 10.0) for _ in range(gateways)]
    for _ in range(requests):
        rng.choice(shares).record_request(0.0)
    retries = sum(
        shares[i % gateways].try_spend(0.0, gateways) for i in range(requests * 3 + 300)
    )
    assert retries <= 0.2 * requests + 104


def test_retries_become_available_after_the_window():
    share = RetryShare(0.0, 5, 10.0)
    assert sum(share.try_spend(0.0, 1) for _ in range(20)) == 4
    assert share.try_spend(10.5, 1)


def test_counts_of_targets_that_are_gone_are_forgotten():
    shares = ColdShares("a", 1.0, 0.0)
    shares.record_sent(0.0, "old")
    shares.keep_only({"new"})
    assert shares.has_room(0.0, "old", 2.0, ["a"])
