"""Test the relay tree along which chunks are pushed."""

import itertools

import pytest

from banyanshore.weights.exchange import WHOLE_SHARE
from banyanshore.weights.tree import LOADERS_PER_RELAY, RelayTree, TreeMember


def deployment(loaders=(4, 4, 2), gateways=(3, 3, 2), zones_per_region=1):
    rows = []
    for number, (loader_count, gateway_count) in enumerate(
        zip(loaders, gateways, strict=True)
    ):
        place = f"dc-{number}", f"region-{number // zones_per_region}"
        rows += [
            TreeMember(f"l{number}-{i}", *place, False) for i in range(loader_count)
        ]
        rows += [
            TreeMember(f"g{number}-{i}", *place, True) for i in range(gateway_count)
        ]
    return rows


def edges(tree, rows):
    return [(row.instance, c) for row in rows for c in tree.children(row.instance)]


@pytest.mark.parametrize(
    "rows",
    [
        deployment(),
        deployment((7, 6, 5), (14, 14, 13)),
        deployment((8, 8, 7, 7), (10, 10, 10, 10), 2),
        deployment((1, 0, 3), (1, 2, 0)),
    ],
)
@pytest.mark.parametrize("home", ["dc-0", "dc-1", ""])
def test_each_loader_descends_from_the_root(rows, home):
    tree = RelayTree(rows, home)
    for row in rows:
        if row.is_gateway:
            continue
        name, steps = row.instance, 0
        while name != tree.root:
            parent = tree.parent(name)
            assert name in tree.children(parent)
            name, steps = parent, steps + 1
            assert steps < 10


def test_one_copy_crosses_into_each_region():
    rows = deployment((8, 8, 7, 7), (10, 10, 10, 10), 2)
    region = {row.instance: row.region for row in rows}
    tree = RelayTree(rows, "dc-1")
    crossings = [(a, b) for a, b in edges(tree, rows) if region[a] != region[b]]
    assert len(crossings) == 1
    assert tree.root.startswith("g1-")


def test_only_gateways_push_and_each_has_few_loaders():
    rows = deployment((18, 6, 1), (14, 14, 13))
    gateways = {row.instance for row in rows if row.is_gateway}
    tree = RelayTree(rows, "dc-0")
    for parent, children in itertools.groupby(edges(tree, rows), lambda e: e[0]):
        assert parent in gateways
        loaders = [child for _, child in children if child not in gateways]
        assert len(loaders) <= LOADERS_PER_RELAY


def test_tree_does_not_depend_on_the_order_of_members():
    rows = deployment()
    one, other = RelayTree(rows, "dc-2"), RelayTree(rows[::-1], "dc-2")
    assert sorted(edges(one, rows)) == sorted(edges(other, rows))


def test_loaders_without_local_gateways_use_relays_at_the_origin():
    rows = deployment((2, 2), (2, 0))
    tree = RelayTree(rows, "dc-0")
    assert tree.parent("l1-0") in tree.relays_by_data_centre["dc-0"]


def test_tree_without_gateways_has_no_root():
    tree = RelayTree(deployment((2, 2), (0, 0)), "dc-0")
    assert tree.root == tree.parent("l0-0") == ""


@pytest.mark.parametrize("home", ["dc-0", "dc-1"])
def test_root_pushes_one_copy_to_each_other_place_and_none_to_loaders(home):
    """The root's link carried seven copies, and held up the version for all."""
    rows = deployment((6, 6, 5), (15, 15, 15))
    tree = RelayTree(rows, home)
    loaders = {row.instance for row in rows if not row.is_gateway}
    assert not loaders & set(tree.children(tree.root))
    assert len(tree.children(tree.root)) == 3


def test_root_pushes_to_loaders_if_there_is_no_other_gateway():
    rows = deployment((2,), (1,))
    tree = RelayTree(rows, "dc-0")
    assert set(tree.children(tree.root)) == {"l0-0", "l0-1"}


def test_link_of_a_relay_carries_its_copies_before_that_of_a_loader_does():
    """Links of 20 Mbit/s, loaders of 3.8 Mbit/s: one copy in, and one to each child."""
    rows = deployment((6, 6, 5), (15, 15, 15))
    tree = RelayTree(rows, "dc-0")
    for names in tree.relays_by_data_centre.values():
        for name in names:
            copies = 1 + len(tree.children(name))
            assert copies / 20 < 1 / 3.8


def test_members_of_a_data_centre_ask_the_origin_in_an_order_of_their_own():
    rows = deployment((4, 2), (3, 3))
    tree = RelayTree(rows, "dc-0")
    for number in (0, 1):
        place = [row.instance for row in rows if row.data_centre == f"dc-{number}"]
        relays = tree.relays_by_data_centre[f"dc-{number}"]
        loaders = sorted(name for name in place if name.startswith("l"))
        ranked = [*relays, *loaders]
        assert [tree.origin_rank(name) for name in ranked] == list(range(len(ranked)))


def test_first_relays_of_other_regions_exchange_shares():
    rows = deployment((4, 4, 4, 2), (3, 3, 3, 3))
    tree = RelayTree(rows, "dc-1")
    firsts = [tree.relays_by_data_centre[f"dc-{number}"][0] for number in (0, 2, 3)]
    for position, name in enumerate(firsts):
        assert set(tree.partners(name)) == set(firsts) - {name}
        assert tree.push_share(tree.root, name) == (position, 3)
        for partner in tree.partners(name):
            assert tree.push_share(name, partner) == (position, 3)
    assert tree.partners(tree.root) == ()
    for parent, child in edges(tree, rows):
        if child not in firsts:
            assert tree.push_share(parent, child) == WHOLE_SHARE


@pytest.mark.parametrize(
    "rows",
    [
        deployment((4, 4), (3, 3)),
        deployment((4, 4, 4, 4), (3, 3, 3, 3), 2),
        deployment((4, 4, 4), (3, 3, 3), 3),
        deployment((4, 4, 4), (3, 3, 3), 2),
        deployment((2, 2), (0, 0)),
    ],
)
def test_no_exchange_without_two_regions_beside_the_origins(rows):
    """Chunks from another region would cost more than those from the root's."""
    tree = RelayTree(rows, "dc-0")
    for row in rows:
        assert tree.partners(row.instance) == ()
        for child in tree.children(row.instance):
            assert tree.push_share(row.instance, child) == WHOLE_SHARE
