import itertools

from banyanshore.routing.crashes import (
    MAX_RESTART_SECONDS,
    REFUSAL_SECONDS,
    Crash,
    CrashDetector,
)

POISON, OTHER = b"poison", b"other"


def crash_target(detector, target, offered_at, lost_at, *fingerprints):
    """Crash a target with the requests that it runs, and start it again."""
    for fingerprint in fingerprints:
        detector.record_lost(Crash((target, 1), fingerprint, offered_at, lost_at))
    found, _ = detector.find_restarts(lost_at + 1.0, {target: 2})
    return found


def test_request_that_crashes_three_targets_in_turn_is_refused():
    detector = CrashDetector()
    for number in range(3):
        assert not detector.is_refused(4.0 * number, POISON)
        crash_target(
            detector, f"t-{number}", 4.0 * number, 4.0 * number + 0.1, POISON, OTHER
        )
        detector.record_complete_answer(10.0, OTHER)
    assert detector.is_refused(10.0, POISON)
    assert not detector.is_refused(10.0, OTHER)
    assert not detector.is_refused(10.0 + REFUSAL_SECONDS, POISON)


def test_simultaneous_exits_count_as_one_crash():
    """A data centre loses power while many callers send the same request."""
    detector = CrashDetector()
    for number in range(5):
        crash_target(
            detector, f"t-{number}", 1.0 + 0.1 * number, 2.0 + 0.1 * number, OTHER
        )
    # Another request ran at another target there.
    crash_target(detector, "t-9", 1.0, 2.3, b"third")
    assert not detector.is_refused(4.0, OTHER)


def test_simultaneous_crashes_by_one_request_alone_count_separately():
    detector = CrashDetector()
    for number in range(3):
        crash_target(detector, f"t-{number}", 1.0, 2.0 + 0.1 * number, POISON)
    # A target that exited long before is unrelated.
    crash_target(detector, "t-9", 0.1, 0.5, OTHER)
    assert detector.is_refused(4.0, POISON)


def test_cut_or_reset_connections_make_no_suspect():
    detector = CrashDetector()
    for number, seconds in itertools.product(range(3), range(5)):
        crash = Crash((f"t-{number}", 1), OTHER, 10.0 * seconds, 10.0 * seconds + 1)
        detector.record_lost(crash)
        # Registered as before, or not registered while it is cut off.
        for incarnation_by_address in ({f"t-{number}": 1}, {}):
            found, _ = detector.find_restarts(
                10.0 * seconds + 2, incarnation_by_address
            )
            assert not found
    assert not detector.is_refused(50.0, OTHER)


def test_late_restart_does_not_explain_a_lost_answer():
    detector = CrashDetector()
    detector.record_lost(Crash(("t-1", 1), OTHER, 0.0, 1.0))
    found, unexplained = detector.find_restarts(1.1 + MAX_RESTART_SECONDS, {"t-1": 2})
    assert not found
    assert [crash.id for crash in unexplained] == [("t-1", 1)]


def test_complete_answer_clears_a_request_at_all_gateways():
    detector, other_detector = CrashDetector(), CrashDetector()
    for number in range(3):
        for crash in crash_target(
            detector, f"t-{number}", 4.0 * number, 4.0 * number + 1, OTHER
        ):
            other_detector.record_crash(crash)
    assert other_detector.is_refused(10.0, OTHER)
    assert detector.record_complete_answer(10.0, OTHER)
    other_detector.record_complete_answer(10.0, OTHER)
    assert not detector.is_refused(10.0, OTHER)
    assert not other_detector.is_refused(10.0, OTHER)


def test_crash_reported_by_two_gateways_counts_once():
    detector = CrashDetector()
    for _ in range(4):
        detector.record_crash(Crash(("t-1", 1), POISON, 0.0, 1.0))
    assert not detector.is_refused(2.0, POISON)


def test_target_that_refuses_connections_has_exited():
    """Exits were detected only when the targets had started again, if ever."""
    detector = CrashDetector()
    for number in range(3):
        target_id = (f"t-{number}", 1)
        detector.record_lost(Crash(target_id, POISON, number, number + 0.1))
        assert [crash.id for crash in detector.record_exit(target_id)] == [target_id]
        assert not detector.record_exit(target_id)
    assert detector.is_refused(3.0, POISON)


def test_target_that_answers_later_has_not_exited():
    """It was behind a network partition that made connections fail as refused."""
    detector, other_detector = CrashDetector(), CrashDetector()
    for number in range(3):
        detector.record_lost(Crash((f"t-{number}", 1), OTHER, number, number + 0.1))
        for crash in detector.record_exit((f"t-{number}", 1)):
            assert other_detector.record_crash(crash)
    for each in (detector, other_detector):
        assert each.is_refused(3.0, OTHER)
        assert not each.record_answer(("t-1", 1), 1.05)
        assert each.record_answer(("t-1", 1), 3.0)
        assert not each.is_refused(3.0, OTHER)
    # Late updates of other gateways on that exit are ignored.
    assert not other_detector.record_crash(Crash(("t-1", 1), OTHER, 1.0, 1.1))
    assert other_detector.record_crash(Crash(("t-1", 1), OTHER, 3.0, 3.5))


def test_answer_before_the_new_incarnation_is_registered_proves_nothing():
    detector = CrashDetector()
    detector.record_lost(Crash(("t-1", 1), POISON, 0.0, 0.1))
    detector.record_exit(("t-1", 1))
    assert detector.record_answer(("t-1", 1), 1.0)
    assert detector.count(POISON) == 0
    found, _ = detector.find_restarts(2.0, {"t-1": 2})
    assert [crash.fingerprint for crash in found] == [POISON]
    assert detector.count(POISON) == 1


def test_late_update_does_not_make_a_cleared_request_suspect_again():
    detector = CrashDetector()
    crash = Crash(("t-1", 1), OTHER, 0.0, 0.1)
    assert detector.record_crash(crash)
    assert detector.record_complete_answer(1.0, OTHER)
    assert not detector.record_crash(crash)


def test_request_sent_for_hours_crashes_few_targets():
    """It was forgotten after a minute, and then crashed three more targets."""
    detector = CrashDetector()
    crashed_at = []
    for second in range(0, 4 * 3600, 5):
        if not detector.is_refused(second, POISON):
            crash_target(detector, f"t-{second}", second, second + 0.1, POISON)
            crashed_at.append(second)
        detector.find_restarts(second + 4.0, {})
    assert crashed_at[:3] == [0, 5, 10]
    assert len(crashed_at) <= 3 + 3


def test_crashes_a_minute_apart_are_remembered():
    detector = CrashDetector()
    for number in range(3):
        crash_target(
            detector, f"t-{number}", 70.0 * number, 70.0 * number + 0.1, POISON
        )
        detector.find_restarts(70.0 * number + 65.0, {})
    assert detector.is_refused(150.0, POISON)
