import itertools

from banyanshore.routing.crashes import (
    MAX_RESTART_SECONDS,
    REFUSAL_SECONDS,
    Crash,
    CrashDetector,
)

POISON, OTHER = b"poison", b"other"


def lose(detector, target, offered_at, lost_at, *fingerprints):
    """Have a target end with what it ran, and start again."""
    for fingerprint in fingerprints:
        detector.record_lost(Crash((target, 1), fingerprint, offered_at, lost_at))
    found, _ = detector.find_restarts(lost_at + 1.0, {target: 2})
    return found


def test_request_that_ends_three_targets_in_turn_is_refused():
    detector = CrashDetector()
    for number in range(3):
        assert not detector.is_refused(4.0 * number, POISON)
        lose(detector, f"t-{number}", 4.0 * number, 4.0 * number + 0.1, POISON, OTHER)
        detector.record_complete_answer(10.0, OTHER)
    assert detector.is_refused(10.0, POISON)
    assert not detector.is_refused(10.0, OTHER)
    assert not detector.is_refused(10.0 + REFUSAL_SECONDS, POISON)


def test_targets_that_end_at_once_are_one_crash():
    """A data centre loses power while many callers send the same request."""
    detector = CrashDetector()
    for number in range(5):
        lose(detector, f"t-{number}", 1.0 + 0.1 * number, 2.0 + 0.1 * number, OTHER)
    # Others ran at other targets there.
    lose(detector, "t-9", 1.0, 2.3, b"third")
    assert not detector.is_refused(4.0, OTHER)


def test_three_targets_that_alone_end_at_once_are_three_crashes():
    detector = CrashDetector()
    for number in range(3):
        lose(detector, f"t-{number}", 1.0, 2.0 + 0.1 * number, POISON)
    # A target that ended long before has nothing to do with them.
    lose(detector, "t-9", 0.1, 0.5, OTHER)
    assert detector.is_refused(4.0, POISON)


def test_connections_that_are_cut_or_reset_make_no_suspect():
    detector = CrashDetector()
    for number, seconds in itertools.product(range(3), range(5)):
        crash = Crash((f"t-{number}", 1), OTHER, 10.0 * seconds, 10.0 * seconds + 1)
        detector.record_lost(crash)
        # Known as before, or not known while it is cut off.
        for incarnation_by_address in ({f"t-{number}": 1}, {}):
            found, _ = detector.find_restarts(
                10.0 * seconds + 2, incarnation_by_address
            )
            assert not found
    assert not detector.is_refused(50.0, OTHER)


def test_start_long_after_an_answer_broke_off_explains_nothing():
    detector = CrashDetector()
    detector.record_lost(Crash(("t-1", 1), OTHER, 0.0, 1.0))
    found, unexplained = detector.find_restarts(1.1 + MAX_RESTART_SECONDS, {"t-1": 2})
    assert not found
    assert [crash.id for crash in unexplained] == [("t-1", 1)]


def test_whole_answer_clears_here_and_elsewhere():
    detector, far = CrashDetector(), CrashDetector()
    for number in range(3):
        for crash in lose(
            detector, f"t-{number}", 4.0 * number, 4.0 * number + 1, OTHER
        ):
            far.record_crash(crash)
    assert far.is_refused(10.0, OTHER)
    assert detector.record_complete_answer(10.0, OTHER)
    far.record_complete_answer(10.0, OTHER)
    assert not detector.is_refused(10.0, OTHER)
    assert not far.is_refused(10.0, OTHER)


def test_one_crash_told_by_two_gateways_counts_once():
    detector = CrashDetector()
    for _ in range(4):
        detector.record_crash(Crash(("t-1", 1), POISON, 0.0, 1.0))
    assert not detector.is_refused(2.0, POISON)


def test_target_that_takes_no_connections_has_ended():
    """Ends were known only once their targets had started again, if ever."""
    detector = CrashDetector()
    for number in range(3):
        target_id = (f"t-{number}", 1)
        detector.record_lost(Crash(target_id, POISON, number, number + 0.1))
        assert [crash.id for crash in detector.record_exit(target_id)] == [target_id]
        assert not detector.record_exit(target_id)
    assert detector.is_refused(3.0, POISON)


def test_target_that_answers_later_has_not_ended():
    """It was behind a cut that refuses connections."""
    detector, far = CrashDetector(), CrashDetector()
    for number in range(3):
        detector.record_lost(Crash((f"t-{number}", 1), OTHER, number, number + 0.1))
        for crash in detector.record_exit((f"t-{number}", 1)):
            assert far.record_crash(crash)
    for seen in (detector, far):
        assert seen.is_refused(3.0, OTHER)
        assert not seen.record_answer(("t-1", 1), 1.05)
        assert seen.record_answer(("t-1", 1), 3.0)
        assert not seen.is_refused(3.0, OTHER)
    # What others tell of that end is late news.
    assert not far.record_crash(Crash(("t-1", 1), OTHER, 1.0, 1.1))
    assert far.record_crash(Crash(("t-1", 1), OTHER, 3.0, 3.5))


def test_answer_under_the_old_name_of_a_restarted_target_is_no_proof():
    detector = CrashDetector()
    detector.record_lost(Crash(("t-1", 1), POISON, 0.0, 0.1))
    detector.record_exit(("t-1", 1))
    assert detector.record_answer(("t-1", 1), 1.0)
    assert detector.count(POISON) == 0
    found, _ = detector.find_restarts(2.0, {"t-1": 2})
    assert [crash.fingerprint for crash in found] == [POISON]
    assert detector.count(POISON) == 1


def test_late_news_does_not_bring_a_cleared_request_back():
    detector = CrashDetector()
    crash = Crash(("t-1", 1), OTHER, 0.0, 0.1)
    assert detector.record_crash(crash)
    assert detector.record_complete_answer(1.0, OTHER)
    assert not detector.record_crash(crash)


def test_request_that_crashes_targets_for_hours_gets_to_few_of_them():
    """It was forgotten after a minute, and then ended three targets more."""
    detector = CrashDetector()
    crashed_at = []
    for second in range(0, 4 * 3600, 5):
        if not detector.is_refused(second, POISON):
            lose(detector, f"t-{second}", second, second + 0.1, POISON)
            crashed_at.append(second)
        detector.find_restarts(second + 4.0, {})
    assert crashed_at[:3] == [0, 5, 10]
    assert len(crashed_at) <= 3 + 3


def test_request_that_comes_each_minute_is_known_again():
    detector = CrashDetector()
    for number in range(3):
        lose(detector, f"t-{number}", 70.0 * number, 70.0 * number + 0.1, POISON)
        detector.find_restarts(70.0 * number + 65.0, {})
    assert detector.is_refused(150.0, POISON)
