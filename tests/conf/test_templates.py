"""The settings that the platform's templates give, for bounds of other deployments."""

import re
from pathlib import Path

import pytest
import yaml

from banyanshore.conf.loader import parse_settings

TEMPLATES = Path(__file__).resolve().parents[2] / "deploy" / "settings"

# What the platform fills in; bounds may be whole numbers or fractions.
FIELDS = {
    "nodeName": '"edge-a-1"',
    "zone": '"a"',
    "region": '"north"',
    "backend": '"llm"',
    "app": '"10.1.0.9:8080"',
    "ip": "10.1.0.40",
    "portRange.0": "7700",
    "listen.frontend": '"10.1.0.40:8005"',
    "listen.ready": '"10.1.0.40:8002"',
    "listen.controlAddr": '"10.1.0.40:8000"',
    "seeds": '["10.1.0.43:8000"]',
    "zones": '{"a": "north"}',
    "dataDir": '"/data"',
    "bounds.retryRatio": "0.2",
    "bounds.retryBurst": "104",
    "bounds.retryWindowS": "10",
    "bounds.coldOverage": "1.5",
    "bounds.coldMargin": "5",
    "bounds.version_ms": "8000",
    "bounds.revokeMs": "5000",
    "bounds.graceS": "8",
    "heartbeatMs": "1200",
    "faultTolerance.machines": "1",
}


def fill(role, **bounds):
    """Return the settings of a role as its template gives them."""
    fields = {**FIELDS, **{f"bounds.{name}": text for name, text in bounds.items()}}
    text = (TEMPLATES / f"{role}.yaml").read_text()
    text = re.sub(r"\{\{#bootstrap\}\}.*?\{\{/bootstrap\}\}", "", text)
    text = re.sub(r"\{\{\^bootstrap\}\}(.*?)\{\{/bootstrap\}\}", r"\1", text)
    text = re.sub(r"\{\{([\w.]+)(?:\|json)?\}\}", lambda m: fields[m.group(1)], text)
    return parse_settings(yaml.safe_load(text))


@pytest.mark.parametrize("role", ["control", "gateway", "loader"])
def test_template_gives_settings_that_pass_their_checks(role):
    assert fill(role).role == role


def test_gateway_starts_where_the_bound_of_retries_is_a_fraction():
    # A small deployment states 37.83; every gateway ended at its start.
    assert fill("gateway", retryBurst="37.833333333333336").retries.burst < 38


@pytest.mark.parametrize(
    ("bound_ms", "seconds"), [("8000", 7.2), ("10000", 9.0), ("10500.5", 9.45045)]
)
@pytest.mark.parametrize("role", ["gateway", "loader"])
def test_older_weights_are_used_as_long_as_the_deployment_allows(
    role, bound_ms, seconds
):
    # A fixed 7.2 s left two seconds unused where 10 s are allowed.
    settings = fill(role, version_ms=bound_ms)
    assert settings.version_switch_seconds == pytest.approx(seconds)


def test_keys_are_refused_within_the_bound_of_the_deployment():
    assert fill("gateway", revokeMs="3000").key_lease_seconds == pytest.approx(2.7)
    assert fill("gateway").key_lease_seconds == pytest.approx(4.5)


def test_planned_stop_ends_before_the_process_is_killed():
    assert fill("gateway", graceS="4").stop_timeout < 4.0
    assert fill("gateway", graceS="8").stop_timeout == pytest.approx(7.2)


def test_target_is_dropped_after_heartbeats_of_the_deployment(monkeypatch):
    assert fill("control").target_expiry_seconds == pytest.approx(6.0)
    monkeypatch.setitem(FIELDS, "heartbeatMs", "2500.5")
    assert fill("control").target_expiry_seconds == pytest.approx(12.5025)
