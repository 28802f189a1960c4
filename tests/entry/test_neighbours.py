"""Test which entry of another data centre is chosen as contact."""

from dataclasses import dataclass

from banyanshore.conf.sections import EntryPeer
from banyanshore.entry.neighbours import find_contact
from banyanshore.membership.entries import EntryTable

PEERS = [
    EntryPeer(instance=name, data_centre=name[0], address=name)
    for name in ("a-1", "b-1", "b-2", "b-3")
]


@dataclass
class FakeLink:
    """A link in a given state."""

    is_open: bool = False
    is_failing: bool = False


class FakeLinks:
    """Links by instance, created on first use."""

    def __init__(self):
        self.by_instance = {}

    def get(self, address, peer):
        return self.by_instance.setdefault(peer, FakeLink())


def test_second_contact_is_connected_to_only_if_the_first_fails():
    table = EntryTable(PEERS[0], PEERS, 3.0)
    links = FakeLinks()
    first, second, _ = table.contacts_in(0.0, "b")
    # The link to the first is still connecting.
    assert find_contact(table, links, 0.0, "b") is None
    assert set(links.by_instance) == {first}
    links.by_instance[first].is_open = True
    assert find_contact(table, links, 0.0, "b").instance == first
    assert set(links.by_instance) == {first}
    links.by_instance[first] = FakeLink(is_failing=True)
    assert find_contact(table, links, 0.0, "b") is None
    links.by_instance[second].is_open = True
    assert find_contact(table, links, 0.0, "b").instance == second
    # No third contact is tried.
    links.by_instance[second] = FakeLink(is_failing=True)
    assert find_contact(table, links, 0.0, "b") is None
    assert set(links.by_instance) == {first, second}
