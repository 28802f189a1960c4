"""The state machine: patches, resent commands, claims, load permits, snapshots."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banyanshore.state import (
    Answer,
    ClaimCommand,
    ClaimStatus,
    CompleteClaimCommand,
    PatchCommand,
    PatchStatus,
    ReleaseClaimCommand,
    StateMachine,
    TimedCommand,
)
from banyanshore.state.claims import ClaimLimits
from banyanshore.state.commands import UNCONDITIONAL
from banyanshore.state.document import merge_patch
from banyanshore.state.rollouts import (
    OPEN_ORDER_RETENTION,
    LoadPermitCommand,
    LoadPermitRequest,
    LoadPermitStatus,
)

MODEL = {
    "version": "v1",
    "manifest_digest": "d",
    "manifest_url": "http://o/m",
    "weights_url": "http://o/w",
}


def patch(request_id, base, document, at=0.0):
    return PatchCommand(request_id, base, json.dumps(document).encode(), at)


def claim(key, attempt, at=0.0, digest=b"d", expires=60.0):
    return TimedCommand(at, ClaimCommand("w", "orders", key, digest, attempt, expires))


class Applier:
    """Apply commands at increasing indexes; reload restores from a snapshot."""

    def __init__(self, limits=None):
        self.limits = limits
        self.machine = StateMachine(limits)
        self.index = 0

    def __call__(self, command):
        self.index += 1
        return self.machine.apply(self.index, 1, command)

    def reload(self):
        data = self.machine.snapshot()
        self.machine = StateMachine(self.limits)
        self.machine.restore(data)
        assert self.machine.snapshot() == data


def test_second_patch_on_the_same_base_is_a_conflict():
    apply = Applier()
    first = apply(patch("a", 0, {"workspaces": {"x": {"priority": 1}}}))
    second = apply(patch("b", 0, {"workspaces": {"x": {"priority": 2}}}))
    assert (first.status, first.version) == (PatchStatus.ACCEPTED, 1)
    assert (second.status, second.version) == (PatchStatus.CONFLICT, 1)
    assert "current version is 1" in second.detail


def test_resent_patch_gets_its_first_outcome_after_a_snapshot():
    apply = Applier()
    command = patch("a", 0, {"workspaces": {"x": {"priority": 1}}})
    stale = patch("b", 7, {})
    outcomes = [apply(command), apply(stale)]
    apply(patch("c", 1, {"workspaces": {"y": {}}}))
    apply.reload()
    assert [apply(command), apply(stale)] == outcomes
    assert apply.machine.version == 2


def test_request_id_of_another_patch_is_refused():
    apply = Applier()
    apply(patch("a", 0, {}))
    assert apply(patch("a", 1, {})).status == PatchStatus.REUSED_ID
    assert apply.machine.version == 1


@pytest.mark.parametrize(
    ("document", "place"),
    [
        ({"model": {}}, "model"),
        ({"models": {"m": {"version": 3}}}, "models.m.version"),
        ({"models": {"m": {**MODEL, "speed": 1}}}, "models.m.speed"),
        (
            {"models": {"m": {**MODEL, "max_unavailable_ratio": 2}}},
            "max_unavailable_ratio",
        ),
        ({"services": {"s": {"kind": "odd"}}}, "services.s.kind"),
        ({"services": {"s": {"kind": "model"}}}, "services.s.model"),
        ({"services": {"s": {"kind": "plain", "model": "m"}}}, "services.s.model"),
        ({"data_centres": {"a": {"in_service": 1}}}, "data_centres.a.in_service"),
        (
            {"services": {"s": {"kind": "plain", "non_repeatable": [{}]}}},
            "non_repeatable.0",
        ),
    ],
)
def test_invalid_document_is_refused_and_its_location_named(document, place):
    apply = Applier()
    outcome = apply(patch("a", 0, document))
    assert outcome.status == PatchStatus.INVALID
    assert place in outcome.detail
    assert apply.machine.version == 0


def test_unconditional_patch_applies_to_any_version():
    apply = Applier()
    apply(patch("a", 0, {}))
    row = {"data_centres": {"x": {"in_service": False}}}
    assert apply(patch("b", UNCONDITIONAL, row)).version == 2


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda inner: st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=8,
)


@given(json_values, json_values)
def test_merge_patch_is_idempotent_and_does_not_modify_arguments(target, change):
    before = json.dumps([target, change])
    once = merge_patch(target, change)
    assert merge_patch(once, change) == once
    assert json.dumps([target, change]) == before


def test_claim_is_granted_once_and_its_answer_is_stored():
    apply = Applier()
    granted = apply(claim("k", "one"))
    assert granted.status == ClaimStatus.GRANTED
    assert apply(claim("k", "two")).status == ClaimStatus.IN_PROGRESS
    answer = Answer(201, ((b"a", b"b"),), b"done")
    apply(CompleteClaimCommand("w", "orders", "k", "one", answer))
    apply.reload()
    again = apply(claim("k", "three"))
    assert (again.status, again.answer) == (ClaimStatus.DONE, answer)


def test_resent_claim_of_the_same_attempt_is_granted_again():
    apply = Applier()
    first = apply(claim("k", "one"))
    assert apply(claim("k", "one")) == first


def test_expired_claim_without_an_answer_is_unknown_and_not_granted_again():
    apply = Applier()
    apply(claim("k", "one", at=100, expires=10))
    assert apply(claim("k", "two", at=111)).status == ClaimStatus.UNKNOWN
    assert apply(claim("k", "three", at=500)).status == ClaimStatus.UNKNOWN


def test_late_answer_completes_a_claim_with_unknown_outcome():
    apply = Applier()
    apply(claim("k", "one", at=100, expires=10))
    assert apply(claim("k", "two", at=111)).status == ClaimStatus.UNKNOWN
    apply(CompleteClaimCommand("w", "orders", "k", "one", Answer(200, (), b"")))
    assert apply(claim("k", "three", at=112)).status == ClaimStatus.DONE


def test_only_the_holder_completes_or_releases_a_claim():
    apply = Applier()
    apply(claim("k", "one"))
    apply(ReleaseClaimCommand("w", "orders", "k", "two"))
    apply(CompleteClaimCommand("w", "orders", "k", "two", None))
    assert apply(claim("k", "three")).status == ClaimStatus.IN_PROGRESS
    apply(ReleaseClaimCommand("w", "orders", "k", "one"))
    assert apply(claim("k", "four")).status == ClaimStatus.GRANTED


def test_same_key_with_another_body_is_a_mismatch():
    apply = Applier()
    apply(claim("k", "one"))
    assert apply(claim("k", "two", digest=b"e")).status == ClaimStatus.MISMATCH


def test_full_claim_table_refuses_claims_until_one_expires():
    apply = Applier(ClaimLimits(retention=100, max_claims=3))
    for number in range(3):
        assert apply(claim(f"k{number}", f"a{number}", at=10)).status == "granted"
    assert apply(claim("k3", "a3", at=20)).status == ClaimStatus.FULL
    assert apply(claim("k0", "b", at=20)).status == ClaimStatus.IN_PROGRESS
    assert apply(claim("k3", "c", at=111)).status == ClaimStatus.GRANTED


def test_oldest_answers_are_dropped_but_their_claims_are_kept():
    apply = Applier(ClaimLimits(max_answer_bytes=100))
    for number in range(3):
        apply(claim(f"k{number}", f"a{number}"))
        answer = Answer(200, (), b"x" * 60)
        apply(CompleteClaimCommand("w", "orders", f"k{number}", f"a{number}", answer))
    apply.reload()
    dropped = apply(claim("k0", "b"))
    assert (dropped.status, dropped.answer) == (ClaimStatus.DONE, None)
    assert apply(claim("k2", "b")).answer is not None


def permit(
    instance, status=LoadPermitStatus.WANTED, serving=True, version="v1", at=0.0
):
    request = LoadPermitRequest(
        "m", version, instance, "dc", "s", status, serving, 60.0
    )
    return TimedCommand(at, LoadPermitCommand(request, 2, 2))


def start_rollout(**more):
    apply = Applier()
    document = {
        "models": {"m": {**MODEL, **more}},
        "services": {"s": {"kind": "model", "model": "m"}},
    }
    assert apply(patch("a", 0, document)).status == PatchStatus.ACCEPTED
    return apply


def test_load_permits_are_limited_for_serving_targets():
    apply = start_rollout()
    assert [apply(permit(name)).granted for name in "abc"] == [True, True, False]
    assert apply(permit("d", serving=False)).granted
    apply.reload()
    apply(permit("a", LoadPermitStatus.DONE))
    assert apply(permit("c")).granted


def test_load_permit_that_is_not_released_expires():
    apply = start_rollout()
    apply(permit("a"))
    apply(permit("b"))
    assert not apply(permit("c", at=59)).granted
    assert apply(permit("c", at=61)).granted


def test_rollout_stops_after_failures_on_several_targets():
    apply = start_rollout(max_failures=2)
    for name in "ab":
        apply(permit(name))
        apply(permit(name, LoadPermitStatus.FAILED))
    refused = apply(permit("c"))
    assert not refused.granted
    assert "failed on 2 targets" in refused.detail
    back = {"models": {"m": {"version": "v0"}}}
    apply(patch("back", 1, back))
    assert apply(permit("a", version="v0")).granted


def test_load_permit_for_a_version_that_is_not_intended_is_refused():
    apply = start_rollout()
    assert not apply(permit("a", version="v0")).granted


def test_paused_rollout_grants_no_load_permit():
    apply = start_rollout(paused=True)
    assert apply(permit("a")).detail == "the rollout is paused"


@pytest.mark.parametrize(
    ("document", "place"),
    [
        ({"services": {"s": {"kind": "plain", "max_queue_seconds": -1}}}, "seconds"),
        ({"workspaces": {"w": {"max_in_flight": -1}}}, "max_in_flight"),
        ({"workspaces": {"w": {"priority": 10**40}}}, "priority"),
        ({"workspaces": {"w": {"priority": True}}}, "priority"),
        ({"models": {"m": {**MODEL, "max_failures": 0}}}, "max_failures"),
        ({"models": {"m": {**MODEL, "max_unavailable_ratio": 2}}}, "unavailable"),
        ({"limits": {"claims": {"retention_seconds": 1}}}, "retention_seconds"),
        ({"limits": {"claims": {"max_claims": 0}}}, "max_claims"),
        ({"limits": {"other": {}}}, "limits.other"),
    ],
)
def test_number_out_of_range_is_refused_and_its_location_named(document, place):
    apply = Applier()
    outcome = apply(patch("a", 0, document))
    assert outcome.status == PatchStatus.INVALID
    assert place in outcome.detail
    assert apply.machine.version == 0


@pytest.mark.parametrize(
    "text",
    [
        b'{"services": {"s": {"kind": "plain", "max_queue_seconds": NaN}}}',
        b'{"services": {"s": {"kind": "plain", "max_queue_seconds": Infinity}}}',
        b'{"services": {"s": {"kind": "plain", "max_queue_seconds": 1e999}}}',
        b"[" * 100_000,
        b'{"services": {"s": {"kind": "plain", "non_repeatable": '
        + b"[" * 600
        + b"]" * 600
        + b"}}}",
        b"[]",
        b"\xff",
    ],
)
def test_patch_with_invalid_json_or_infinite_numbers_is_refused(text):
    apply = Applier()
    outcome = apply(PatchCommand("a", 0, text, 0.0))
    assert outcome.status == PatchStatus.INVALID
    assert apply.machine.version == 0


def test_claim_limits_follow_the_document_and_survive_a_snapshot():
    apply = Applier()
    apply(patch("a", 0, {"limits": {"claims": {"max_claims": 2}}}))
    for reload in (False, True):
        if reload:
            apply.reload()
        for key in ("one", "two"):
            apply(claim(key, key))
        assert apply(claim("three", "three")).status == ClaimStatus.FULL
    apply(patch("b", 1, {"limits": {"claims": {"max_claims": 3}}}))
    assert apply(claim("three", "three")).status == ClaimStatus.GRANTED
    apply(patch("c", 2, {"limits": None}))
    apply.reload()
    assert apply(claim("four", "four")).status == ClaimStatus.GRANTED


def test_claim_is_kept_for_the_retention_set_in_the_document():
    apply = Applier()
    limits = {"claims": {"retention_seconds": 60}}
    apply(patch("a", 0, {"limits": limits}))
    assert apply(claim("k", "one", at=0.0)).status == ClaimStatus.GRANTED
    assert apply(claim("k", "two", at=59.0)).status == ClaimStatus.IN_PROGRESS
    assert apply(claim("k", "two", at=61.0)).status == ClaimStatus.GRANTED


def test_claim_is_kept_while_its_call_may_still_run():
    """A call that outlasted the retention was run again."""
    apply = Applier()
    limits = {"claims": {"retention_seconds": 60}}
    apply(patch("a", 0, {"limits": limits}))
    assert apply(claim("k", "one", at=0.0, expires=300.0)).status == "granted"
    assert apply(claim("k", "two", at=299.0)).status == ClaimStatus.IN_PROGRESS
    assert apply(claim("k", "two", at=301.0)).status == ClaimStatus.GRANTED


def open_order(apply, instance):
    return apply(permit(instance, LoadPermitStatus.ASKED)).open_order


def test_order_stays_open_until_its_outcome_is_known():
    apply = start_rollout()
    assert open_order(apply, "a") is None
    apply(permit("a"))
    apply.reload()
    assert open_order(apply, "a").version == "v1"
    apply(permit("a", LoadPermitStatus.UNKNOWN))
    assert open_order(apply, "a").version == "v1"
    # Its permit is released, though, so that other targets can get one.
    assert [apply(permit(name)).granted for name in "bc"] == [True, True]
    apply(permit("a", LoadPermitStatus.DONE))
    assert open_order(apply, "a") is None


def test_order_stays_open_after_its_permit_expires_and_the_version_changes():
    apply = start_rollout()
    apply(permit("a"))
    apply(patch("back", 1, {"models": {"m": {"version": "v0"}}}))
    assert apply(permit("b", at=61, version="v0")).granted
    assert open_order(apply, "a").version == "v1"
    apply(permit("a", LoadPermitStatus.DONE, version="v1"))
    assert open_order(apply, "a") is None


def test_order_of_a_target_that_does_not_serve_is_open_without_a_permit():
    apply = start_rollout()
    assert apply(permit("a", serving=False)).granted
    assert open_order(apply, "a").version == "v1"
    assert [apply(permit(name)).granted for name in "bcd"] == [True, True, False]


def test_order_that_is_never_reported_expires():
    apply = start_rollout()
    apply(permit("a"))
    apply(permit("b", at=61 + OPEN_ORDER_RETENTION))
    assert open_order(apply, "a") is None
