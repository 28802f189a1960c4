"""Test the exchange of shares of the chunks between the first relays of regions."""

import random
from itertools import count

import pytest

from banyanshore.weights.exchange import (
    HELP_SECONDS,
    WHOLE_SHARE,
    SettledChunks,
    next_chunk,
    share_chunks,
)
from benchmarks.weights_bound import MOST_TIMES_BOUND, Fleet, play

CHUNKS = 48
SLOW, USUAL = 2e6, 4.7e6


def fleet(narrow):
    return Fleet(
        "three regions",
        (4, 4, 4),
        (5, 5, 5),
        CHUNKS,
        49_152,
        narrow,
        origin=15e6,
        gateway=20e6,
        target=4.7e6,
        region=USUAL,
        delay=0.008,
        switch=7.2,
    )


@pytest.fixture(autouse=True)
def seeded_transfers(monkeypatch):
    """Give each transfer a generator of the same seed in each run."""
    seeds = count()
    make = random.Random
    monkeypatch.setattr(
        "banyanshore.weights.transfer.random.Random",
        lambda *seed: make(*seed or (next(seeds),)),
    )


@pytest.mark.parametrize("region", ["dc-1", "dc-2"])
@pytest.mark.parametrize("away", [(100.0, 100.0), (0.5, 6.5)])
def test_slow_link_to_one_region_delays_no_target(region, away):
    """Its targets were whole after 10.4 s, all others after 5.0 s."""
    narrow = fleet({("dc-0", region): SLOW})
    whole, copies, pushed = play(narrow, away)
    since = away[1] if away[0] < away[1] < 100 else 0.0
    bound = narrow.bound_seconds(away) - since
    assert max(whole.values()) - since <= MOST_TIMES_BOUND * bound
    # Chunks that two members push to the same relay are few.
    assert pushed <= 1.0
    assert copies <= 1.15


@pytest.mark.parametrize("pair", [("dc-1", "dc-2"), ("dc-2", "dc-1")])
def test_slow_link_between_two_other_regions_delays_no_target(pair):
    slow = fleet({pair: SLOW / 4})
    whole, _, _ = play(slow, (100.0, 100.0))
    assert max(whole.values()) <= MOST_TIMES_BOUND * slow.bound_seconds((100.0, 100.0))


@pytest.mark.parametrize("number", [1, 2, 3])
def test_shares_are_all_chunks_and_overlap_nowhere(number):
    shares = [share_chunks((position, number), CHUNKS) for position in range(number)]
    assert sum(shares) == (1 << CHUNKS) - 1


@pytest.mark.parametrize("seed", range(50))
def test_each_missing_chunk_is_pushed_whoever_has_its_share(seed):
    """A relay that is away, or doesn't push its share, holds up no chunk."""
    rng = random.Random(seed)
    here = rng.getrandbits(CHUNKS)
    missing = here
    shares = rng.randint(1, 4)
    share = rng.randrange(shares), shares
    while missing:
        chunk = next_chunk(missing, share, CHUNKS, here)
        assert chunk.bit_count() == 1
        assert chunk & missing
        missing &= ~chunk


@pytest.mark.parametrize("seed", range(50))
def test_chunks_of_other_shares_wait_for_their_sender(seed):
    rng = random.Random(seed)
    missing = rng.getrandbits(CHUNKS)
    for position in range(3):
        chunk = next_chunk(missing, (position, 3), CHUNKS, 0)
        own = missing & share_chunks((position, 3), CHUNKS)
        assert chunk == own & -own


def test_all_chunks_are_pushed_in_order_to_members_without_partners():
    assert next_chunk(0b1010, WHOLE_SHARE, 4, 0) == 0b10


def test_chunks_settle_after_a_while():
    settled = SettledChunks(0b1)
    settled.record(10.0, 2)
    settled.record(10.2, 1)
    assert settled.at(10.0 + HELP_SECONDS - 0.01) == 0b1
    assert settled.at(10.0 + HELP_SECONDS) == 0b101
    assert settled.at(10.2 + HELP_SECONDS) == 0b111
