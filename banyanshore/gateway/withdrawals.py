"""Withdrawal of offers that wait at targets with older weights."""

import math
from dataclasses import dataclass, field

import anyio


@dataclass(eq=False)
class WaitingOffer:
    """An offer whose answer has not begun.

    :param model: model of the request.
    :param version: version of the target's weights, 0 for none.
    :param first_byte_seconds: expected time until the answer begins.
    :param sent_at: time of the event loop at which it was sent.
    :ivar scope: cancel scope of the wait, which ends when the offer is withdrawn.
    """

    model: str
    version: int
    first_byte_seconds: float
    sent_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class Withdrawals:
    """The offers that wait, each withdrawn in time for the bound of a rollout.

    :param rule: the :class:`~banyanshore.routing.withdrawal.WithdrawalRule`.
    :param newer_known_for: function of a model and a version that returns the seconds
        since a newer version became known, ``-inf`` if there is none.
    """

    def __init__(self, rule, newer_known_for):
        self._rule = rule
        self._newer_known_for = newer_known_for
        self._waiting = set()

    def begin(self, model, version, first_byte_seconds):
        """Return the :class:`WaitingOffer` of an offer that is about to be sent."""
        offer = WaitingOffer(model, version, first_byte_seconds, anyio.current_time())
        self._waiting.add(offer)
        self._schedule(offer)
        return offer

    def end(self, offer):
        """Forget an offer."""
        self._waiting.discard(offer)

    def reschedule(self):
        """Apply the versions known now to the offers that wait already."""
        for offer in self._waiting:
            self._schedule(offer)

    def _schedule(self, offer):
        now = anyio.current_time()
        offer.scope.deadline = now + self._seconds_left(offer, now - offer.sent_at)

    def _seconds_left(self, offer, waited):
        if not offer.version:
            return math.inf
        return self._rule.seconds_left(
            self._newer_known_for(offer.model, offer.version),
            waited,
            offer.first_byte_seconds,
        )
