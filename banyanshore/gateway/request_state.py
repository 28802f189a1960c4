"""What is known of a request while this gateway processes it."""

import time

from banyanshore.routing.attempts import Attempts
from banyanshore.routing.part_evidence import shared_part_digests


def answer_seconds(screened):
    """Return the seconds within which a request must be answered."""
    timeout = screened.route.timeout_seconds
    return min(screened.request.caller_timeout_seconds, timeout)


class RequestState:
    """The state of one request, which the parts of its processing share.

    :param gateway: the :class:`~banyanshore.gateway.process.Gateway`.
    :param exchange: the caller's :class:`~banyanshore.http.exchange.Exchange`.
    :param screened: the :class:`~banyanshore.gateway.screening.Screened` request.
    :param body: bytes of its body.
    :param arrived_at: monotonic time at which its head had arrived.
    :param timeliness: the :class:`~banyanshore.routing.lateness.Timeliness`.
    :ivar deadline: monotonic time by which it must be answered.
    :ivar parts: digests of the parts of its prompt.
    :ivar attempts: the :class:`~banyanshore.routing.attempts.Attempts` so far.
    :ivar is_offered: whether a target may have read the last offer.
    :ivar failure: status and headers of a target's failure, and the
        :class:`~banyanshore.gateway.held_answer.HeldAnswer` with its body, or ``None``.
    :ivar version: version of the weights that it is offered to, 0 for none.
    :ivar target: id of the last target, empty before the first offer.
    :ivar address: address of that target.
    :ivar load: estimated requests there when it was offered.
    :ivar offer_in_flight: the :class:`~banyanshore.gateway.suspects.OfferInFlight`, or
        ``None``.
    :ivar answer: the answer to the current offer, or ``None``.
    :ivar limit_details: log fields on the limit of the chosen target.
    :ivar waited_seconds: seconds for which it has waited for room.
    :ivar size: its :class:`~banyanshore.routing.target_memory.RequestSize`.
    """

    def __init__(self, gateway, exchange, screened, body, arrived_at, timeliness):
        route = screened.route
        self.gateway = gateway
        self.exchange = exchange
        self.screened = screened
        self.request = screened.request
        self.body = body
        self.arrived_at = arrived_at
        self.timeliness = timeliness
        self.deadline = arrived_at + answer_seconds(screened)
        self.parts = shared_part_digests(screened.request)
        self.attempts = Attempts(route.may_repeat, max(1, route.max_attempts))
        self.is_offered = False
        self.failure = None
        self.version = 0
        self.target = ""
        self.address = ""
        self.load = 0
        self.offer_in_flight = None
        self.answer = None
        self.limit_details = {}
        self.waited_seconds = 0.0
        self.size = gateway.placements.measure(screened)

    @property
    def seconds_left(self):
        """Return the seconds until the deadline."""
        return self.deadline - time.monotonic()

    def keep_failure(self, status, headers, held):
        """Keep a failure in place of an earlier one; it counts until it is dropped."""
        self.drop_failure()
        self.failure = status, headers, held

    def keeps(self, held):
        """Return whether an answer is the failure that is kept."""
        return self.failure is not None and self.failure[-1] is held

    def drop_failure(self):
        """Release the body of the failure that is kept, if there is one."""
        if self.failure is not None:
            self.failure[-1].release()
            self.failure = None
