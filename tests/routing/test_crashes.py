import itertools

from banyanshore.routing.crashes import (
    EXPIRY_SECONDS,
    EXPLAIN_SECONDS,
    Crash,
    CrashWatch,
)

POISON, OTHER = b"poison", b"other"


def lose(watch, target, offered_at, ended_at, *fingerprints):
    """Have a target end with what it ran, and start again."""
    for fingerprint in fingerprints:
        watch.record_break(Crash((target, 1), fingerprint, offered_at, ended_at))
    found, _ = watch.explain(ended_at + 1.0, {target: 2})
    return found


def test_request_that_ends_three_targets_in_turn_is_refused():
    watch = CrashWatch()
    for number in range(3):
        assert not watch.is_refused(4.0 * number, POISON)
        lose(watch, f"t-{number}", 4.0 * number, 4.0 * number + 0.1, POISON, OTHER)
        watch.record_whole(OTHER)
    assert watch.is_refused(10.0, POISON)
    assert not watch.is_refused(10.0, OTHER)
    assert not watch.is_refused(10.0 + EXPIRY_SECONDS, POISON)


def test_targets_that_end_at_once_are_one_crash():
    """A data centre loses power while many callers send the same request."""
    watch = CrashWatch()
    for number in range(5):
        lose(watch, f"t-{number}", 1.0 + 0.1 * number, 2.0 + 0.1 * number, OTHER)
    assert not watch.is_refused(4.0, OTHER)


def test_connections_that_are_cut_or_reset_make_no_suspect():
    watch = CrashWatch()
    for number, seconds in itertools.product(range(3), range(5)):
        crash = Crash((f"t-{number}", 1), OTHER, 10.0 * seconds, 10.0 * seconds + 1)
        watch.record_break(crash)
        # Known as before, or not known while it is cut off.
        for incarnation_by_address in ({f"t-{number}": 1}, {}):
            found, _ = watch.explain(10.0 * seconds + 2, incarnation_by_address)
            assert not found
    assert not watch.is_refused(50.0, OTHER)


def test_start_long_after_an_answer_broke_off_explains_nothing():
    watch = CrashWatch()
    watch.record_break(Crash(("t-1", 1), OTHER, 0.0, 1.0))
    found, unexplained = watch.explain(1.1 + EXPLAIN_SECONDS, {"t-1": 2})
    assert not found
    assert [crash.id for crash in unexplained] == [("t-1", 1)]


def test_whole_answer_clears_here_and_elsewhere():
    watch, far = CrashWatch(), CrashWatch()
    for number in range(3):
        for crash in lose(watch, f"t-{number}", 4.0 * number, 4.0 * number + 1, OTHER):
            far.record_crash(crash)
    assert far.is_refused(10.0, OTHER)
    assert watch.record_whole(OTHER)
    far.record_whole(OTHER)
    assert not watch.is_refused(10.0, OTHER)
    assert not far.is_refused(10.0, OTHER)


def test_one_crash_told_by_two_gateways_counts_once():
    watch = CrashWatch()
    for _ in range(4):
        watch.record_crash(Crash(("t-1", 1), POISON, 0.0, 1.0))
    assert not watch.is_refused(2.0, POISON)
