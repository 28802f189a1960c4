"""The log time never decreases and never runs faster than real time."""

import random

from banyanshore.consensus.log_clock import LogClock


def test_log_time_follows_the_monotonic_clock_of_the_leader():
    clock = LogClock()
    assert clock.read(1000.0, 1, 0.0) == 0.0
    assert clock.read(1007.5, 1, 0.0) == 7.5


def test_new_leader_continues_from_the_applied_log_time():
    clock = LogClock()
    clock.read(1000.0, 1, 0.0)
    # Another member led in between, so the time on this member's clock doesn't count.
    assert clock.read(5000.0, 3, 40.0) == 40.0
    assert clock.read(5001.0, 3, 40.0) == 41.0


def test_commands_of_an_earlier_leader_advance_the_time_when_applied_late():
    clock = LogClock()
    assert clock.read(10.0, 2, 100.0) == 100.0
    assert clock.read(10.5, 2, 130.0) == 130.0
    assert clock.read(11.5, 2, 130.0) == 131.0


def test_log_time_never_runs_faster_than_real_time_across_leaders():
    rng = random.Random(5)
    members = {name: (LogClock(), rng.uniform(0, 1e6)) for name in "abc"}
    real = applied = 0.0
    term = 0
    leader = "a"
    for _ in range(2000):
        real += rng.uniform(0, 2)
        if rng.random() < 0.1:
            leader = rng.choice("abc")
            term += 1
        clock, offset = members[leader]
        at = clock.read(offset + real, term, applied)
        assert applied <= at <= real + 1e-6
        if rng.random() < 0.7:
            applied = at
