"""Tests of the findings in documents that are accepted."""

import pytest

from banyanshore.state.declaration_checks import (
    CheckInput,
    RetryBudget,
    check_effects,
)

ROUTE = {
    "host": "a.example",
    "prefix": "/x/",
    "kind": "streaming",
    "services": [{"service": "llm", "weight": 1}],
    "timeout_seconds": 6.0,
    "objective_seconds": 0.5,
}
SERVICE = {"kind": "direct", "max_connections": 100}
WORKSPACE = {"keys": ["secret"]}


def make_document(route=None, service=None, workspace=None, **tables):
    return {
        "routes": {"r": {**ROUTE, **(route or {})}},
        "services": {"llm": {**SERVICE, **(service or {})}},
        "workspaces": {"w": {**WORKSPACE, **(workspace or {})}},
        **tables,
    }


def find_ids(document, **given):
    findings = check_effects(CheckInput(document, **given))
    return {(finding.id, finding.place) for finding in findings}


def test_sound_document_has_no_findings():
    assert find_ids(make_document()) == set()


@pytest.mark.parametrize(
    ("route", "id", "place"),
    [
        ({"host": "a.example:80"}, "route-host-port", "routes.r.host"),
        ({"host": "A.example"}, "route-host", "routes.r.host"),
        ({"host": "bücher.example"}, "route-host", "routes.r.host"),
        ({"prefix": "/x?y/"}, "route-prefix", "routes.r.prefix"),
        ({"prefix": "/ü/"}, "route-prefix", "routes.r.prefix"),
        ({"prefix": "/x\x01/"}, "route-prefix", "routes.r.prefix"),
        (
            {"objective_seconds": 7.0},
            "objective-above-timeout",
            "routes.r.objective_seconds",
        ),
        (
            {"max_pause_seconds": 7.0},
            "max-pause-above-timeout",
            "routes.r.max_pause_seconds",
        ),
        (
            {"kind": "idempotent", "max_pause_seconds": 0.3},
            "pause-without-stream",
            "routes.r.max_pause_seconds",
        ),
        ({"max_attempts": 0}, "attempts-zero", "routes.r.max_attempts"),
    ],
)
def test_route_without_effect_is_found(route, id, place):
    assert find_ids(make_document(route)) == {(id, place)}


@pytest.mark.parametrize(
    ("service", "id", "key"),
    [
        ({"cold_seconds": 3.0}, "cold-without-rate", ".cold_per_second"),
        (
            {"max_connections": 8, "engine": {"slots": 12}},
            "connections-below-slots",
            ".max_connections",
        ),
        ({"engine": {"chunk_count": 64}}, "weights-without-origin", ".engine"),
    ],
)
def test_contradicting_limits_of_a_service_are_found(service, id, key):
    document = make_document(service=service)
    assert find_ids(document) == {(id, f"services.llm{key}")}


def test_service_that_no_route_names_is_found():
    document = make_document()
    document["services"]["other"] = SERVICE
    assert find_ids(document) == {("service-unused", "services.other")}


def test_share_of_weight_zero_is_found_with_its_service():
    shares = [{"service": "llm", "weight": 1}, {"service": "other", "weight": 0}]
    document = make_document({"services": shares})
    document["services"]["other"] = SERVICE
    assert find_ids(document) == {
        ("share-without-weight", "routes.r.services.1.weight"),
        ("service-unused", "services.other"),
    }


def test_workspace_and_route_without_a_common_region_are_found():
    document = make_document({"regions": ["north"]}, workspace={"regions": ["south"]})
    assert find_ids(document) == {
        ("workspace-not-admitted", "workspaces.w.regions"),
        ("route-admits-nobody", "routes.r"),
    }


def test_public_route_admits_callers_without_any_key():
    document = make_document({"public": True}, workspace={"keys": []})
    assert find_ids(document) == {("workspace-without-key", "workspaces.w.keys")}


def test_region_of_no_data_centre_is_found_only_with_known_data_centres():
    document = make_document({"regions": ["north", "east"]})
    regions = {"north-a": "north"}
    assert find_ids(document) == set()
    assert find_ids(document, region_by_data_centre=regions) == {
        ("region-without-targets", "routes.r.regions")
    }


def test_attempts_that_no_budget_pays_for_are_found():
    document = make_document({"max_attempts": 2})
    assert find_ids(document, retry_budget=RetryBudget(0.2, 0.0)) == set()
    assert find_ids(document, retry_budget=RetryBudget(0.0, 0.0)) == {
        ("attempts-without-budget", "routes.r.max_attempts")
    }


def test_limits_of_callers_that_contradict_each_other_are_found():
    callers = {
        "header_timeout_seconds": 5.0,
        "idle_timeout_seconds": 2.0,
        "max_body_bytes": 0,
    }
    assert find_ids(make_document(limits={"callers": callers})) == {
        ("head-above-idle", "limits.callers.header_timeout_seconds"),
        ("limit-zero", "limits.callers.max_body_bytes"),
    }


def test_document_of_entries_without_routes_has_no_findings():
    document = {
        "services": {"chat": {"kind": "model", "model": "m"}},
        "workspaces": {"w": {"max_in_flight": 3}},
    }
    assert find_ids(document) == set()
