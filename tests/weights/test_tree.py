"""Test the relay tree along which chunks are pushed."""

import itertools

import pytest

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
