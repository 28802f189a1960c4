"""Parts of prompts that crash targets, and sound ones that are lost beside them."""

import heapq
import itertools
import random
import time

import pytest

from banyanshore.routing.crashes import REFUSAL_SECONDS
from banyanshore.routing.part_evidence import (
    COUNTING_SECONDS,
    RecentCounts,
    RefusedPart,
    UnbegunLoss,
    part_digest,
)
from banyanshore.routing.prompt_parts import (
    MAX_CRASHES,
    MAX_REFUSED,
    PartDetector,
)

SYSTEM, CRASHING, SOUND = b"system", b"crashing", b"sound"


def crash(detector, at, target, *parts):
    detector.record_own_loss(at, frozenset(parts))
    return detector.record_crash(at, UnbegunLoss((target, 1), at, frozenset(parts)))


def crash_three(detector, *parts, first=10.0):
    for number in range(3):
        crash(detector, first + number, f"t-{number}", *parts)
    return detector.weigh(first + 3.0)


def serve(detector, at, count, *parts):
    for _ in range(count):
        detector.record_begun(at, at - 0.1, parts)


def test_part_of_three_crashes_is_refused_and_the_shared_one_is_not():
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM, SOUND)
    (row,) = crash_three(detector, SYSTEM, CRASHING)
    assert (row.part, row.crashes) == (CRASHING, 3)
    assert detector.find_refused(14.0, (SYSTEM, CRASHING))
    assert not detector.find_refused(14.0, (SYSTEM, SOUND))
    assert not detector.find_refused(12.1 + REFUSAL_SECONDS, (CRASHING,))


def test_two_crashes_prove_nothing():
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    for number in range(2):
        crash(detector, 10.0 + number, f"t-{number}", CRASHING)
    assert not detector.weigh(12.0)


def test_targets_that_exit_together_count_as_one_crash():
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    for number in range(5):
        crash(detector, 10.0 + number / 200, f"t-{number}", CRASHING)
    assert not detector.weigh(11.0)


def test_crash_that_a_refused_part_explains_counts_against_no_other():
    """A sound part that ran beside the cause three times."""
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    for number in range(4):
        parts = (CRASHING, SOUND) if number < 3 else (CRASHING,)
        crash(detector, 10.0 + number, f"t-{number}", *parts)
    assert [row.part for row in detector.weigh(14.0)] == [CRASHING]
    assert not detector.find_refused(14.0, (SOUND,))


def test_parts_that_nothing_tells_apart_are_refused_until_one_is_cleared():
    """A sound part that was offered again beside the cause hid the cause."""
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    rows = crash_three(detector, CRASHING, SOUND)
    assert {row.part for row in rows} == {CRASHING, SOUND}
    crash(detector, 14.0, "t-3", CRASHING)
    assert [row.part for row in detector.weigh(14.5)] == [CRASHING]
    assert [row.part for row in detector.take_explained()] == [SOUND]
    assert detector.find_refused(15.0, (CRASHING,))
    assert not detector.find_refused(15.0, (SOUND,))


def test_answers_at_other_gateways_clear_a_part():
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    crash_three(detector, SOUND)
    assert detector.find_refused(14.0, (SOUND,))
    (row,) = detector.record_report(14.0, "edge-2", ((SOUND, 40),))
    assert row.part == SOUND
    assert not detector.find_refused(14.0, (SOUND,))
    # The crashes that it was cleared of don't count again.
    assert not detector.refuse(RefusedPart(SOUND, 3, 12.0, 0.05))
    crash(detector, 20.0, "t-9", SOUND)
    assert not detector.weigh(21.0)


def test_as_many_later_answers_as_crashes_clear_a_part():
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    crash_three(detector, SOUND)
    # Sent before the last crash.
    for _ in range(5):
        assert not detector.record_begun(14.0, 11.9, (SOUND,))
    assert not detector.record_begun(14.0, 12.1, (SOUND,))
    assert not detector.record_begun(14.0, 12.1, (SOUND,))
    assert detector.record_begun(14.0, 12.1, (SOUND,))
    assert not detector.find_refused(14.0, (SOUND,))


