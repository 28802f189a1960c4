"""Get permits for limited targets from their owners, or issue them as the owner."""

import logging
import random
import time

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.gateway.request_limits import make_notice
from banyanshore.membership.permits import PermitReply, PermitRequest
from banyanshore.routing.permits import Grant, PermitIssuer
from banyanshore.routing.request_limits import UNLIMITED, target_key

logger = logging.getLogger(__name__)

# Seconds for which a gateway waits for the reply of an owner; requests then go to other
# targets.
PERMIT_TIMEOUT = 0.15
# Seconds after which an owner that has not replied is asked again.
OWNER_RETRY_SECONDS = 0.5


class PermitExchange:
    """Get the permits of this gateway, and issue those of the targets that it owns.

    :param member: row of this gateway.
    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param limits: the :class:`~banyanshore.gateway.request_limits.LimitExchange`.
    :param updates: the :class:`~banyanshore.gateway.news.UpdateExchange`, which knows
        the owners.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    """

    def __init__(self, member, registry, limits, updates, metrics):
        self._member = member
        self._registry = registry
        self._exchange = limits
        self._limits = limits.limits
        self._updates = updates
        self._metrics = metrics
        self._random = random.Random()
        self._issuer_by_key = {}
        # Set when the request for permits in flight has ended, by target.
        self._ended_by_key = {}

    async def acquire(self, row, request_id):
        """Get a permit to send a request to a target.

        :return: the :class:`~banyanshore.routing.permits.Permit`, ``None`` if there is
            none, or if the target has no limit.
        """
        holder = self._limits.holder(target_key(row))
        holder.wanted += 1
        try:
            while self._limits.is_limited(row):
                permit = holder.take(boottime_now())
                if permit is not None:
                    return permit
                if not holder.may_request(time.monotonic()):
                    return None
                await self._request_permits(row, holder, request_id)
            return None
        finally:
            holder.wanted -= 1

    async def _request_permits(self, row, holder, request_id):
        """Request permits for all waiting requests, or await the request in flight."""
        key = target_key(row)
        ended = self._ended_by_key.get(key)
        if ended is not None:
            await ended.wait()
            return
        ended = self._ended_by_key[key] = anyio.Event()
        asked_at = boottime_now()
        try:
            grant = await self._ask_owner(row, key, holder.wanted)
        finally:
            del self._ended_by_key[key]
            ended.set()
        holder.record_grant(time.monotonic(), asked_at, grant)
        self._log_grant(row, grant, request_id)

    async def _ask_owner(self, row, key, wanted):
        if self._is_own(row):
            return self._issue(key, self._member.instance, wanted)
        owner = self._updates.find_owner(row)
        notice = make_notice(key, self._limits.statement(key), time.monotonic())
        try:
            with anyio.fail_after(PERMIT_TIMEOUT):
                link = self._updates.open_link(owner)
                connection = await link.get_connection(PERMIT_TIMEOUT)
                request = PermitRequest(notice, self._member.instance, wanted)
                reply = await connection.call(request, PERMIT_TIMEOUT)
        except (BanyanshoreError, TimeoutError) as error:
            return self._record_silent_owner(owner, error)
        self._exchange.record_notice(reply.limit)
        return Grant(reply.count, reply.retry_seconds, reply.tokens)

    def _record_silent_owner(self, owner, error):
        """Treat all targets of an owner that did not reply as full for a while."""
        self._metrics.permits.labels("owner-silent").inc()
        logger.info(
            "owner of target did not reply",
            extra={"owner": owner.instance, "why": str(error) or "timeout"},
        )
        now = time.monotonic()
        for candidate in self._registry.targets.rows():
            if (
                self._limits.is_limited(candidate)
                and self._updates.find_owner(candidate) == owner
            ):
                holder = self._limits.holder(target_key(candidate))
                holder.deny(now, OWNER_RETRY_SECONDS)
        return Grant(0, OWNER_RETRY_SECONDS)

    def _issue(self, key, gateway, wanted):
        now = time.monotonic()
        statement = self._limits.statement(key)
        if statement is None or statement.per_second == UNLIMITED:
            # The limit has ended, which the reply states.
            return Grant(0)
        issuer = self._issuer(now, key)
        return issuer.issue(now, statement.per_second, gateway, wanted)

    def _issuer(self, now, key):
        issuer = self._issuer_by_key.get(key)
        if issuer is None:
            issuer = self._issuer_by_key[key] = PermitIssuer(now, self._random)
        return issuer

    def update_issuers(self):
        """Create issuers for the targets of this gateway, and drop all others."""
        owned = {
            target_key(row)
            for row in self._registry.targets.rows()
            if self._limits.is_limited(row) and self._is_own(row)
        }
        now = time.monotonic()
        for key in owned:
            self._issuer(now, key)
        for key in self._issuer_by_key.keys() - owned:
            del self._issuer_by_key[key]

    def _is_own(self, row):
        owner = self._updates.find_owner(row)
        return owner is None or owner.instance == self._member.instance

    async def on_permit_request(self, request, responder):
        """Answer another gateway's request for permits."""
        self._exchange.record_notice(request.limit)
        key = request.limit.target, request.limit.incarnation
        grant = self._issue(key, request.sender, request.wanted)
        known = self._limits.statement(key)
        limit = request.limit
        if known is not None:
            limit = make_notice(key, known, time.monotonic())
        await responder.finish(
            PermitReply(grant.count, grant.retry_seconds, grant.tokens, limit)
        )

    def _log_grant(self, row, grant, request_id):
        outcome = "granted" if grant.count else "denied"
        self._metrics.permits.labels(outcome).inc()
        logger.info(
            f"permits {outcome}",
            extra={
                "request_id": request_id,
                "target": row.id,
                "count": grant.count,
                "tokens": round(grant.tokens, 2),
                "retry_seconds": round(grant.retry_seconds, 2),
                **self._exchange.describe(row),
            },
        )
