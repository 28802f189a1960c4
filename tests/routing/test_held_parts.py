"""Suspected parts of prompts that each gateway tries one request at a time."""

from banyanshore.routing.held_parts import TRIAL_SECONDS
from tests.routing.test_prompt_parts import (
    CRASHING,
    SOUND,
    SYSTEM,
    PartDetector,
    crash,
    serve,
)


def suspect_two(detector):
    """Refuse a part, and have another one suspected that was beside it."""
    serve(detector, 9.0, 60, SYSTEM)
    for number in range(4):
        parts = (CRASHING, b"second") if number < 2 else (CRASHING,)
        crash(detector, 10.0 + number / 5, f"t-{number}", SYSTEM, *parts)
    (row,) = detector.weigh(11.5)
    assert row.part == CRASHING


def test_suspected_part_is_let_through_once_a_second():
    """Its requests came in numbers as the targets were back, and crashed all again."""
    detector = PartDetector()
    suspect_two(detector)
    assert not detector.find_refused(12.0, (SYSTEM, b"second"))
    assert detector.find_refused(12.1, (SYSTEM, b"second")).part == b"second"
    assert not detector.find_refused(12.1 + TRIAL_SECONDS, (SYSTEM, b"second"))


def test_requests_without_the_suspected_part_are_not_held():
    detector = PartDetector()
    suspect_two(detector)
    assert not detector.find_refused(12.0, (SYSTEM, b"second"))
    for _ in range(10):
        assert not detector.find_refused(12.1, (SYSTEM, SOUND))


def test_looking_for_a_held_part_sends_none():
    detector = PartDetector()
    suspect_two(detector)
    for _ in range(10):
        assert not detector.find_held(12.0, (b"second",))
    detector.record_sent(12.0, (b"second",))
    assert detector.find_held(12.0, (b"second",))


def test_answers_that_have_begun_end_the_suspicion():
    detector = PartDetector()
    suspect_two(detector)
    serve(detector, 12.0, 6, SYSTEM, b"second")
    for _ in range(10):
        assert not detector.find_refused(12.1, (SYSTEM, b"second"))


def test_part_of_one_crash_is_not_suspected():
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    crash(detector, 10.0, "t-0", SYSTEM, CRASHING)
    detector.weigh(10.5)
    assert not detector.has_suspects
