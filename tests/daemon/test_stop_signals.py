"""Which signals stop a process, and which cut its stop short."""

from signal import SIGHUP, SIGINT, SIGTERM

import pytest

from banyanshore.daemon.stop_signals import Action, StopSignals


def decide_all(*numbers, pause=1.0):
    signals = StopSignals()
    return [signals.decide(n, 10.0 + pause * i) for i, n in enumerate(numbers)]


@pytest.mark.parametrize(
    "numbers",
    [
        (SIGTERM, SIGTERM, SIGTERM),
        (SIGTERM, SIGINT, SIGINT),
        (SIGINT, SIGTERM, SIGINT, SIGTERM),
        (SIGTERM, SIGINT, SIGTERM),
    ],
)
def test_stop_that_sigterm_asked_for_is_never_cut_short(numbers):
    actions = decide_all(*numbers)
    assert actions[0] is Action.STOP
    assert set(actions[1:]) == {Action.NONE}


def test_operator_who_interrupts_twice_cuts_the_stop_short():
    assert decide_all(SIGINT, SIGINT) == [Action.STOP, Action.CUT_SHORT]


def test_interrupt_that_a_process_group_forwards_cuts_nothing_short():
    actions = decide_all(SIGINT, SIGINT, SIGINT, pause=0.01)
    assert actions == [Action.STOP, Action.NONE, Action.NONE]


def test_operator_who_interrupts_again_and_again_cuts_the_stop_short():
    """Each signal that was ignored began the time anew."""
    assert Action.CUT_SHORT in decide_all(*[SIGINT] * 4, pause=0.3)


def test_settings_are_read_again_at_any_time_of_a_stop():
    actions = decide_all(SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGHUP)
    assert actions[::2] == [Action.RELOAD] * 3
