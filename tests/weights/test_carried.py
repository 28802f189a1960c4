"""Transfers of two versions that share the links of a relay."""

from types import SimpleNamespace

import pytest

from banyanshore.core.clock import boottime_now
from banyanshore.weights.carried import CarriedVersions

SWITCH_SECONDS = 9.0
CHUNKS = 64
CHILD = "loader-1"


class Transfer:
    """A transfer with chunks here and at one child.

    :param here: fraction of the chunks that have arrived here.
    :param there: the same at the child.
    """

    def __init__(self, version, named_ago, here, there=0.0, pushes=0):
        self.version = version
        self.known_since = boottime_now() - named_ago
        self.urgent_from = self.known_since + 6.0
        self.progress = here
        self.manifest = SimpleNamespace(
            digest=f"digest-{version}",
            chunk_count=CHUNKS,
            chunk_digests=(f"chunk-{version}", "shared"),
        )
        self.asks_origin = here < 1
        self._there = there
        self._pushes = pushes

    def pushes_to(self, child_name):
        return self._pushes

    def has_chunk_for(self, child_name):
        return self.progress > self._there

    def missing_at(self, child_name):
        return 1.0 - self._there

    def wants_origin_fetch(self):
        return self.asks_origin


def carried(*transfers):
    versions = CarriedVersions(SWITCH_SECONDS)
    for transfer in transfers:
        versions.add(transfer)
    return versions


def test_chunks_of_the_older_version_are_pushed_first_while_it_is_preferred():
    older, newer = Transfer(2, 3.0, 0.9, 0.7), Transfer(3, 1.0, 0.5, 0.0)
    versions = carried(older, newer)
    assert versions.may_push(older, CHILD, 1, 0.07)
    assert not versions.may_push(newer, CHILD, 1, 0.07)


def test_chunks_of_the_other_version_fill_an_idle_link():
    """The origin is away: all of the older version that is here has been pushed."""
    older, newer = Transfer(2, 3.0, 0.9, 0.9), Transfer(3, 1.0, 0.5, 0.0)
    assert carried(older, newer).may_push(newer, CHILD, 1, 0.07)


@pytest.mark.parametrize("pushes", [(1, 0), (0, 1)])
def test_pushes_of_both_versions_count_on_the_link_of_a_child(pushes):
    """Requests would wait behind twice as many chunks."""
    older = Transfer(2, 3.0, 0.9, 0.7, pushes[0])
    newer = Transfer(3, 1.0, 0.5, 0.0, pushes[1])
    versions = carried(older, newer)
    assert not versions.may_push(older, CHILD, 1, 0.07)
    assert not versions.may_push(newer, CHILD, 1, 0.07)
    assert versions.may_push(older, CHILD, 3, 0.07)


def test_origin_is_asked_for_the_preferred_version_first():
    older, newer = Transfer(2, 3.0, 0.7), Transfer(3, 1.0, 0.0)
    versions = carried(older, newer)
    assert versions.must_leave_origin(newer)
    assert not versions.must_leave_origin(older)


def test_version_that_the_origin_does_not_send_holds_up_no_other():
    """Origins forget versions, and may be away: the other one is asked for too."""
    older, newer = Transfer(2, 3.0, 0.7), Transfer(3, 1.0, 0.0)
    older.asks_origin = False
    assert not carried(older, newer).must_leave_origin(newer)


def test_versions_in_a_row_are_late_from_the_next_name_on():
    older, newer = Transfer(2, 3.0, 0.7), Transfer(3, 1.0, 0.0)
    carried(older, newer)
    assert older.urgent_from == newer.urgent_from == newer.known_since


def test_version_long_after_another_is_not_late_at_once():
    older, newer = Transfer(2, 60.0, 1.0), Transfer(3, 1.0, 0.0)
    carried(older, newer)
    assert newer.urgent_from == newer.known_since + 6.0


def test_chunks_of_all_carried_versions_are_kept():
    older, newer = Transfer(2, 3.0, 0.7), Transfer(3, 1.0, 0.0)
    versions = carried(older, newer)
    assert versions.chunk_digests() == {"chunk-2", "chunk-3", "shared"}
    versions.remove(older)
    assert versions.chunk_digests() == {"chunk-3", "shared"}
    assert versions.find("digest-2") is None
    assert versions.find("digest-3") is newer
