"""Permits to send requests to a target within its limit, free of I/O.

Load pattern: hundreds of gateways, whose callers are unevenly spread, send to a target
that takes about one request per second from all of them. A share of its own for each
gateway would be less than one request, and most shares would stay unused. So one
gateway, the owner of the target, issues all permits for it from a token bucket.

A gateway that is denied a permit is told when to ask again: once the next permit is
available, and spread by the number of gateways that ask, so that the owner is asked a
few times for each permit and not by all gateways at once.
"""

import math

from banyanshore.core.values import dataclass

# Lowest rate of permits per second: the end of a limit shows only in an answer.
MIN_PER_SECOND = 0.1
# Time in seconds whose permits may accumulate beyond the first one.
BURST_SECONDS = 1.0
# Seconds after which a permit can't be used any more.
PERMIT_SECONDS = 0.5
# Requests for permits that an owner aims to receive for each permit.
REQUESTS_PER_PERMIT = 4
# Shortest time in seconds for which a gateway that got no permit doesn't ask again.
MIN_RETRY_SECONDS = 0.05
# Longest time in seconds over which the requests of gateways are spread.
MAX_SPREAD_SECONDS = 4.0
# Seconds for which a gateway that has asked for permits counts as asking: longer than
# it is told to wait at the lowest rate.
ASKER_MEMORY_SECONDS = 15.0


@dataclass(frozen=True)
class Permit:
    """The permit to send one request to a target.

    :param expires_at: ``CLOCK_BOOTTIME`` at which it expires.
    """

    expires_at: float


@dataclass(frozen=True)
class Grant:
    """The answer of an owner to a request for permits.

    :param count: permits issued.
    :param retry_seconds: seconds until the next request may succeed, if fewer permits
        were issued than requested.
    :param tokens: permits that were available.
    """

    count: int
    retry_seconds: float = 0.0
    tokens: float = 0.0


class PermitIssuer:
    """Issue the permits for one target. The bucket starts empty.

    Other gateways, or an earlier owner, may have sent requests just before.

    :param now: time at which this gateway became the owner.
    :param rng: source of the spread.
    """

    def __init__(self, now, rng):
        self._tokens = 0.0
        self._updated_at = now
        self._rng = rng
        self._asked_at_by_gateway = {}

    def issue(self, now, per_second, gateway, wanted):
        """Return a :class:`Grant` of as many permits as are wanted and available.

        :param per_second: the limit of the target.
        :param gateway: name of the gateway that asks.
        """
        rate = max(per_second, MIN_PER_SECOND)
        self._refill(now, rate)
        self._asked_at_by_gateway[gateway] = now
        tokens = self._tokens
        count = min(wanted, math.floor(tokens))
        self._tokens -= count
        if count >= wanted:
            return Grant(count, 0.0, tokens)
        return Grant(count, self._retry_seconds(now, rate), tokens)

    def _refill(self, now, rate):
        earned = max(0.0, now - self._updated_at) * rate
        self._tokens = min(1 + rate * BURST_SECONDS, self._tokens + earned)
        self._updated_at = now

    def _retry_seconds(self, now, rate):
        for name, asked_at in list(self._asked_at_by_gateway.items()):
            if now - asked_at > ASKER_MEMORY_SECONDS:
                del self._asked_at_by_gateway[name]
        askers = len(self._asked_at_by_gateway)
        spread = min(MAX_SPREAD_SECONDS, askers / (REQUESTS_PER_PERMIT * rate))
        return (1 - self._tokens) / rate + self._rng.uniform(0.0, spread)


class PermitHolder:
    """The permits of one gateway for one target that have not been used yet.

    :ivar denied_until: time until which no permit is available.
    :ivar wanted: requests that wait for a permit.
    """

    def __init__(self):
        self.denied_until = -math.inf
        self.wanted = 0
        self._unused = 0
        self._expires_at = -math.inf

    def may_request(self, now):
        """Return whether a permit may be available."""
        return self._unused > 0 or now >= self.denied_until

    def record_grant(self, now, boottime, grant):
        """Record the answer of the owner.

        :param boottime: ``CLOCK_BOOTTIME`` at which the permits were requested.
        """
        self._unused = grant.count
        self._expires_at = boottime + PERMIT_SECONDS
        shortest = 0.0 if grant.count else MIN_RETRY_SECONDS
        self.deny(now, max(shortest, grant.retry_seconds))

    def deny(self, now, seconds):
        """Record that no permit is available for some seconds."""
        self.denied_until = max(self.denied_until, now + seconds)

    def take(self, boottime):
        """Return a :class:`Permit`, or ``None`` if there is none."""
        if boottime >= self._expires_at:
            self._unused = 0
        if not self._unused:
            return None
        self._unused -= 1
        return Permit(self._expires_at)
