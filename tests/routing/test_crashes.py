import heapq
import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banyanshore.routing.crashes import (
    EXPIRY_SECONDS,
    MAX_RESTART_SECONDS,
    REFUSAL_SECONDS,
    Crash,
    CrashDetector,
    Survival,
)

POISON, OTHER = b"poison", b"other"


def crash_target(detector, target, offered_at, lost_at, *fingerprints):
    """Crash a target with the requests that it runs, and start it again."""
    for fingerprint in fingerprints:
        detector.record_lost(Crash((target, 1), fingerprint, offered_at, lost_at))
    found, _ = detector.find_restarts(lost_at + 1.0, {target: 2})
    return found


def answer(detector, target, fingerprint, offered_at, is_reported=False):
    """Record that a target has answered a request completely."""
    survival = Survival((target, 1), fingerprint, offered_at)
    return detector.record_complete_answer(survival, is_reported)


def test_request_that_crashes_three_targets_in_turn_is_refused():
    detector = CrashDetector()
    for number in range(3):
        assert not detector.is_refused(4.0 * number, POISON)
        crash_target(
            detector, f"t-{number}", 4.0 * number, 4.0 * number + 0.1, POISON, OTHER
        )
        answer(detector, "t-9", OTHER, 4.0 * number + 1.0)
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


def test_complete_answers_clear_a_request_at_all_gateways():
    """A request that was blamed wrongly is cleared by as many targets as crashed."""
    detector, other_detector = CrashDetector(), CrashDetector()
    for number in range(3):
        for crash in crash_target(
            detector, f"t-{number}", 4.0 * number, 4.0 * number + 1, OTHER
        ):
            other_detector.record_crash(crash)
    for number in range(3):
        assert detector.is_refused(10.0, OTHER)
        assert other_detector.is_refused(10.0, OTHER)
        assert answer(detector, f"s-{number}", OTHER, 9.5) == (number == 2)
        (reported,) = detector.take_answers_to_report()
        other_detector.record_complete_answer(reported, is_reported=True)
    assert not other_detector.take_answers_to_report()
    assert not detector.is_refused(10.0, OTHER)
    assert not other_detector.is_refused(10.0, OTHER)


def test_answers_at_several_gateways_add_up():
    detectors = [CrashDetector() for _ in range(3)]
    for number, detector in itertools.product(range(3), detectors):
        detector.record_crash(Crash((f"t-{number}", 1), OTHER, number, number + 0.5))
    for number, detector in enumerate(detectors):
        answer(detector, f"s-{number}", OTHER, 5.0)
        for reported in detector.take_answers_to_report():
            for other in detectors:
                other.record_complete_answer(reported, is_reported=True)
    assert [detector.count(OTHER) for detector in detectors] == [0, 0, 0]


def test_answer_to_a_copy_sent_before_a_crash_says_nothing_of_it():
    """Copies of a request ran at several targets at once, and one was answered."""
    detector = CrashDetector()
    for number in range(3):
        crash_target(detector, f"t-{number}", 1.0, 2.0, POISON)
    for number in range(5):
        assert not answer(detector, f"s-{number}", POISON, 1.9)
    assert detector.count(POISON) == 3


def test_repeated_answers_of_one_target_count_once():
    """It may have survived for a reason of its own, or repeat a stored answer."""
    detector = CrashDetector()
    for number in range(3):
        crash_target(detector, f"t-{number}", number, number + 0.1, POISON)
    for number in range(5):
        assert not answer(detector, "s-1", POISON, 3.0 + number)
    assert len(detector.take_answers_to_report()) == 1
    assert detector.count(POISON) == 3


def test_answer_that_has_cleared_a_request_clears_no_further_crash():
    """Gateways repeat their reports, and find out about a crash seconds after it."""
    detector = CrashDetector()
    detector.record_lost(Crash(("t-1", 1), POISON, 0.0, 1.0))
    detector.record_lost(Crash(("t-2", 1), POISON, 0.0, 1.0))
    detector.record_exit(("t-1", 1))
    assert answer(detector, "s-1", POISON, 1.1)
    detector.record_exit(("t-2", 1))
    assert not answer(detector, "s-1", POISON, 1.2, is_reported=True)
    assert detector.count(POISON) == 1


def test_answer_counts_against_a_crash_that_is_found_out_later():
    detector = CrashDetector()
    detector.record_lost(Crash(("t-1", 1), OTHER, 0.0, 1.0))
    assert not answer(detector, "s-1", OTHER, 1.1)
    assert not detector.take_answers_to_report()
    detector.find_restarts(4.0, {"t-1": 2})
    assert detector.count(OTHER) == 0
    assert len(detector.take_answers_to_report()) == 1


