"""When a request that waits at a target with older weights is withdrawn."""

import pytest

from banyanshore.routing.withdrawal import WithdrawalRule

RULE = WithdrawalRule(7.2, 8.0)


def withdrawn_at(sent_at, now=7.0, first_byte_seconds=0.0):
    """Return the age of the newer version at which a request is withdrawn."""
    return now + RULE.seconds_left(now, now - sent_at, first_byte_seconds)


@pytest.mark.parametrize(
    ("sent_at", "age"),
    [(7.19, 7.595), (7.0, 7.5), (6.7, 7.35), (3.0, 7.2), (-5.0, 7.2)],
)
def test_close_has_as_long_as_the_request_had(sent_at, age):
    """Requests sent 6.7 s after the name arrived, as their close did, after 8.2 s."""
    assert withdrawn_at(sent_at) == pytest.approx(age)


def test_target_that_answers_late_is_withdrawn_from_earlier():
    assert withdrawn_at(7.1, first_byte_seconds=0.6) == pytest.approx(7.4)


@pytest.mark.parametrize("first_byte_seconds", [0.0, 0.5, 3.0, 100.0])
@pytest.mark.parametrize("sent_at", [-100.0, 0.0, 7.0, 7.2])
def test_withdrawal_lies_between_the_switch_and_the_bound(sent_at, first_byte_seconds):
    assert 7.2 <= withdrawn_at(sent_at, 7.2, first_byte_seconds) <= 7.6


def test_result_is_the_same_whenever_it_is_computed():
    assert withdrawn_at(6.9, 7.0) == pytest.approx(withdrawn_at(6.9, 7.3))


def test_request_on_the_latest_weights_is_never_withdrawn():
    assert RULE.seconds_left(float("-inf"), 9.0, 9.0) == float("inf")
