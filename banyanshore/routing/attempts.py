"""What to do next with a caller's request: decisions without input or output.

A request is offered to one target after another while it surely has not run, or may
run again. Load pattern: targets that crash, reset connections or are full in the middle
of a burst, when each needless offer makes matters worse.
"""

from dataclasses import dataclass, field
from enum import Enum

# Targets that can't be connected to and don't count as offers, for one request.
MAX_UNREACHABLE = 3


class Outcome(Enum):
    """What became of an offer to a target."""

    UNREACHABLE = "unreachable"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    FAILED = "failed"
    LOST = "lost"
    BROKEN_OFF = "broken-off"


class Step(Enum):
    """What to do next."""

    OFFER = "offer"
    REFUSE = "refuse"
    PASS_FAILURE = "pass-failure"
    TELL_UNKNOWN = "tell-unknown"
    BREAK_OFF = "break-off"


# Outcomes after which the target may have run the request.
_MAY_HAVE_RUN = frozenset({Outcome.FAILED, Outcome.LOST, Outcome.BROKEN_OFF})
# Outcomes after which the target has not had the request.
_NOT_THERE = frozenset({Outcome.UNREACHABLE, Outcome.NOT_SENT})
# What to do when the request isn't offered again.
_LAST_STEP = {
    Outcome.UNREACHABLE: Step.REFUSE,
    Outcome.NOT_SENT: Step.REFUSE,
    Outcome.NOT_RUN: Step.REFUSE,
    Outcome.FAILED: Step.PASS_FAILURE,
    Outcome.LOST: Step.TELL_UNKNOWN,
    Outcome.BROKEN_OFF: Step.BREAK_OFF,
}


@dataclass
class Attempts:
    """The offers of one request so far.

    :param may_repeat: whether it may run more than once.
    :param max_offers: targets that it may be offered to.
    :ivar excluded: targets that it isn't offered to again.
    :ivar may_have_run: whether any target may have run it.
    """

    may_repeat: bool
    max_offers: int
    excluded: set = field(default_factory=set)
    offers: int = 0
    unreachable: int = 0
    may_have_run: bool = False

    def begin(self, target_id):
        """Take note of an offer to a target."""
        self.excluded.add(target_id)
        self.offers += 1

    def next_step(self, outcome, try_retry):
        """Return the :class:`Step` after an offer that has not been answered.

        :param try_retry: callable that spends a retry from the budget and tells
            whether there was one.
        """
        if outcome in _NOT_THERE:
            # Nothing arrived at the target.
            self.offers -= 1
            self.unreachable += 1
            is_left = self.unreachable <= MAX_UNREACHABLE
            return Step.OFFER if is_left else self.refusal()
        if outcome in _MAY_HAVE_RUN:
            self.may_have_run = True
        is_allowed = self.may_repeat or not self.may_have_run
        if is_allowed and self.offers < self.max_offers and try_retry():
            return Step.OFFER
        return self._last_step(outcome)

    def refusal(self):
        """Return the :class:`Step` when no target can take the request."""
        return Step.TELL_UNKNOWN if self.may_have_run else Step.REFUSE

    def _last_step(self, outcome):
        step = _LAST_STEP[outcome]
        if step is Step.REFUSE:
            return self.refusal()
        return step
