"""Analytical baselines that weight transfers are compared with."""

import math

from benchmarks.link_model import ORIGIN_CHUNKS_PER_SLOT


def all_from_origin(count, chunks):
    """Return slots and origin copies if all machines fetch only from the origin."""
    return math.ceil(count * chunks / ORIGIN_CHUNKS_PER_SLOT), float(count)


def binary_tree(count, chunks, shared):
    """Return slots, origin copies and the load of the busiest machine of a binary tree.

    Each machine forwards each chunk to two others, so it sends two copies while it
    receives one, and a chunk needs two slots for each level.
    """
    depth = math.ceil(math.log2(count + 1))
    period = 3 if shared else 2
    return period * chunks + 2 * depth, 1.0, 3.0


def lower_bound(count, chunks, shared):
    """Return the lower bound of the transfer time, in times of one copy.

    Source: Mundinger, Weber and Weiss, "Optimal Scheduling of Peer-to-Peer File
    Dissemination" (2008); a link that both directions share doubles it.
    """
    return (1 + math.log2(count) / chunks) * (2 if shared else 1)