def test_part_is_refused_for_longer_after_each_further_crash():
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    crash_three(detector, CRASHING)
    later = 12.0 + REFUSAL_SECONDS + 1.0
    assert not detector.find_refused(later, (CRASHING,))
    crash(detector, later, "t-3", CRASHING)
    (row,) = detector.weigh(later + 0.5)
    assert row.crashes == 4
    assert detector.find_refused(later + 2 * REFUSAL_SECONDS, (CRASHING,))


def test_withdrawn_crash_lifts_a_refusal():
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    crash_three(detector, SOUND)
    detector.withdraw_crash(("t-1", 1))
    assert not detector.find_refused(14.0, (SOUND,))


def test_verdict_of_another_gateway_is_adopted_once():
    detector = PartDetector()
    row = RefusedPart(CRASHING, 3, 12.0, 0.05)
    assert detector.refuse(row)
    assert not detector.refuse(row)
    assert detector.find_refused(13.0, (CRASHING,)) == row
    assert detector.refused_to_repeat(13.0) == [row]


def test_counts_of_a_part_are_reported_after_two_crashes_and_when_they_double():
    """Each answer changed the counts, and each change was sent to all gateways."""
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM)
    crash(detector, 10.0, "t-0", SYSTEM, CRASHING)
    assert not detector.take_begun_to_report(10.1)
    crash(detector, 11.0, "t-1", SYSTEM, CRASHING)
    assert detector.take_begun_to_report(11.1) == ((SYSTEM, 60),)
    serve(detector, 12.0, 59, SYSTEM)
    assert not detector.take_begun_to_report(12.0)
    serve(detector, 12.0, 1, SYSTEM, CRASHING)
    assert detector.take_begun_to_report(12.0) == ((CRASHING, 1), (SYSTEM, 120))
    serve(detector, 12.0, 1, CRASHING)
    assert detector.take_begun_to_report(12.0) == ((CRASHING, 2),)
    assert not detector.take_begun_to_report(12.0 + 2 * COUNTING_SECONDS)


def test_counts_of_a_refused_part_are_still_reported():
    """A sound part that one gateway refused was never cleared by the others."""
    detector = PartDetector()
    serve(detector, 9.0, 60, SYSTEM, SOUND)
    for number in range(3):
        crash(detector, 10.0 + number, f"t-{number}", SOUND)
    detector.refuse(RefusedPart(SOUND, 3, 12.0, 0.05))
    assert detector.take_begun_to_report(12.5) == ((SOUND, 60),)


def test_more_refused_parts_than_are_kept_are_weighed_once():
    """Parts that were dropped were refused again, without end."""
    detector = PartDetector()
    serve(detector, 9.0, 1000, SYSTEM)
    parts = [b"crashing-%d" % number for number in range(MAX_REFUSED + 10)]
    for number, (_, part) in enumerate(itertools.product(range(3), parts)):
        detector.record_crash(
            10.0, UnbegunLoss((number, 1), 10.0 + number / 10, frozenset({part}))
        )
    assert len(detector.weigh(11.9 + 20.0)) == 0
    detector.record_crash(32.0, UnbegunLoss(("last", 1), 32.0, frozenset({SOUND})))
    rows = detector.weigh(33.0)
    assert len(rows) == len(parts)
    assert len(detector.refused_to_repeat(33.0)) == MAX_REFUSED


def test_reports_of_one_gateway_add_up():
    detector = PartDetector()
    detector.record_report(10.0, "edge-2", ((SOUND, 40),))
    detector.record_report(10.0, "edge-2", ((SYSTEM, 7),))
    serve(detector, 9.0, 60, SYSTEM)
    assert not crash_three(detector, SOUND)


def test_crashes_by_chance_over_a_long_time_make_no_part_suspect():
    """Crashes of 15 minutes were weighed against the answers of one."""
    detector = PartDetector()
    for number in range(3):
        at = 10.0 + number * (COUNTING_SECONDS / 2 + 1.0)
        serve(detector, at, 60, SYSTEM)
        crash(detector, at, f"t-{number}", SOUND)
    assert not detector.weigh(at + 1.0)


