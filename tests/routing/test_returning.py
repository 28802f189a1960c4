"""Test when refused callers return while weights are on their way to the targets."""

import heapq
import math
import random
from dataclasses import dataclass
from itertools import count

import pytest

from banyanshore.routing.ranks import Rank
from banyanshore.routing.retry_after import (
    MAX_DELAY_PART,
    SPAN_BY_REASON,
    WEIGHTS_REASONS,
    Reason,
    retry_after_seconds,
)
from banyanshore.routing.returning import SETTLE_SECONDS, Returning

TARGETS = 24
PLACES = 12
ANSWER_SECONDS = 1.2
BUDGET_SECONDS = 6.0
LONGEST = MAX_DELAY_PART * BUDGET_SECONDS
RANKS = 3


@dataclass
class Schedule:
    """When targets serve again, in seconds after the first refusal.

    :param load: new requests as a fraction of what all targets can serve.
    :param error: largest relative error of the expected times.
    :param news_seconds: seconds until gateways learn that a target serves.
    """

    ready_at: list
    load: float
    error: float
    news_seconds: float = 0.1


def make_schedule(seed):
    rng = random.Random(seed)
    first = rng.uniform(0.5, 4.0)
    spread = rng.uniform(0.2, 2.5)
    ready_at = sorted(first + rng.uniform(0.0, spread) for _ in range(TARGETS))
    return Schedule(ready_at, rng.uniform(0.5, 0.85), rng.uniform(0.0, 0.25))


@dataclass
class Play:
    """Outcomes of the requests of a schedule that were refused at first.

    :ivar returned: those that found room later.
    :ivar refused_again: those that found none.
    :ivar answered: all requests that found room.
    """

    returned: int = 0
    refused_again: int = 0
    answered: int = 0

    @property
    def share(self):
        return self.returned / max(1, self.returned + self.refused_again)


def play(schedule, seed, knows):
    """Play a schedule; callers come back once.

    :param knows: whether gateways know when targets are expected to serve.
    """
    rng = random.Random(seed)
    errors = [1 + rng.uniform(-schedule.error, schedule.error) for _ in range(TARGETS)]
    rate = schedule.load * TARGETS * PLACES / ANSWER_SECONDS
    events, order = [], count()
    end = max(schedule.ready_at) + 4.0
    at = rng.expovariate(rate)
    while at < end:
        heapq.heappush(events, (at, next(order), rng.randrange(RANKS), False))
        at += rng.expovariate(rate)
    used = [[] for _ in range(TARGETS)]
    outcome = Play()
    while events:
        now, _, rank, is_return = heapq.heappop(events)
        known = [r for r in schedule.ready_at if r + schedule.news_seconds <= now]
        for rows in used[: len(known)]:
            while rows and rows[0] <= now:
                heapq.heappop(rows)
        free = [rows for rows in used[: len(known)] if len(rows) < PLACES]
        if free:
            heapq.heappush(min(free, key=len), now + ANSWER_SECONDS)
            outcome.answered += 1
            outcome.returned += is_return
            continue
        if is_return:
            outcome.refused_again += 1
            continue
        returning = Returning()
        if knows:
            pairs = zip(schedule.ready_at, errors, strict=True)
            ready_in = [max(0.0, (ready - now) * error) for ready, error in pairs]
            returning = Returning(len(known), tuple(ready_in[len(known) :]))
        seconds = retry_after_seconds(
            Reason.FULL if known else Reason.NO_WEIGHTS,
            BUDGET_SECONDS,
            rng,
            rank=Rank(rank, RANKS),
            returning=returning,
        )
        assert seconds <= LONGEST
        heapq.heappush(events, (now + seconds, next(order), rank, True))
    return outcome


SEEDS = range(40)


@pytest.fixture(scope="module")
def plays_by_knowledge():
    """Return the plays of all schedules, without and with the expected times."""
    return {
        knows: [play(make_schedule(seed), seed, knows) for seed in SEEDS]
        for knows in (False, True)
    }


def test_more_callers_return_to_a_target_with_room(plays_by_knowledge):
    """Callers came back at the first moment, and were refused again."""
    shares, again = {}, {}
    for knows, plays in plays_by_knowledge.items():
        shares[knows] = sum(row.share for row in plays) / len(plays)
        again[knows] = sum(row.refused_again for row in plays)
    assert shares[True] > shares[False] + 0.03
    assert again[True] < 0.97 * again[False]


def test_no_fewer_requests_are_answered(plays_by_knowledge):
    """Callers that return late must not push as many new requests aside."""
    answered = {
        knows: sum(row.answered for row in plays)
        for knows, plays in plays_by_knowledge.items()
    }
    assert answered[True] >= answered[False]


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_wait_no_longer_than_they_need(seed):
    """A caller with much time is not kept waiting long after the targets serve."""
    rng = random.Random(seed)
    ready_in = tuple(rng.uniform(0.0, 5.0) for _ in range(TARGETS))
    returning = Returning(0, ready_in)
    for left in (0.3, 6.0, 60.0, math.inf):
        for _ in range(20):
            seconds = retry_after_seconds(
                Reason.NO_WEIGHTS, left, rng, returning=returning
            )
            assert 0 <= seconds <= MAX_DELAY_PART * left
            assert seconds <= 2 * max(ready_in) + SETTLE_SECONDS


def test_callers_return_when_most_targets_serve():
    """The first of the targets was ready 1.5 s earlier, and was overrun."""
    rng = random.Random(1)
    returning = Returning(0, (0.1, *([1.6] * 23)))
    times = [returning.draw_seconds(rng, 20.0) for _ in range(100)]
    assert min(times) >= 1.6
    assert max(times) > min(times) + 2.0


def test_callers_that_cannot_wait_as_long_return_as_late_as_they_can():
    rng = random.Random(1)
    returning = Returning(0, (9.0,) * TARGETS)
    times = [returning.draw_seconds(rng, LONGEST) for _ in range(100)]
    assert 0.8 * LONGEST <= min(times) < max(times) <= LONGEST
    assert max(times) > min(times) + 0.1 * LONGEST


def test_more_urgent_callers_return_earlier():
    rng = random.Random(1)
    returning = Returning(0, (0.5,) * TARGETS)
    means = [
        sum(
            returning.draw_seconds(rng, LONGEST, Rank(position, RANKS))
            for _ in range(100)
        )
        / 100
        for position in range(RANKS)
    ]
    assert means[0] + 0.2 < means[1] < means[2] - 0.2


@pytest.mark.parametrize(
    "returning",
    [
        Returning(),
        Returning(0, (math.inf,) * 3),
        Returning(9, (1.0,)),
        Returning(9, (math.inf,) * 9),
    ],
)
@pytest.mark.parametrize("reason", list(Reason))
def test_without_news_callers_return_as_before(reason, returning):
    seconds = [
        retry_after_seconds(reason, 6.0, random.Random(1), rank=Rank(1, 3), **options)
        for options in ({}, {"returning": returning})
    ]
    assert seconds[0] == seconds[1]


@pytest.mark.parametrize("reason", sorted(set(Reason) - WEIGHTS_REASONS))
def test_refusals_for_other_reasons_do_not_depend_on_weights(reason):
    rng = random.Random(1)
    returning = Returning(0, (40.0,) * TARGETS)
    longest = SPAN_BY_REASON[reason].latest
    assert retry_after_seconds(reason, math.inf, rng, returning=returning) <= longest
