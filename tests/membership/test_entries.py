"""Digests of data centres that omit unchanged rows, and the order of contacts."""

from collections import Counter
from dataclasses import replace

from banyanshore.conf.sections import EntryPeer
from banyanshore.membership.entries import EntryTable, entries_digest
from banyanshore.membership.messages import DataCentreDigest, EntryDigest
from banyanshore.state import Fence

EXPIRY = 3.0
PEERS = [
    EntryPeer(instance=f"entry-{number}", data_centre=name, address=f"h:{number}")
    for number, name in enumerate(["a", "b", "b"])
]


def make_row(number, sequence=1, version=1):
    return EntryDigest(
        f"entry-{number}", "b", 1, sequence, version, Fence(1, 1), "entry-0", 1,
        False, (),
    )  # fmt: skip


def make_digest(rows, sequence=1):
    return DataCentreDigest("b", "entry-1", sequence, rows, entries_digest(rows), (), 0)


def make_table():
    return EntryTable(PEERS[0], PEERS, EXPIRY)


def test_omitted_rows_stay_live():
    table = make_table()
    digest = make_digest((make_row(1), make_row(2)))
    assert table.record_data_centre(0, digest)
    for now in range(1, 10):
        assert table.record_data_centre(now, replace(digest, entries=(), sequence=now))
    assert table.live_entries_in(9, "b") == ["entry-1", "entry-2"]
    assert table.by_data_centre["b"].digest.entries == digest.entries


def test_rows_never_received_are_reported_unknown():
    table = make_table()
    digest = make_digest((make_row(1),))
    assert not table.record_data_centre(0, replace(digest, entries=()))
    assert table.live_entries_in(0, "b") == []
    assert table.record_data_centre(1, digest)
    assert table.live_entries_in(1, "b") == ["entry-1"]


def test_rows_changed_in_a_missed_digest_are_reported_unknown():
    table = make_table()
    table.record_data_centre(0, make_digest((make_row(1),)))
    changed = make_digest((make_row(1, 2, version=2),))
    assert not table.record_data_centre(1, replace(changed, entries=()))
    assert table.record_data_centre(1, changed)
    assert table.by_instance["entry-1"].digest.state_version == 2


def test_entry_missing_from_digests_expires():
    table = make_table()
    table.record_data_centre(0, make_digest((make_row(1), make_row(2))))
    alone = make_digest((make_row(1, 2),))
    table.record_data_centre(1, alone)
    for now in range(2, 8):
        table.record_data_centre(now, replace(alone, entries=()))
    assert table.live_entries_in(7, "b") == ["entry-1"]


def test_digest_of_rows_ignores_only_sequence_and_order():
    rows = (make_row(1), make_row(2))
    later = (make_row(2, 9), make_row(1, 7))
    assert entries_digest(rows) == entries_digest(later)
    assert entries_digest(rows) != entries_digest((make_row(1), make_row(2, 1, 2)))


def test_contacts_of_many_entries_are_spread_over_a_data_centre():
    # Otherwise all requests that spill from a data centre would go through one entry.
    count = 36
    peers = [
        EntryPeer(instance=f"{name}-{n}", data_centre=name, address=f"h:{name}{n}")
        for name in ("a", "b")
        for n in range(count)
    ]
    entries_by_contact = Counter(
        EntryTable(peer, peers, EXPIRY).contacts_in(0.0, "b")[0]
        for peer in peers
        if peer.data_centre == "a"
    )
    assert len(entries_by_contact) >= count / 2
    assert max(entries_by_contact.values()) <= 6


def test_contacts_are_stable_and_live_ones_come_first():
    table = make_table()
    first = table.contacts_in(0.0, "b")
    assert sorted(first) == ["entry-1", "entry-2"]
    assert table.contacts_in(1.0, "b") == first
    table.record(1.0, make_row(int(first[1][-1])))
    assert table.contacts_in(1.0, "b") == first[::-1]
