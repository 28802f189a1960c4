"""Concurrency limit of a target: cold start, ramp-up and detection of cold targets."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from banyanshore.routing.admission import Admission, AdmissionOptions

OPTIONS = AdmissionOptions(1, 3, 2.0, 8, 2, 5.0)


def complete(admission, now, request_id, ttft=0.1, succeeded=True):
    admission.record_first_token(now + ttft, request_id)
    admission.release(now + ttft, request_id, ttft, succeeded)


def warm_up(admission, now=0.0):
    number = 0
    while admission.limit < admission.options.full_limit:
        request_id = f"warm-{number}"
        assert admission.try_acquire(now, request_id)
        complete(admission, now, request_id)
        now += 0.3
        number += 1
    return now


def test_cold_target_is_limited_to_the_cold_limit():
    admission = Admission(OPTIONS)
    assert admission.try_acquire(0.0, "a")
    assert not admission.try_acquire(0.0, "b")


def test_ramp_needs_both_work_and_time():
    admission = Admission(OPTIONS)
    for number in range(10):
        assert admission.try_acquire(0.0, str(number))
        admission.release(0.0, str(number), 0.1, True)
    assert admission.limit == 1
    assert admission.try_acquire(2.1, "late")
    admission.release(2.1, "late", 0.1, True)
    assert admission.limit == 2


def test_failures_do_not_ramp():
    admission = Admission(OPTIONS)
    for number in range(20):
        admission.try_acquire(number, str(number))
        admission.release(number, str(number), 0.1, False)
    assert admission.limit == 1


def test_new_incarnation_is_cold():
    admission = Admission(OPTIONS)
    admission.observe_incarnation("one")
    warm_up(admission)
    admission.observe_incarnation("one")
    assert admission.limit == 8
    admission.observe_incarnation("two")
    assert admission.limit == 1


def test_slow_first_tokens_make_a_target_cold():
    admission = Admission(OPTIONS)
    now = warm_up(admission)
    for number in range(2):
        admission.try_acquire(now, str(number))
        complete(admission, now, str(number), ttft=1.0)
    assert admission.limit == 1


def test_overdue_first_token_lowers_the_limit():
    admission = Admission(OPTIONS)
    now = warm_up(admission)
    assert admission.try_acquire(now, "slow")
    assert admission.current_limit(now + 0.2) == 8
    assert admission.current_limit(now + 1.0) == 1
    assert not admission.try_acquire(now + 1.0, "next")
    complete(admission, now, "slow", ttft=1.1)
    assert admission.try_acquire(now + 1.2, "next")


def test_requests_of_an_earlier_agent_count_until_reported_as_finished():
    admission = Admission(OPTIONS, foreign=3)
    assert not admission.try_acquire(0.0, "a")
    admission.observe_foreign(2)
    admission.observe_foreign(5)
    assert admission.foreign == 2
    admission.observe_foreign(0)
    assert admission.try_acquire(0.0, "a")


def test_exclusive_request_waits_for_others_and_blocks_new_ones():
    admission = Admission(OPTIONS)
    warm_up(admission)
    assert admission.try_acquire(100.0, "a")
    assert not admission.try_acquire(100.0, "suspect", exclusive=True)
    assert not admission.try_acquire(100.0, "b")
    admission.release(100.1, "a", 0.1, True)
    assert admission.try_acquire(100.2, "suspect", exclusive=True)
    assert not admission.try_acquire(100.2, "b")
    admission.release(100.3, "suspect", 0.1, True)
    assert admission.try_acquire(100.4, "b")


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 3))
def test_requests_never_exceed_the_limit_and_counts_return_to_zero(seed, cold_limit):
    rng = random.Random(seed)
    admission = Admission(AdmissionOptions(cold_limit, 3, 0.5, 6, 2, 5.0))
    running, now = [], 0.0
    for number in range(200):
        now += rng.random() * 0.2
        roll = rng.random()
        if roll < 0.5:
            before = admission.current_limit(now)
            if admission.try_acquire(now, str(number)):
                running.append(str(number))
                assert len(running) <= before
        elif roll < 0.9 and running:
            request_id = running.pop(rng.randrange(len(running)))
            ttft = rng.choice([0.05, 0.1, 2.0])
            admission.record_first_token(now, request_id)
            admission.release(now, request_id, ttft, rng.random() < 0.8)
        elif roll > 0.97:
            admission.observe_incarnation(str(number))
            assert admission.limit == cold_limit
        assert admission.in_flight == len(running)
        assert admission.limit <= 6
    for request_id in running:
        admission.release(now, request_id, 0.1, True)
    assert admission.in_flight == 0
    assert not admission.started_at_by_id


def test_idle_target_settles_after_the_quiet_time():
    admission = Admission(OPTIONS)
    assert not admission.has_settled(10.4, 10.0, 0.5)
    assert admission.has_settled(10.5, 10.0, 0.5)


def test_full_target_settles_only_after_ramping_up():
    admission = Admission(OPTIONS)
    now = 0.0
    while 2 * admission.limit < OPTIONS.full_limit:
        taken = [f"{now}-{n}" for n in range(20) if admission.try_acquire(now, n)]
        assert len(taken) == admission.limit
        assert not admission.has_settled(now, 0.0, 0.5)
        now += 0.4
        for number in range(len(taken)):
            complete(admission, now, number)
        if 2 * admission.limit < OPTIONS.full_limit:
            assert not admission.has_settled(now, 0.0, 0.5)
    assert admission.has_settled(now, 0.0, 0.5)


def test_refusal_as_full_restarts_the_quiet_time():
    admission = Admission(OPTIONS)
    assert admission.try_acquire(0.0, "a")
    assert not admission.try_acquire(0.1, "b")
    complete(admission, 0.2, "a")
    assert not admission.has_settled(0.7, 0.0, 0.5)
    assert admission.has_settled(0.9, 0.0, 0.5)
