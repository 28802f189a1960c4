"""Tests of what differs between two versions, and of its effect on callers."""

import pytest

from banyanshore.state.declaration_diff import Change, find_differences
from tests.state.test_declaration_checks import ROUTE, make_document


def differences(before, after):
    return {row.place: row for row in find_differences(before, after)}


def test_equal_documents_differ_in_nothing():
    assert find_differences(make_document(), make_document()) == []


def test_vanished_route_names_the_route_that_takes_its_requests():
    wide = {**ROUTE, "prefix": "/", "services": [{"service": "other", "weight": 1}]}
    before, after = make_document(), make_document()
    before["routes"]["wide"] = after["routes"]["wide"] = wide
    del after["routes"]["r"]
    row = differences(before, after)["routes.r"]
    assert row.change is Change.REMOVED
    assert "other" in row.effect
    del after["routes"]["wide"]
    assert "404" in differences(before, after)["routes.r"].effect


def test_key_that_is_taken_away_is_reported_without_its_text():
    before = make_document(workspace={"keys": ["first-secret", "second-secret"]})
    after = make_document(workspace={"keys": ["second-secret", "third-secret"]})
    row = differences(before, after)["workspaces.w"]
    assert row.fields == ("keys: 1 taken away, 1 added",)
    assert "401" in row.effect
    assert "secret" not in row.to_line()


def test_key_that_moves_to_another_workspace_is_not_refused():
    """Its callers were reported as refused, but are admitted as the other workspace."""
    before = make_document(workspace={"keys": ["secret", "gone"]})
    after = make_document(workspace={"keys": []})
    after["workspaces"]["v"] = {"keys": ["secret"]}
    rows = differences(before, after)
    assert rows["workspaces.v"].change is Change.ADDED
    row = rows["workspaces.w"]
    assert row.change is Change.CHANGED
    assert row.fields == ("keys: 2 taken away, 0 added",)
    refused, moved = row.effect.split("; ")
    assert "401" in refused
    assert "v" in moved and "401" not in moved
    del after["workspaces"]["w"]
    assert "401" in differences(before, after)["workspaces.w"].effect


def test_last_workspace_that_is_removed_opens_all_routes():
    """Its keys were reported as refused, but no request needs a key any more."""
    after = make_document()
    after["workspaces"] = {}
    row = differences(make_document(), after)["workspaces.w"]
    assert "401" not in row.effect
    assert "without a key" in row.effect


@pytest.mark.parametrize("table", ["data_centres", "models", "targets", "rollouts"])
def test_rows_of_all_tables_are_compared(table):
    """A data centre that a patch takes out of service wasn't mentioned."""
    before = make_document(**{table: {"a": {"in_service": True}}})
    after = make_document(**{table: {"a": {"in_service": False}, "b": {}}})
    rows = differences(before, after)
    assert rows[f"{table}.a"].fields == ("in_service: True -> False",)
    assert rows[f"{table}.b"].change is Change.ADDED


def test_tables_that_no_declaration_holds_are_not_reported_as_removed():
    before = make_document(data_centres={"a": {"in_service": True}})
    assert find_differences(before, make_document()) == []


def test_added_route_names_the_route_whose_requests_it_takes():
    after = make_document()
    narrow = {"prefix": "/x/y/", "services": [{"service": "other", "weight": 1}]}
    after["routes"]["narrow"] = {**ROUTE, **narrow}
    after["routes"]["apart"] = {**ROUTE, "prefix": "/z/"}
    rows = differences(make_document(), after)
    assert "a.example/x/" in rows["routes.narrow"].effect
    assert rows["routes.apart"].effect == ""


def test_renamed_route_takes_no_requests_of_another():
    after = make_document()
    after["routes"]["new"] = after["routes"].pop("r")
    assert differences(make_document(), after)["routes.new"].effect == ""


def test_route_that_moves_tells_what_becomes_of_its_earlier_place():
    row = differences(make_document(), make_document({"prefix": "/y/"}))["routes.r"]
    assert "/x/" in row.effect and "404" in row.effect


def test_route_that_needs_a_key_or_none_tells_it():
    public = make_document({"public": True})
    assert "401" in differences(public, make_document())["routes.r"].effect
    assert "without a key" in differences(make_document(), public)["routes.r"].effect


def test_changed_route_lists_its_fields():
    after = make_document({"timeout_seconds": 4.0})
    row = differences(make_document(), after)["routes.r"]
    assert row.fields == ("timeout_seconds: 6.0 -> 4.0",)
    assert row.effect == ""


def test_removed_workspace_and_service_tell_their_effect():
    before = make_document()
    before["workspaces"]["v"] = {"keys": ["other"]}
    before["services"]["old"] = {"kind": "direct"}
    rows = differences(before, make_document())
    assert "401" in rows["workspaces.v"].effect
    assert rows["services.old"].change is Change.REMOVED
    assert "other" not in rows["workspaces.v"].to_line()
