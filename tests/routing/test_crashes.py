from banyanshore.routing.crashes import EXPLAIN_SECONDS, CrashWatch

POISON, OTHER, THIRD = b"poison", b"other", b"third"


def crash(watch, now, target, *fingerprints):
    incarnation = (target, 1)
    for fingerprint in fingerprints:
        watch.record_break(now, incarnation, fingerprint)
    return watch.record_end(now + 1.0, incarnation)


def test_request_in_common_of_two_crashes_is_refused():
    watch = CrashWatch()
    crash(watch, 0.0, "t-1", POISON, OTHER)
    assert not watch.is_refused(2.0, POISON)
    crash(watch, 3.0, "t-2", POISON, THIRD)
    assert watch.is_refused(5.0, POISON)
    assert not watch.is_refused(5.0, OTHER)
    assert not watch.is_refused(5.0, THIRD)


def test_connections_that_are_reset_make_no_suspect():
    watch = CrashWatch()
    for target in ("t-1", "t-2", "t-3"):
        watch.record_break(0.0, (target, 1), OTHER)
    assert not watch.is_refused(1.0, OTHER)
    # One of them ends long after.
    watch.record_end(EXPLAIN_SECONDS + 0.1, ("t-1", 1))
    assert not watch.is_refused(EXPLAIN_SECONDS + 0.2, OTHER)


def test_third_crash_refuses_what_always_ran_together():
    watch = CrashWatch()
    for number in range(3):
        assert not watch.is_refused(10.0 * number, POISON)
        crash(watch, 10.0 * number, f"t-{number}", POISON, OTHER)
    assert watch.is_refused(30.0, POISON)


def test_whole_answer_clears_and_the_news_clears_elsewhere():
    watch, far = CrashWatch(), CrashWatch()
    for number in range(3):
        for news in crash(watch, 10.0 * number, f"t-{number}", OTHER):
            far.record_news(10.0 * number, news)
    assert far.is_refused(30.0, OTHER)
    for news in watch.record_whole(31.0, OTHER):
        far.record_news(31.0, news)
    assert not watch.is_refused(31.0, OTHER)
    assert not far.is_refused(31.0, OTHER)


def test_one_crash_told_by_two_gateways_counts_once():
    watch, far = CrashWatch(), CrashWatch()
    for news in crash(far, 0.0, "t-1", POISON):
        watch.record_news(0.0, news)
    crash(watch, 0.0, "t-1", POISON)
    assert not watch.is_refused(2.0, POISON)


def test_request_answered_elsewhere_is_no_suspect_of_what_ends_then():
    watch = CrashWatch()
    for target in ("t-1", "t-2"):
        watch.record_break(0.0, (target, 1), OTHER)
        watch.record_whole(0.5, OTHER)
        watch.record_end(1.0, (target, 1))
    assert not watch.is_refused(2.0, OTHER)
