"""Lookup of requests in the routes of the desired state."""

import pytest

from banyanshore.routing.ranks import Rank
from banyanshore.state.document import DocumentError, check_document
from banyanshore.state.routes import RouteTable, Workspace


def route(host="a.example", prefix="/x/", **fields):
    row = {"host": host, "prefix": prefix, "kind": "idempotent"}
    return {**row, "services": [{"service": "s", "weight": 1}], **fields}


def document(*routes, **tables):
    return {
        "services": {"s": {"kind": "direct"}, "t": {"kind": "direct"}},
        "routes": {f"r{number}": row for number, row in enumerate(routes)},
        **tables,
    }


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("a.example", "/x/1", "/x/"),
        ("A.example:8080", "/x/y/z/1", "/x/y/"),
        ("a.example", "/x/y", "/x/"),
        ("a.example", "/xy", "/"),
        ("a.example", "/x", "/"),
        ("b.example", "/x/1", None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, prefix):
    table = RouteTable(document(*(route(prefix=p) for p in ("/x/", "/x/y/", "/"))))
    found = table.find_route(host, path)
    assert (found.prefix if found else None) == prefix


def test_services_are_chosen_by_their_weights():
    shares = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    found = RouteTable(document(route(services=shares))).find_route("a.example", "/x/")
    chosen = [found.choose_service(number / 100) for number in range(100)]
    assert chosen.count("s") == 90


def test_service_without_weight_is_never_chosen():
    shares = [{"service": "s", "weight": 0}, {"service": "t", "weight": 1}]
    found = RouteTable(document(route(services=shares))).find_route("a.example", "/x/")
    assert {found.choose_service(number / 10) for number in range(10)} == {"t"}


@pytest.mark.parametrize(
    ("kind", "resumable", "may_repeat"),
    [
        ("idempotent", False, True),
        ("non_idempotent", False, False),
        ("non_idempotent", True, False),
        ("streaming", False, False),
        ("streaming", True, True),
    ],
)
def test_route_kind_decides_whether_a_request_may_be_repeated(
    kind, resumable, may_repeat
):
    table = RouteTable(document(route(kind=kind, resumable=resumable)))
    assert table.find_route("a.example", "/x/").may_repeat is may_repeat


def test_workspace_is_found_by_its_keys():
    rows = {"w": {"keys": ["k1", "k2"], "priority": 3, "regions": ["north"]}}
    table = RouteTable(document(workspaces=rows))
    assert table.requires_key
    assert table.find_workspace("k2").name == "w"
    assert table.find_workspace("k2").regions == {"north"}
    assert table.find_workspace("k3") is None


def test_workspaces_without_keys_still_require_one():
    """Removing all keys at once let callers without a key through."""
    assert RouteTable(document(workspaces={"w": {"keys": []}})).requires_key
    assert not RouteTable(document(workspaces={})).requires_key


BAD = [
    (document(route(services=[{"service": "none", "weight": 1}])), "a service in"),
    (document(route(), route()), "place other than"),
    (document(route(services=[{"service": "s", "weight": 0}])), "more than 0"),
    (document(route(services=[])), "more than 0"),
    (document(route(services=[{"service": "s", "weight": -1}])), "0 or more"),
    (document(route(timeout_seconds=0)), "above 0"),
    (document(route(prefix="/x")), "/ at both ends"),
    (document(workspaces={"v": {"keys": ["k"]}, "w": {"keys": ["k"]}}), "no key of"),
]


@pytest.mark.parametrize(("bad", "expected"), BAD)
def test_error_of_an_invalid_document_names_the_fault(bad, expected):
    with pytest.raises(DocumentError, match=expected):
        check_document(bad)


def test_workspace_may_list_a_key_twice():
    check_document(document(workspaces={"w": {"keys": ["k", "k"]}}))


def test_priority_of_the_workspace_goes_before_that_of_the_route():
    """Priorities were read and decided nothing."""
    workspaces = {
        "urgent": {"keys": ["u"], "priority": 0},
        "later": {"keys": ["l"], "priority": 7},
    }
    rows = [route(priority=2), route(prefix="/y/", priority=1)]
    table = RouteTable(document(*rows, workspaces=workspaces))
    positions = [
        table.find_rank(
            "s", table.find_route("a.example", path), table.find_workspace(key)
        ).position
        for key in "ul"
        for path in ("/y/", "/x/")
    ]
    assert positions == [0, 1, 2, 3]


def test_workspaces_without_priority_take_that_of_the_route():
    rows = [route(priority=4), route(prefix="/y/", priority=-1)]
    table = RouteTable(document(*rows, workspaces={"w": {"keys": ["k"]}}))
    workspace = table.find_workspace("k")
    for path, rank in (("/x/", Rank(1, 2)), ("/y/", Rank(0, 2))):
        found = table.find_route("a.example", path)
        assert table.find_rank("s", found, workspace) == rank


def test_ranks_follow_routes_that_are_changed_and_dropped():
    first = RouteTable(document(route(priority=1), route(prefix="/y/", priority=2)))
    found = first.find_route("a.example", "/x/")
    workspace = Workspace("")
    assert first.find_rank("s", found, workspace) == Rank(0, 2)
    second = RouteTable(document(route(priority=1)), first)
    assert second.find_rank("s", found, workspace) == Rank(0, 1)
    third = RouteTable(document(route(priority=3)), second)
    found = third.find_route("a.example", "/x/")
    assert third.find_rank("s", found, workspace) == Rank(0, 1)


def test_request_without_a_workspace_has_a_rank_on_a_public_route():
    workspaces = {"w": {"keys": ["k"], "priority": 0}}
    rows = [route(priority=1), route(prefix="/y/", priority=3, public=True)]
    table = RouteTable(document(*rows, workspaces=workspaces))
    found = table.find_route("a.example", "/y/")
    assert table.find_rank("s", found, Workspace("")) == Rank(2, 3)
