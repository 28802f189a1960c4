import math
import random

import pytest

from banyanshore.routing import retry_after
from banyanshore.routing.ranks import Rank
from banyanshore.routing.retry_after import (
    MAX_DELAY_PART,
    SPAN_BY_REASON,
    Reason,
    Span,
    retry_after_seconds,
)
from tests.simulation.loads import burst, make_plan, replay


def test_every_reason_has_a_span():
    assert set(SPAN_BY_REASON) == set(Reason)


@pytest.mark.parametrize("reason", list(Reason))
@pytest.mark.parametrize("left", [0.0, 0.3, 0.633, 6.0, math.inf])
def test_retry_leaves_time_for_the_answer(reason, left):
    rng = random.Random(1)
    for _ in range(50):
        seconds = retry_after_seconds(reason, left, rng)
        assert 0 <= seconds <= min(SPAN_BY_REASON[reason].latest, MAX_DELAY_PART * left)


@pytest.mark.parametrize("left", [0.633, 6.0])
def test_retries_of_callers_refused_together_are_spread(left):
    rng = random.Random(1)
    times = sorted(retry_after_seconds(Reason.FULL, left, rng) for _ in range(100))
    assert times[-1] > 1.5 * times[0]
    assert len({round(seconds, 3) for seconds in times}) > 50


def count_lost(seed):
    """Return the number of callers lost in a burst of 2 s at twice the capacity."""
    plan = make_plan(25, 12, targets=5, seed=seed, bursts=burst(5.4, 2.0))
    return sum(row.completed_at is None for row in replay(plan))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_spread_retries_lose_fewer_callers_than_simultaneous_ones(monkeypatch, seed):
    spread = count_lost(seed)
    at_once = dict.fromkeys(Reason, Span(0.4, 0.6))
    monkeypatch.setattr(retry_after, "SPAN_BY_REASON", at_once)
    assert 0 < spread < count_lost(seed)


def test_more_urgent_callers_return_earlier_and_all_are_spread():
    rng = random.Random(1)
    times_by_position = [
        [
            retry_after_seconds(Reason.FULL, 6.0, rng, rank=Rank(position, 3))
            for _ in range(100)
        ]
        for position in range(3)
    ]
    means = [sum(times) / len(times) for times in times_by_position]
    assert means[0] + 0.2 < means[1] < means[2] - 0.2
    for times in times_by_position:
        assert max(times) > min(times) + 0.4
    span = SPAN_BY_REASON[Reason.FULL]
    assert min(times_by_position[0]) >= span.earliest
    assert max(times_by_position[2]) <= span.latest
