"""Rendezvous hashing: every instance ranks candidates in the same order.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
1998.
"""

import hashlib


def rank_score(key, name):
    """Return the score of a candidate for a key; the highest ranks first."""
    data = f"{key}\0{name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def rank(key, names):
    """Return candidates ranked for a key.

    >>> rank("chunk", ["a", "b", "c"]) == rank("chunk", ["c", "b", "a"])
    True
    """
    return sorted(names, key=lambda name: (-rank_score(key, name), name))


def first(key, names):
    """Return the highest-ranked candidate for a key, or ``None`` if there is none."""
    return min(names, key=lambda name: (-rank_score(key, name), name), default=None)
