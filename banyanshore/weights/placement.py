"""Who draws a chunk from the origin, and who brings it into each data centre.

Every agent works this out for itself from the rosters, without asking anyone. A chunk
leaves the origin once, for its drawer; crosses to each other region once, for that
region's gateway data centre; and enters each further data centre once. Within a data
centre the agents exchange it among themselves.
"""

import hashlib
from dataclasses import dataclass
from functools import lru_cache
from heapq import nlargest

# Agents of one data centre that are asked for a chunk.
MAX_HOLDERS = 3
_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


@dataclass(frozen=True)
class Member:
    """One agent that takes part in a transfer."""

    instance: str
    data_centre: str
    region: str


@dataclass(frozen=True)
class ChunkRole:
    """What one agent has to do for one chunk.

    :param rank: place among the agents of its data centre; rank 0 brings the chunk in
        and each further one takes over if all before it fail.
    :param upstream: data centre to bring it from, empty for the origin.
    """

    rank: int
    upstream: str


@lru_cache(maxsize=100_000)
def _hash(name):
    data = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(data, "big")


def _score(key_hash, name):
    # A 64-bit finalizer; a cryptographic hash of each pair would cost too much at
    # hundreds of agents and chunks.
    value = (_hash(name) ^ key_hash) * _MULTIPLIER & _MASK
    value ^= value >> 32
    value = value * _MULTIPLIER & _MASK
    return value ^ (value >> 29)


class Placement:
    """The roles that follow from one set of members.

    :param members: the live :class:`Member` rows of all data centres.
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
        """Return the data centre that another one takes a chunk from."""
        key = _hash(chunk)
        home = self._gateway(key, self._home_region(key))
        if data_centre == home:
            return ""
        region = self._region_by_data_centre.get(data_centre)
        gateway = self._gateway(key, region)
        return home if gateway in (data_centre, home) else gateway

    def data_centres(self):
        """Return the names of all data centres that have members."""
        return sorted(self._instances_by_data_centre)

    def ordered(self, data_centre, chunk):
        """Return all agents of a data centre, by their rank for a chunk."""
        key = _hash(chunk)
        names = self._instances_by_data_centre.get(data_centre, ())
        return sorted(names, key=lambda name: -_score(key, name))

    def holders(self, data_centre, chunk):
        """Return the agents of a data centre that are asked for a chunk, in order.

        They are the first few, :data:`MAX_HOLDERS` at most.
        """
        known = self._holders_by_key.get((data_centre, chunk))
        if known is None:
            key = _hash(chunk)
            names = self._instances_by_data_centre.get(data_centre, ())
            known = tuple(
                nlargest(MAX_HOLDERS, names, key=lambda name: _score(key, name))
            )
            self._holders_by_key[data_centre, chunk] = known
        return known

    def first_holders(self, data_centre, chunk):
        """Return the first holder in each of the other data centres."""
        others = sorted(self._instances_by_data_centre.keys() - {data_centre})
        return [self.holders(name, chunk)[0] for name in others]

    def _home_region(self, key):
        return max(
            self._data_centres_by_region,
            key=lambda region: _score(key, f"region/{region}"),
            default="",
        )

    def _gateway(self, key, region):
        return max(
            self._data_centres_by_region.get(region, ()),
            key=lambda name: _score(key, f"data-centre/{name}"),
            default="",
        )
