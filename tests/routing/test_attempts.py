"""Next steps for a request that a target has not answered."""

import pytest

from banyanshore.routing.attempts import (
    MAX_UNREACHABLE,
    Attempts,
    Outcome,
    Step,
)


def always():
    return True


def never():
    return False


def make_attempts(may_repeat, max_offers=2, offers=1):
    attempts = Attempts(may_repeat, max_offers)
    for number in range(offers):
        attempts.begin(f"target-{number}")
    return attempts


@pytest.mark.parametrize(
    ("outcome", "may_repeat", "step"),
    [
        (Outcome.NOT_RUN, False, Step.OFFER),
        (Outcome.NOT_RUN, True, Step.OFFER),
        (Outcome.FAILED, True, Step.OFFER),
        (Outcome.FAILED, False, Step.PASS_FAILURE),
        (Outcome.LOST, True, Step.OFFER),
        (Outcome.LOST, False, Step.REPORT_UNKNOWN),
        (Outcome.WITHDRAWN, True, Step.OFFER),
        (Outcome.WITHDRAWN, False, Step.REPORT_UNKNOWN),
        (Outcome.BROKEN_OFF, True, Step.OFFER),
        (Outcome.BROKEN_OFF, False, Step.BREAK_OFF),
    ],
)
def test_step_after_the_first_offer(outcome, may_repeat, step):
    assert make_attempts(may_repeat).next_step(outcome, always) is step


@pytest.mark.parametrize(
    ("outcome", "step"),
    [
        (Outcome.NOT_RUN, Step.REFUSE),
        (Outcome.FAILED, Step.PASS_FAILURE),
        (Outcome.LOST, Step.REPORT_UNKNOWN),
        (Outcome.WITHDRAWN, Step.REPORT_UNKNOWN),
        (Outcome.BROKEN_OFF, Step.BREAK_OFF),
    ],
)
@pytest.mark.parametrize(("offers", "try_retry"), [(2, always), (1, never)])
def test_last_step_without_offers_or_budget_left(outcome, step, offers, try_retry):
    assert make_attempts(True, 2, offers).next_step(outcome, try_retry) is step


def test_refusal_after_a_possible_run_reports_an_unknown_outcome():
    attempts = make_attempts(True, 3)
    assert attempts.next_step(Outcome.LOST, always) is Step.OFFER
    attempts.begin("other")
    assert attempts.next_step(Outcome.NOT_RUN, never) is Step.REPORT_UNKNOWN
    assert attempts.refusal() is Step.REPORT_UNKNOWN


def test_unreachable_targets_use_up_no_offer_but_are_bounded():
    attempts = Attempts(False, 1)
    for number in range(MAX_UNREACHABLE):
        attempts.begin(f"target-{number}")
        assert attempts.next_step(Outcome.UNREACHABLE, never) is Step.OFFER
    attempts.begin("last")
    assert attempts.next_step(Outcome.UNREACHABLE, never) is Step.REFUSE