def test_answers_to_requests_without_suspicion_are_forgotten():
    detector = CrashDetector()
    answer(detector, "s-1", OTHER, 1.0)
    detector.record_lost(Crash(("t-1", 1), OTHER, 0.0, 1.0))
    answer(detector, "s-1", OTHER, 1.1)
    detector.find_restarts(2.0 + MAX_RESTART_SECONDS, {})
    crash_target(detector, "t-2", 0.0, 1.0, POISON)
    answer(detector, "s-1", POISON, 1.1)
    detector.find_restarts(2.0 + EXPIRY_SECONDS, {})
    assert not detector._unreported
    assert not detector._survival_by_id_by_fingerprint
    assert not detector._clearance_by_fingerprint


evidence = st.tuples(
    st.sampled_from(["crash", "answer"]),
    st.integers(0, 7),
    # Latencies of the repeated updates that report it to this gateway.
    st.lists(st.floats(0, 1), min_size=1, max_size=3),
)


@given(st.lists(evidence, max_size=30), st.randoms(use_true_random=False))
def test_no_more_crashes_are_cleared_than_targets_have_answered(events, shuffle):
    """Updates arrive repeatedly, late and in any order."""
    updates = [
        (kind, f"{kind}-{target}", 0.2 * number, latency)
        for number, (kind, target, latencies) in enumerate(events)
        for latency in latencies
    ]
    # One target ends once, and counts once as one that has answered.
    first_at_by_name = {}
    for _, name, at, _ in updates:
        first_at_by_name.setdefault(name, at)
    shuffle.shuffle(updates)
    detector = CrashDetector()
    for kind, name, _, latency in updates:
        at = first_at_by_name[name] + latency
        if kind == "crash":
            detector.record_crash(Crash((name, 1), POISON, at - 0.1, at))
        else:
            answer(detector, name, POISON, at, is_reported=True)
    crashes = sum(name.startswith("crash") for name in first_at_by_name)
    assert crashes - detector.count(POISON) <= len(first_at_by_name) - crashes


class Schedule:
    """A request that is sent at a fixed rate, and the crashes of its targets.

    :param crash_share: share of its runs that crash their targets.
    """

    PROOF_SECONDS, RUN_SECONDS, TARGETS = 0.1, 0.05, 40

    def __init__(self, seed, crash_share):
        self._random = random.Random(seed)
        self._crash_share = crash_share
        self._detector = CrashDetector()
        self._numbers = itertools.count()
        self.crashed_at = []
        self.sent_at = []
        self.refused = 0

    def run(self, gap_seconds, times):
        """Send the request at intervals, and process the ends of its runs in order."""
        queue = [(gap_seconds * number, -1, self._send) for number in range(times)]
        while queue:
            now, number, act = heapq.heappop(queue)
            for delay, next_act in act(now, number):
                heapq.heappush(queue, (now + delay, next(self._numbers), next_act))

    def _send(self, now, number):
        if self._detector.is_refused(now, POISON):
            self.refused += 1
            return
        self.sent_at.append(now)
        target_id = f"t-{self._random.randrange(self.TARGETS)}", len(self.sent_at)
        is_crash = self._random.random() < self._crash_share
        end = self._crash if is_crash else self._answer
        yield self.RUN_SECONDS, lambda at, _: end(at, target_id, now)

    def _crash(self, now, target_id, offered_at):
        self.crashed_at.append(now)
        self._detector.record_lost(Crash(target_id, POISON, offered_at, now))
        yield self.PROOF_SECONDS, lambda at, _: self._prove(target_id)

    def _prove(self, target_id):
        self._detector.record_exit(target_id)
        return ()

    def _answer(self, now, target_id, offered_at):
        self._detector.record_answer(target_id, offered_at)
        self._detector.record_complete_answer(Survival(target_id, POISON, offered_at))
        return ()


@pytest.mark.parametrize("crash_share", [1.0, 0.9, 0.7])
def test_request_that_crashes_most_targets_is_not_repeated(crash_share):
    """Each of its answers cleared it of all its crashes."""
    for seed in range(30):
        schedule = Schedule(seed, crash_share)
        schedule.run(0.02, 1000)
        third_at = sorted(schedule.crashed_at)[2]
        assert sum(at > third_at + 3.0 for at in schedule.sent_at) <= 3, seed


def test_request_that_survives_most_targets_is_served():
    """It runs everywhere, so some of its runs end with targets that others crash."""
    for seed in range(30):
        schedule = Schedule(seed, 0.01)
        schedule.run(0.1, 3000)
        assert len(schedule.crashed_at) > 10
        assert schedule.refused == 0, seed


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
    assert answer(detector, "s-1", OTHER, 0.2)
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
