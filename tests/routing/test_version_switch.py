"""Grace period in which targets with older weights are used."""

from banyanshore.routing.version_switch import FIRST_STATE_SECONDS, VersionSwitch


def rollouts(**versions):
    return {model: {"version": version} for model, version in versions.items()}


def started_switch():
    switch = VersionSwitch(7.0)
    switch.record(0.0, {})
    return switch


def test_older_versions_are_used_until_the_grace_period_ends():
    switch = started_switch()
    switch.record(10.0, rollouts(m=2))
    assert switch.latest_version("m") == 2
    assert switch.oldest_allowed_version(16.9, "m") == 0
    assert switch.oldest_allowed_version(17.0, "m") == 2


def test_each_version_has_its_own_grace_period():
    switch = started_switch()
    switch.record(10.0, rollouts(m=2))
    switch.record(12.0, rollouts(m=3))
    assert switch.oldest_allowed_version(17.5, "m") == 2
    assert switch.oldest_allowed_version(19.0, "m") == 3
    assert switch.known_since("m") == 12.0


def test_repeated_version_does_not_restart_the_grace_period():
    switch = started_switch()
    switch.record(10.0, rollouts(m=2))
    switch.record(15.0, rollouts(m=2))
    assert switch.oldest_allowed_version(17.0, "m") == 2


def test_process_that_has_just_started_shortens_the_grace_period():
    """It would have used them for another full grace period."""
    switch = VersionSwitch(7.0)
    switch.record(10.0, rollouts(m=2))
    assert switch.oldest_allowed_version(10.0 + FIRST_STATE_SECONDS, "m") == 2


def test_reported_age_applies_in_a_process_that_has_just_started():
    """A gateway restarted during a rollout used older weights 2.4 s too long."""
    control = started_switch()
    control.record(10.0, rollouts(m=2))
    gateway = VersionSwitch(7.0)
    gateway.record(512.0, rollouts(m=2), control.ages(12.0))
    assert gateway.oldest_allowed_version(516.9, "m") == 0
    assert gateway.oldest_allowed_version(517.0, "m") == 2


def test_first_newer_version_counts_for_older_weights():
    switch = started_switch()
    switch.record(10.0, rollouts(m=2))
    switch.record(12.0, rollouts(m=3))
    assert switch.newer_known_since("m", 1) == 10.0
    assert switch.newer_known_since("m", 2) == 12.0
    assert switch.newer_known_since("m", 3) == float("inf")
    assert switch.newer_known_since("other", 1) == float("inf")


def test_models_are_tracked_separately():
    switch = started_switch()
    switch.record(10.0, rollouts(m=2))
    assert switch.oldest_allowed_version(99.0, "other") == 0
    assert switch.known_since("other") == float("-inf")
