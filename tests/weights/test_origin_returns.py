"""Test which of two versions the origin sends first when it returns."""

import random
from types import SimpleNamespace

import pytest

from banyanshore.platform.origin import PlatformOrigin
from banyanshore.weights.exceptions import OriginAwayError, OriginError
from banyanshore.weights.relay import RelayedTransfer
from benchmarks.weights_bound import Fleet
from tests.ports import free_ports
from tests.weights.two_versions import play

# Seconds after a return in which the first chunks are asked for.
FIRST_SECONDS = 0.6


def make_schedule(seed):
    rng = random.Random(seed)
    away_from = rng.uniform(1.0, 2.5)
    return (away_from, away_from + rng.uniform(3.0, 7.0)), rng.uniform(0.5, 2.5)


def make_fleet():
    return Fleet(
        "two targets in three places",
        (2, 2, 2),
        (3, 3, 3),
        64,
        32_768,
        origin=5.94e6,
        gateway=20e6,
        target=3.8e6,
        region=4.2e6,
        delay=0.004,
        switch=9.27,
    )


@pytest.mark.parametrize("seed", range(8))
def test_origin_that_returns_is_asked_for_the_preferred_version_first(seed):
    """Whichever version asked first after the return went first."""
    away, named_after = make_schedule(seed)
    network = play(make_fleet(), away, named_after, seed)
    first = [
        (version, preferred)
        for seconds, version, preferred in network.asked
        if away[1] <= seconds < away[1] + FIRST_SECONDS
    ]
    assert first
    assert all(version == preferred for version, preferred in first)


def make_transfer(origin):
    settings = SimpleNamespace(version_switch_seconds=7.2, weights=None)
    spec = SimpleNamespace(name="m", version="2")
    return RelayedTransfer(lambda: origin, 8, 0.0, settings, spec, *[None] * 7)


class FailingOrigin:
    def __init__(self, error):
        self.error = error

    async def fetch_digests(self, model, version):
        raise self.error

    async def fetch_chunk(self, model, version, index, size):
        raise self.error


@pytest.mark.anyio
@pytest.mark.parametrize("error", [OriginAwayError("away"), OriginError("status 410")])
async def test_chunks_are_wanted_while_the_origin_is_away_but_not_if_it_refuses(error):
    """A version that the origin doesn't send any more must hold up no other."""
    transfer = make_transfer(FailingOrigin(error))
    assert not transfer.wants_origin_fetch()
    assert await transfer._fetch_digests_from_origin() == ()
    assert transfer.wants_origin_fetch() == isinstance(error, OriginAwayError)
    with pytest.raises(OriginError):
        await transfer._fetch_from_origin(0)
    assert transfer.wants_origin_fetch() == isinstance(error, OriginAwayError)


@pytest.mark.anyio
async def test_origin_without_a_listener_is_away():
    origin = PlatformOrigin(f"127.0.0.1:{free_ports(1)[0]}")
    with pytest.raises(OriginAwayError):
        await origin.fetch_chunk("m", 2, 0, 8)
