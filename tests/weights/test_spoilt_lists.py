"""A fleet whose origin spoils lists of digests and chunks, in virtual time."""

import random
from types import SimpleNamespace

import anyio
import pytest

from banyanshore.weights.carried import find_receiver
from banyanshore.weights.exceptions import OriginError
from banyanshore.weights.manifest import digest_of
from banyanshore.weights.named_digests import NamedDigests
from banyanshore.weights.relay import RelayedTransfer
from banyanshore.weights.relay_messages import ChunkPush
from benchmarks import weights_bound
from benchmarks.weights_bound import Fleet, Network, Origin
from tests.weights.virtual_time import run_in_virtual_time

SWITCH_SECONDS = 9.27
# Seconds after which a play is given up.
PLAY_SECONDS = 200
# Largest share of the origin's answers that the users' deployments spoil.
SPOILT_SHARE = 0.04


def make_fleet(targets=2):
    return Fleet(
        "two targets in three places",
        (targets, 2, 2),
        (3, 3, 3),
        64,
        32_768,
        origin=15e6,
        gateway=20e6,
        target=15e6,
        region=15e6,
        delay=0.004,
        switch=SWITCH_SECONDS,
    )


class SpoilingOrigin(Origin):
    """Spoil some lists and chunks, and count the lists.

    :cvar lists_to_spoil: number of the first lists that get one wrong digit each.
    """

    lists_to_spoil = 0
    chunk_share = 0.0
    random = random.Random(0)
    lists = 0
    away_after_lists = 10**6

    async def fetch_digests(self, model, version):
        cls = SpoilingOrigin
        if cls.lists >= cls.away_after_lists:
            raise OriginError("away", step="fetch-digests")
        cls.lists += 1
        is_spoilt = cls.lists <= cls.lists_to_spoil
        digests = list(await super().fetch_digests(model, version))
        if is_spoilt:
            index = cls.random.randrange(len(digests))
            digit = "0" if digests[index][5] != "0" else "1"
            digests[index] = digests[index][:5] + digit + digests[index][6:]
        return tuple(digests)

    async def fetch_chunk(self, model, version, index, chunk_bytes):
        data = await super().fetch_chunk(model, version, index, chunk_bytes)
        if SpoilingOrigin.random.random() < SpoilingOrigin.chunk_share:
            position = SpoilingOrigin.random.randrange(len(data))
            return data[:position] + b"\xff" + data[position + 1 :]
        return data


@pytest.fixture
def origin(monkeypatch):
    for name in ("lists_to_spoil", "chunk_share", "lists", "away_after_lists"):
        monkeypatch.setattr(SpoilingOrigin, name, getattr(SpoilingOrigin, name))
    monkeypatch.setattr(SpoilingOrigin, "random", random.Random(0))
    monkeypatch.setattr(weights_bound, "Origin", SpoilingOrigin)
    return SpoilingOrigin


def play(fleet, seed=0):
    """Return the network, and the seconds after which each target was whole."""

    async def run():
        network = Network(fleet, (100.0, 100.0))
        with anyio.fail_after(PLAY_SECONDS):
            return network, await network.run()

    return run_in_virtual_time(run, seed)


def check_whole(network, whole):
    """Check that all targets have exactly the chunks of the version, in time."""
    assert len(whole) == sum(network.fleet.targets)
    for name in whole:
        transfer = network.transfer_by_instance[name]
        digests = transfer.manifest.chunk_digests
        assert digests == network.digests
        assert [transfer._store.get(digest) for digest in digests] == network.data
    assert max(whole.values()) < SWITCH_SECONDS


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("lists_to_spoil", [1, 2, 3, 6, 30])
def test_version_arrives_although_lists_of_digests_are_spoilt(
    origin, seed, lists_to_spoil
):
    """A wrong digit was never noticed, and the version never arrived."""
    origin.random = random.Random(seed)
    origin.lists_to_spoil = lists_to_spoil
    check_whole(*play(make_fleet(), seed))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("lists_to_spoil", [0, 2])
