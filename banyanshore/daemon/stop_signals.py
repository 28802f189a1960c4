"""What a signal does, by the signals before it.

Load pattern: a supervisor repeats SIGTERM, or a whole process group gets SIGINT beside
it, while requests are in flight. Only an operator who interrupts a process at a
terminal twice cuts its stop short; whoever sends SIGTERM has SIGKILL for that.
"""

import signal
from enum import Enum
from types import MappingProxyType

# Seconds from one SIGINT until another one counts as a second request of the operator.
# A terminal sends SIGINT to all processes of a group, and some of them forward it.
INTERRUPT_REPEAT_SECONDS = 0.5


class Action(Enum):
    """What to do on a signal."""

    STOP = "stop"
    CUT_SHORT = "cut-short"
    RELOAD = "reload"
    NONE = "none"


class _State(Enum):
    RUNNING = "running"
    # Only SIGINT has asked for the stop so far.
    INTERRUPTED = "interrupted"
    TERMINATED = "terminated"
    CUT_SHORT = "cut-short"


# Action and next state by the state and the signal.
_STEPS = MappingProxyType(
    {
        (_State.RUNNING, signal.SIGTERM): (Action.STOP, _State.TERMINATED),
        (_State.RUNNING, signal.SIGINT): (Action.STOP, _State.INTERRUPTED),
        (_State.INTERRUPTED, signal.SIGTERM): (Action.NONE, _State.TERMINATED),
        (_State.INTERRUPTED, signal.SIGINT): (Action.CUT_SHORT, _State.CUT_SHORT),
    }
)


class StopSignals:
    """Decide what each signal does.

    >>> signals = StopSignals()
    >>> signals.decide(signal.SIGTERM, 1.0), signals.decide(signal.SIGTERM, 2.0)
    (<Action.STOP: 'stop'>, <Action.NONE: 'none'>)
    >>> signals.decide(signal.SIGINT, 3.0), signals.decide(signal.SIGINT, 4.0)
    (<Action.NONE: 'none'>, <Action.NONE: 'none'>)
    >>> signals = StopSignals()
    >>> signals.decide(signal.SIGINT, 1.0), signals.decide(signal.SIGINT, 1.1)
    (<Action.STOP: 'stop'>, <Action.NONE: 'none'>)
    >>> signals.decide(signal.SIGINT, 2.0)
    <Action.CUT_SHORT: 'cut-short'>
    """

    def __init__(self):
        self._state = _State.RUNNING
        self._interrupted_at = float("-inf")

    def decide(self, number, now):
        """Return the :class:`Action` for a signal.

        :param now: monotonic time of the signal.
        """
        if number == signal.SIGHUP:
            return Action.RELOAD
        if number == signal.SIGINT:
            if now - self._interrupted_at < INTERRUPT_REPEAT_SECONDS:
                return Action.NONE
            self._interrupted_at = now
        none = (Action.NONE, self._state)
        action, self._state = _STEPS.get((self._state, number), none)
        return action
