"""Grace period in which targets with older weights are used."""

from banyanshore.routing.version_switch import (
    FIRST_STATE_SECONDS,
    KEPT_VERSIONS,
    SETTLED_SECONDS,
    VersionSwitch,
)


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
    gateway.record_ages(512.0, control.ages(12.0))
    gateway.record(512.0, rollouts(m=2))
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


def test_larger_age_that_is_reported_later_wins():
    """The switch stayed late after an age that was too small."""
    switch = started_switch()
    switch.record(10.0, rollouts(m=2))
    (corrected,) = switch.record_ages(11.0, {("m", 2): 4.0})
    assert (corrected.version, corrected.earlier_by) == (2, 3.0)
    assert switch.known_since("m") == 7.0
    assert switch.oldest_allowed_version(14.0, "m") == 2


def test_smaller_age_changes_nothing():
    switch = started_switch()
    switch.record_ages(10.0, {("m", 2): 4.0})
    switch.record(10.0, rollouts(m=2))
    assert switch.record_ages(11.0, {("m", 2): 0.5}) == []
    switch.record(11.5, rollouts(m=2))
    assert switch.known_since("m") == 6.0


def test_version_named_while_out_of_touch_is_not_taken_as_new():
    """A gateway that was cut off for 3 s took the version as named when it arrived."""
    switch = started_switch()
    switch.record(10.0, rollouts(m=2), unconfirmed_seconds=3.0)
    assert switch.oldest_allowed_version(14.0, "m") == 2


def test_process_long_out_of_touch_keeps_the_cautious_grace_period():
    switch = started_switch()
    switch.record(10.0, rollouts(m=2), unconfirmed_seconds=99.0)
    assert switch.oldest_allowed_version(9.9 + FIRST_STATE_SECONDS, "m") == 0
    assert switch.oldest_allowed_version(10.0 + FIRST_STATE_SECONDS, "m") == 2


def test_age_that_arrives_long_before_its_version_counts_from_its_arrival():
    switch = started_switch()
    switch.record_ages(10.0, {("m", 2): 1.0})
    assert switch.latest_version("m") == 0
    switch.record(13.0, rollouts(m=2))
    assert switch.known_since("m") == 9.0


def test_version_that_was_missed_ends_the_use_of_those_before_it():
    """A gateway that had missed version 3 used version 2 until the switch to 4."""
    control = started_switch()
    control.record(10.0, rollouts(m=3))
    control.record(16.0, rollouts(m=4))
    gateway = started_switch()
    gateway.record_ages(517.0, control.ages(17.0))
    gateway.record(517.0, rollouts(m=4))
    assert gateway.oldest_allowed_version(517.0, "m") == 3
    assert gateway.oldest_allowed_version(523.0, "m") == 4


def test_assumed_ages_are_not_reported():
    """A process reported the age that it assumed for its first state as known."""
    switch = VersionSwitch(7.0)
    switch.record(10.0, rollouts(m=2))
    switch.record(11.0, rollouts(m=3), unconfirmed_seconds=5.0)
    switch.record(12.0, rollouts(m=4))
    assert switch.ages(13.0) == {}
    switch.record_ages(14.0, {("m", 2): 20.0, ("m", 3): 10.0})
    assert switch.ages(14.0) == {("m", 2): 20.0, ("m", 3): 10.0, ("m", 4): 2.0}


def test_age_is_not_reported_without_that_of_the_version_before():
    """A new gateway used version 1 until the switch to 3, long after that to 2."""
    control = VersionSwitch(FIRST_STATE_SECONDS)
    control.record(10.0, rollouts(m=2))
    control.record(11.0, rollouts(m=3))
    assert control.ages(12.0) == {}
    later = 10.0 + SETTLED_SECONDS
    assert control.ages(later).keys() == {("m", 2), ("m", 3)}


def test_ages_of_old_versions_are_forgotten():
    switch = started_switch()
    for version in range(1, 100):
        switch.record(float(version), rollouts(m=version))
    assert len(switch.ages(100.0)) == KEPT_VERSIONS
    assert switch.latest_version("m") == 99