def test_version_arrives_although_chunks_are_spoilt_too(origin, seed, lists_to_spoil):
    origin.random = random.Random(seed)
    origin.lists_to_spoil = lists_to_spoil
    origin.chunk_share = SPOILT_SHARE
    check_whole(*play(make_fleet(), seed))


def test_members_with_right_lists_request_no_further_ones(origin):
    """Each answer of the origin has a price."""
    origin.chunk_share = SPOILT_SHARE
    network, whole = play(make_fleet())
    check_whole(network, whole)
    assert origin.lists == len(network.transfer_by_instance)


def test_number_of_further_lists_is_bounded(origin):
    """They would keep an origin busy whose lists stay wrong."""
    origin.lists_to_spoil = 10**6
    origin.chunk_share = 1.0
    with pytest.raises(TimeoutError):
        play(make_fleet())
    members = 6 + 3 * 3
    # A pause doubles up to sixteen seconds.
    assert origin.lists <= members * (1 + 6 + PLAY_SECONDS / 16)


DATA = (b"one", b"two", b"three")
DIGESTS = tuple(map(digest_of, DATA))
SPOILT_DIGESTS = (DIGESTS[0], "f" * 64, DIGESTS[2])


def make_transfer(digests):
    """Return a transfer that has received a list and no chunk."""
    settings = SimpleNamespace(version_switch_seconds=7.2, weights=None)
    spec = SimpleNamespace(name="m", version="2")
    transfer = RelayedTransfer(lambda: None, 5, 0.0, settings, spec, *[None] * 7)
    transfer.manifest = transfer._make_manifest(digests)
    transfer._named = NamedDigests(digests)
    transfer.planner = SimpleNamespace(have=0)
    return transfer


def test_member_in_doubt_hands_its_list_to_nobody():
    """Its peers would keep the wrong list."""
    transfer = make_transfer(SPOILT_DIGESTS)
    assert transfer.manifest_content("m/2")
    for _ in range(2):
        assert not transfer._check_arrival(1, DIGESTS[1])
    assert transfer.manifest_content("m/2") == b""
    transfer._named.add_list(DIGESTS)
    assert transfer._check_arrival(1, DIGESTS[1])
    assert transfer.manifest.chunk_digests == DIGESTS
    assert transfer.manifest_content("m/2") == transfer.manifest.content


@pytest.mark.parametrize("index", [0, 1, 2])
def test_pushed_chunk_finds_its_version_although_the_lists_differ(index):
    """A parent with a wrong list had all its chunks refused."""
    transfer, other = make_transfer(DIGESTS), make_transfer(("e" * 64,) * 3)
    parent = make_transfer(SPOILT_DIGESTS)
    push = ChunkPush(parent.manifest.digest, index, DATA[index])
    assert find_receiver([other, transfer], push) is transfer


def test_chunk_that_no_list_names_is_given_to_the_one_version_that_lacks_it():
    """It tells that the list is wrong."""
    transfer = make_transfer(SPOILT_DIGESTS)
    push = ChunkPush("another list", 1, DATA[1])
    assert find_receiver([transfer], push) is transfer
    assert find_receiver([transfer, make_transfer(SPOILT_DIGESTS)], push) is None
    transfer.planner.have = 0b010
    assert find_receiver([transfer], push) is None


@pytest.mark.anyio
@pytest.mark.parametrize("count", [2, 4])
async def test_list_with_another_number_of_digests_is_refused(count):
    """A version would be loaded without its last chunks."""

    class ShortList:
        async def fetch_digests(self, model, version):
            return (*DIGESTS, DIGESTS[0])[:count]

    settings = SimpleNamespace(version_switch_seconds=7.2, weights=None)
    spec = SimpleNamespace(name="m", version="2")
    arguments = (lambda: ShortList(), 5, 0.0, settings, spec, *[None] * 7)
    transfer = RelayedTransfer(*arguments, chunk_count=3)
    assert await transfer._fetch_digests_from_origin() == ()
    transfer = RelayedTransfer(*arguments, chunk_count=count)
    assert len(await transfer._fetch_digests_from_origin()) == count
