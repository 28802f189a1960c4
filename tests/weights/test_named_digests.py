"""Doubts about lists of digests."""

import pytest

from banyanshore.weights.named_digests import (
    MAX_LISTS,
    NamedDigests,
)

LIST = ("a", "b", "c")
SPOILT = ("a", "x", "c")


def test_chunk_that_arrives_once_with_another_digest_brings_no_list_into_doubt():
    named = NamedDigests(LIST)
    named.record_unnamed(1, "corrupt")
    named.record_unnamed(1, "corrupt otherwise")
    named.record_unnamed(2, "corrupt")
    assert not named.are_in_doubt


def test_chunk_that_arrives_repeatedly_brings_a_list_into_doubt():
    """A wrong list was kept for good, and the version never completed."""
    named = NamedDigests(SPOILT)
    named.record_unnamed(1, "b")
    named.record_unnamed(1, "corrupt")
    named.record_unnamed(1, "b")
    assert named.are_in_doubt
    named.add_list(("a", "y", "c"))
    assert named.are_in_doubt
    named.add_list(LIST)
    assert not named.are_in_doubt
    assert named.names(1, "b")


def test_chunk_that_is_valid_ends_the_doubt():
    named = NamedDigests(LIST)
    named.record_unnamed(1, "stale")
    named.record_unnamed(1, "stale")
    named.record_valid(1)
    assert not named.are_in_doubt


def test_corrupted_chunks_do_not_hide_that_a_list_is_wrong():
    """The first four digests of a chunk were remembered, and no other."""
    named = NamedDigests(SPOILT)
    for number in range(10):
        named.record_unnamed(1, f"corrupt {number}")
    named.record_unnamed(1, "b")
    named.record_unnamed(1, "b")
    assert named.are_in_doubt


def test_list_of_another_length_is_not_compared():
    named = NamedDigests(LIST)
    assert not named.add_list(())
    assert not named.add_list(LIST[:2])
    assert not named.add_list(LIST)
    assert named.add_list(SPOILT)


@pytest.mark.parametrize("index", [-1, 3, 2**40])
def test_index_of_another_list_is_not_named(index):
    assert not NamedDigests(LIST).names(index, "c")


def test_memory_is_bounded():
    named = NamedDigests(LIST)
    for number in range(1000):
        named.add_list(("a", f"{number}", "c"))
        named.record_unnamed(1, f"data {number}")
    assert len(named._lists) == MAX_LISTS
    assert len(named._unnamed_by_index[1]) < 10
