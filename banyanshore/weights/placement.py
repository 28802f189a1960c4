"""Assign the fetching of each chunk to agents and data centres.

Every agent computes the same assignment from the rosters, without communication. A
chunk is fetched from the origin once, by its origin fetcher. It crosses into each other
region once, to the ingress data centre of that region, and enters each further data
centre once. Within a data centre, agents exchange chunks with their neighbours.
"""

import hashlib
from functools import lru_cache
from heapq import nlargest

from banyanshore.core.values import dataclass

# Number of agents in one data centre that are asked for a chunk.
MAX_HOLDERS = 3
_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


@dataclass(frozen=True)
class Member:
    """An agent that takes part in a transfer."""

    instance: str
    data_centre: str
    region: str


@dataclass(frozen=True)
class ChunkRole:
    """Role of an agent in fetching a chunk into its data centre.

    :param rank: position among the agents of the data centre. The agent of rank 0
        fetches the chunk; each other one takes over if all agents before it fail.
    :param upstream: data centre to fetch the chunk from, empty for the origin.
    """

    rank: int
    upstream: str


@lru_cache(maxsize=100_000)
def _hash(name):
    data = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(data, "big")


def _score(key_hash, name):
    # A 64-bit finalizer, because a cryptographic hash of each pair is too slow for
    # hundreds of agents and chunks.
    value = (_hash(name) ^ key_hash) * _MULTIPLIER & _MASK
    value ^= value >> 32
    value = value * _MULTIPLIER & _MASK
    return value ^ (value >> 29)


class Placement:
    """Compute the roles of a set of members by rendezvous hashing.

    :param members: the live :class:`Member` objects of all data centres.
    """

    def __init__(self, members):
        self._holders_by_key = {}
        self._instances_by_data_centre = {}
        self._data_centres_by_region = {}
        for member in members:
            names = self._instances_by_data_centre.setdefault(member.data_centre, [])
            names.append(member.instance)
            region = member.region or member.data_centre
            self._data_centres_by_region.setdefault(region, set()).add(
                member.data_centre
            )
        self._region_by_data_centre = {
            data_centre: region
            for region, names in self._data_centres_by_region.items()
            for data_centre in names
        }

    def role(self, instance, data_centre, chunk):
        """Return the :class:`ChunkRole` of an agent.

        :param chunk: digest of the chunk in hexadecimal.
        """
        key = _hash(chunk)
        own = _score(key, instance)
        names = self._instances_by_data_centre.get(data_centre, ())
        rank = sum(_score(key, name) > own for name in names)
        return ChunkRole(rank, self.upstream(data_centre, chunk))

    def upstream(self, data_centre, chunk):
        """Return the data centre to fetch a chunk from, empty for the origin."""
        key = _hash(chunk)
        root = self._ingress_data_centre(key, self._root_region(key))
        if data_centre == root:
            return ""
        region = self._region_by_data_centre.get(data_centre)
        ingress = self._ingress_data_centre(key, region)
        return root if ingress in (data_centre, root) else ingress

    def data_centres(self):
        """Return the names of all data centres that have members."""
        return sorted(self._instances_by_data_centre)

    def ranked_agents(self, data_centre, chunk):
        """Return all agents of a data centre in the order of their rank."""
        key = _hash(chunk)
        names = self._instances_by_data_centre.get(data_centre, ())
        return sorted(names, key=lambda name: -_score(key, name))

    def holders(self, data_centre, chunk):
        """Return the agents of a data centre to ask for a chunk, in that order.

        They are the agents of the lowest ranks, at most :data:`MAX_HOLDERS`.
        """
        result = self._holders_by_key.get((data_centre, chunk))
        if result is None:
            key = _hash(chunk)
            names = self._instances_by_data_centre.get(data_centre, ())
            result = tuple(
                nlargest(MAX_HOLDERS, names, key=lambda name: _score(key, name))
            )
            self._holders_by_key[data_centre, chunk] = result
        return result

    def first_holders(self, data_centre, chunk):
        """Return the first holder in each of the other data centres."""
        others = sorted(self._instances_by_data_centre.keys() - {data_centre})
        return [self.holders(name, chunk)[0] for name in others]

    def _root_region(self, key):
        """Return the region whose ingress data centre fetches from the origin."""
        return max(
            self._data_centres_by_region,
            key=lambda region: _score(key, f"region/{region}"),
            default="",
        )

    def _ingress_data_centre(self, key, region):
        """Return the data centre through which a chunk enters a region."""
        return max(
            self._data_centres_by_region.get(region, ()),
            key=lambda name: _score(key, f"data-centre/{name}"),
            default="",
        )
