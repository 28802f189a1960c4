"""Screening of requests before a target is selected."""

import pytest

from banyanshore.gateway.screening import Rejection, Screened, Screening
from banyanshore.routing.caller_requests import CallerRequest
from banyanshore.routing.retry_after import Reason

DOCUMENT = {
    "services": {"s": {"kind": "direct"}},
    "routes": {
        name: {
            "host": "a.example",
            "prefix": f"/{name}/",
            "kind": "idempotent",
            "services": [{"service": "s", "weight": 1}],
            "public": name == "public",
        }
        for name in ("public", "keyed")
    },
    "workspaces": {"w": {"keys": ["good"], "regions": ["north"]}},
}


def request(path="/keyed/1", key="good", host="a.example"):
    return CallerRequest("id-1", b"GET", path.encode(), path, host, key, 1.0)


@pytest.fixture
def screening():
    screening = Screening(4.5, 2.5)
    screening.use(DOCUMENT)
    return screening


def test_request_with_a_valid_key_passes_screening(screening):
    found = screening.screen(request(), 0.1)
    assert isinstance(found, Screened)
    assert (found.service, found.workspace.name) == ("s", "w")
    assert found.regions == (frozenset(), {"north"})


@pytest.mark.parametrize(
    ("wrong", "ago", "status"),
    [
        ({"path": "/none/1"}, 0.1, 404),
        ({"host": "b.example"}, 0.1, 404),
        ({"key": "bad"}, 0.1, 401),
        ({"key": ""}, 0.1, 401),
        # A route or key that was just added may not have arrived yet.
        ({"path": "/none/1"}, 3.0, 503),
        ({"key": "bad"}, 3.0, 503),
        # A key that was just revoked may still be in the state.
        ({}, 4.6, 503),
    ],
)
def test_invalid_request_is_rejected(screening, wrong, ago, status):
    found = screening.screen(request(**wrong), ago)
    assert isinstance(found, Rejection)
    assert found.status == status
    assert found.reason is (Reason.CUT_OFF if status == 503 else None)


@pytest.mark.parametrize("wrong", [{"path": "/none/1"}, {"key": "bad"}])
def test_missing_row_is_not_denied_by_a_gateway_that_knows_it_is_behind(
    screening, wrong
):
    """A route that had been added got 404 while the change was on its way."""
    found = screening.screen(request(**wrong), 0.1, is_behind=True)
    assert (found.status, found.reason) == (503, Reason.CUT_OFF)


@pytest.mark.parametrize(
    ("ago", "is_behind", "is_served"),
    [(2.0, True, True), (2.6, True, False), (2.6, False, True)],
)
def test_change_that_is_overdue_is_not_ignored(screening, ago, is_behind, is_served):
    """The route found may be an older one, with other regions and services."""
    for path, key in (("/public/1", ""), ("/keyed/1", "good")):
        found = screening.screen(request(path, key), ago, is_behind)
        assert isinstance(found, Screened) == is_served
        if not is_served:
            assert (found.status, found.reason) == (503, Reason.CUT_OFF)


def test_public_route_needs_no_key_and_no_confirmed_state(screening):
    found = screening.screen(request("/public/1", ""), 60.0)
    assert found.workspace.name == ""


def test_rejection_without_a_state_allows_retries():
    found = Screening(4.5, 2.5).screen(request(), 0.0)
    assert (found.status, found.reason) == (503, Reason.NO_STATE)
