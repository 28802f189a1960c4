"""Retry decisions for a caller's request, free of I/O.

A request is offered to one target after another as long as it certainly has not run or
may be repeated. Load pattern: targets crash, reset connections or are full in the
middle of a burst, when each unnecessary offer adds to the overload.
"""

from dataclasses import field
from enum import Enum

from banyanshore.core.values import dataclass

# Unreachable targets that one request may skip without using up an offer.
MAX_UNREACHABLE = 3


class Outcome(Enum):
    """Outcome of an offer that was not answered."""

    UNREACHABLE = "unreachable"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    FAILED = "failed"
    LOST = "lost"
    WITHDRAWN = "withdrawn"
    BROKEN_OFF = "broken-off"


class Step(Enum):
    """Next action for a request whose offer was not answered."""

    OFFER = "offer"
    REFUSE = "refuse"
    PASS_FAILURE = "pass-failure"
    REPORT_UNKNOWN = "tell-unknown"
    BREAK_OFF = "break-off"


# Outcomes after which the target may have run the request.
_MAY_HAVE_RUN = frozenset(
    {Outcome.FAILED, Outcome.LOST, Outcome.WITHDRAWN, Outcome.BROKEN_OFF}
)
# Outcomes after which the target has not received the request.
_NOT_RECEIVED = frozenset({Outcome.UNREACHABLE, Outcome.NOT_SENT})
# Next step when the request isn't offered again.
_STEP_WITHOUT_RETRY = {
    Outcome.UNREACHABLE: Step.REFUSE,
    Outcome.NOT_SENT: Step.REFUSE,
    Outcome.NOT_RUN: Step.REFUSE,
    Outcome.FAILED: Step.PASS_FAILURE,
    Outcome.LOST: Step.REPORT_UNKNOWN,
    Outcome.WITHDRAWN: Step.REPORT_UNKNOWN,
    Outcome.BROKEN_OFF: Step.BREAK_OFF,
}


@dataclass
class Attempts:
    """The offers made for one request so far.

    :param may_repeat: whether the request may run more than once.
    :param max_offers: maximum number of offers.
    :ivar excluded: ids of the targets that it was offered to already.
    :ivar offers: number of offers, without those that never reached a target.
    :ivar unreachable: number of offers that never reached a target.
    :ivar may_have_run: whether any target may have run the request.
    """

    may_repeat: bool
    max_offers: int
    excluded: set = field(default_factory=set)
    offers: int = 0
    unreachable: int = 0
    may_have_run: bool = False

    def begin(self, target_id):
        """Record an offer to a target."""
        self.excluded.add(target_id)
        self.offers += 1

    def next_step(self, outcome, try_retry):
        """Return the :class:`Step` after an offer that was not answered.

        :param try_retry: callable that takes a retry from the budget and returns
            whether one was available.
        """
        if outcome in _NOT_RECEIVED:
            self.offers -= 1
            self.unreachable += 1
            has_skips_left = self.unreachable <= MAX_UNREACHABLE
            return Step.OFFER if has_skips_left else self.refusal()
        if outcome in _MAY_HAVE_RUN:
            self.may_have_run = True
        may_offer_again = self.may_repeat or not self.may_have_run
        if may_offer_again and self.offers < self.max_offers and try_retry():
            return Step.OFFER
        return self._step_without_retry(outcome)

    def refusal(self):
        """Return the :class:`Step` for a request that no target can take."""
        return Step.REPORT_UNKNOWN if self.may_have_run else Step.REFUSE

    def _step_without_retry(self, outcome):
        step = _STEP_WITHOUT_RETRY[outcome]
        if step is Step.REFUSE:
            return self.refusal()
        return step