def test_many_crashes_of_many_parts_are_weighed_in_short_time():
    """A tick took three seconds with all bounds reached."""
    detector = PartDetector()
    for number in range(MAX_CRASHES):
        parts = [part_digest("m", f"{number}-{step}") for step in range(300)]
        crash(detector, 10.0 + number / 10, f"t-{number}", SYSTEM, *parts)
    now = 10.0 + MAX_CRASHES / 10 + 1.0
    began = time.process_time()
    detector.weigh(now)
    detector.take_begun_to_report(now)
    assert time.process_time() - began < 0.25


def test_endless_fresh_parts_take_bounded_memory():
    detector = PartDetector()
    for number in range(3000):
        parts = [part_digest("m", f"{number}-{step}") for step in range(3)]
        serve(detector, 9.0, 1, *parts)
        crash(detector, 10.0 + number, f"t-{number}", *parts)
        detector.refuse(RefusedPart(parts[0], 3, 10.0 + number, 0.05))
    assert len(detector._loss_by_target_id) <= MAX_CRASHES
    assert len(detector._refused_by_part) <= MAX_REFUSED


def test_counts_are_forgotten_after_a_while():
    counts = RecentCounts()
    counts.add(1.0, "a")
    counts.add(20.0, "a")
    assert counts.get(30.0, "a") == 2
    later = 1.0 + 2 * COUNTING_SECONDS
    assert counts.get(later, "a") == 0
    counts.add(later, "a")
    assert counts.get(later, "a") == 1


class Schedule:
    """Requests at some targets, of which those with a crashing part crash their target.

    Gateways learn of crashes and of each other's counts after ``delay``.

    :param crashing: crash probability by crashing part.
    :param share: share of the requests that have one.
    """

    GATEWAYS, TARGETS = 4, 8
    DOWN_SECONDS, PREFILL_SECONDS, WRITE_SECONDS = 4.0, 0.25, 0.5
    REQUESTS_PER_SECOND, DELAY = 60.0, 0.3

    def __init__(self, seed, crashing, share, chance_crashes=0.0):
        self.rng = random.Random(seed)
        self.crashing, self.share = crashing, share
        self.chance_crashes = chance_crashes
        self.detectors = [PartDetector() for _ in range(self.GATEWAYS)]
        self.up_at = [0.0] * self.TARGETS
        self.incarnation = [1] * self.TARGETS
        self.running = [{} for _ in range(self.TARGETS)]
        self.crash_times, self.crashing_arrivals = [], []
        self.sound_sent, self.sound_refused = 0, 0
        self._events, self._order = [], itertools.count()

    def at(self, when, act, *arguments):
        heapq.heappush(self._events, (when, next(self._order), act, arguments))

    def run(self, seconds):
        when = 0.0
        while when < seconds:
            when += self.rng.expovariate(self.REQUESTS_PER_SECOND)
            self.at(when, self.arrive)
        for tick in range(int(seconds * 4)):
            self.at(tick / 4, self.tick)
        while self._events:
            now, _, act, arguments = heapq.heappop(self._events)
            act(now, *arguments)

    def parts(self, now):
        route = self.rng.randrange(3)
        parts = [b"system-%d" % route, b"shared-%d" % self.rng.randrange(30)]
        is_crashing = now > 5.0 and self.rng.random() < self.share
        if is_crashing:
            parts.append(self.rng.choice(sorted(self.crashing)))
        return tuple(parts), is_crashing

    def arrive(self, now):
        parts, is_crashing = self.parts(now)
        gateway = self.rng.randrange(self.GATEWAYS)
        self.sound_sent += not is_crashing
        if self.detectors[gateway].find_refused(now, parts):
            self.sound_refused += not is_crashing
            return
        up = [t for t in range(self.TARGETS) if self.up_at[t] <= now]
        if not up:
            return
        target = min(up, key=lambda t: len(self.running[t]))
        request = object()
        self.running[target][request] = (gateway, now, parts, False)
        if is_crashing:
            self.crashing_arrivals.append(now)
        begins = now + self.PREFILL_SECONDS * self.rng.uniform(0.5, 1.5)
        self.at(begins, self.begin, target, request)

    def begin(self, now, target, request):
        row = self.running[target].get(request)
        if row is None:
            return
        gateway, sent_at, parts, _ = row
        chance = max((self.crashing.get(p, 0.0) for p in parts), default=0.0)
        if self.rng.random() < max(chance, self.chance_crashes):
            self.crash(now, target)
            return
        self.running[target][request] = (gateway, sent_at, parts, True)
        self.detectors[gateway].record_begun(now, sent_at, parts)
        self.at(now + self.WRITE_SECONDS, self.end, target, request)

    def end(self, now, target, request):
        self.running[target].pop(request, None)

    def crash(self, now, target):
        self.crash_times.append(now)
        target_id = (target, self.incarnation[target])
        for gateway in range(self.GATEWAYS):
            lost = [
                parts
                for owner, _, parts, has_begun in self.running[target].values()
                if owner == gateway and not has_begun
            ]
            for parts in lost:
                self.detectors[gateway].record_own_loss(now, parts)
            loss = UnbegunLoss(target_id, now, frozenset().union(*lost))
            self.tell(now, gateway, PartDetector.record_crash, loss)
        self.running[target] = {}
        self.incarnation[target] += 1
        self.up_at[target] = now + self.DOWN_SECONDS

    def tell(self, now, gateway, apply, *arguments):
        for other, detector in enumerate(self.detectors):
            delay = 0.05 if other == gateway else self.DELAY
            self.at(now + delay, lambda at, d: apply(d, at, *arguments), detector)

    def tick(self, now):
        for gateway, detector in enumerate(self.detectors):
            for row in detector.weigh(now):
                self.tell(now, gateway, lambda d, at, row: d.refuse(row), row)
            counts = detector.take_begun_to_report(now)
            if counts:
                for other in self.detectors:
                    if other is not detector:
                        other.record_report(now, gateway, counts)

    def late_arrivals(self, grace):
        if len(self.crash_times) < 5:
            return []
        return [at for at in self.crashing_arrivals if at > self.crash_times[4] + grace]


@pytest.mark.parametrize(
    ("crashing", "share"),
    [
        ({b"d": 1.0}, 0.005),
        ({b"d": 1.0}, 0.05),
        ({b"d": 1.0}, 0.2),
        ({b"d": 0.5}, 0.05),
        ({b"d": 1.0, b"e": 1.0}, 0.05),
    ],
    ids=["rare", "usual", "frequent", "half", "two"],
)
@pytest.mark.parametrize("seed", range(12))
def test_crashing_parts_stop_and_sound_requests_go_on(seed, crashing, share):
    schedule = Schedule(seed, crashing, share)
    schedule.run(60.0)
    # Each part is granted the bound of one.
    assert len(schedule.late_arrivals(3.0)) <= 3 * len(crashing)
    assert schedule.sound_refused <= 0.1 * schedule.sound_sent


def test_two_crashing_parts_in_three_tenths_of_the_requests_stop():
    """So many other requests are lost beside them that verdicts take long."""
    schedule = Schedule(0, {b"d": 1.0, b"e": 1.0}, 0.3)
    schedule.run(60.0)
    assert len(schedule.late_arrivals(3.0)) <= 6


@pytest.mark.parametrize("seed", range(12))
def test_targets_that_crash_by_chance_make_no_part_suspect(seed):
    schedule = Schedule(seed, {}, 0.0, chance_crashes=0.02)
    schedule.run(60.0)
    assert len(schedule.crash_times) > 5
    assert schedule.sound_refused <= 0.1 * schedule.sound_sent


def test_first_part_of_a_route_that_crashes_all_its_targets_is_refused():
    """The system prompt of one route is crashing, those of two others are not."""
    schedule = Schedule(1, {b"system-1": 1.0}, 0.0)
    schedule.run(60.0)
    for detector in schedule.detectors:
        assert detector.find_refused(60.0, (b"system-1",))
        assert not detector.find_refused(60.0, (b"system-0",))
