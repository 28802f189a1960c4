"""Limits that targets name: exchange them, and get permits from their owners."""

import logging
import random
import time

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.membership.load_reports import LimitNotice
from banyanshore.membership.permits import PermitReply, PermitRequest
from banyanshore.routing.permits import Grant, PermitIssuer
from banyanshore.routing.request_limits import (
    UNLIMITED,
    LimitStatement,
    target_key,
)

logger = logging.getLogger(__name__)

# Seconds after which limits are sent again, since notices may be lost, and gateways may
# have started after they were sent.
REPEAT_INTERVAL = 1.0
# Seconds for which a gateway waits for the reply of an owner; requests then go to other
# targets.
PERMIT_TIMEOUT = 0.15
# Seconds after which an owner that has not replied is asked again.
OWNER_RETRY_SECONDS = 0.5


class LimitExchange:
    """Learn the limits of targets, tell other gateways, and get permits to send.

    :param member: row of this gateway.
    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param limits: the :class:`~banyanshore.routing.request_limits.RequestLimits`.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    :ivar updates: the :class:`~banyanshore.gateway.news.UpdateExchange`.
    """

    def __init__(self, member, registry, limits, metrics):
        self.updates = None
        self._member = member
        self._registry = registry
        self._limits = limits
        self._metrics = metrics
        self._random = random.Random()
        self._issuer_by_key = {}
        # Set when the request for permits in flight has ended, by target.
        self._ended_by_key = {}
        self._sent_at_by_key = {}

    async def run(self):
        """Repeat the limits in force until cancelled."""
        while True:
            await anyio.sleep(REPEAT_INTERVAL)
            now = time.monotonic()
            self.updates.forward_again(
                _make_notice(key, statement, now)
                for key, statement in self._limits.in_force()
            )
            self._update_issuers()

    async def record_answer(self, row, per_second, offered_at, request_id):
        """Record the limit that an answer states, and tell the other gateways.

        :param per_second: requests per second, ``UNLIMITED`` for none.
        :param offered_at: monotonic time at which the request was offered.
        """
        now = time.monotonic()
        key = target_key(row)
        statement = LimitStatement(per_second, offered_at, now)
        has_changed = self._limits.record(key, statement)
        if has_changed:
            self._log_change("target named a limit", key, statement, request_id)
            self._update_issuers()
        known = self._limits.statement(key)
        sent_at = self._sent_at_by_key.get(key, 0.0)
        is_due = per_second != UNLIMITED and now - sent_at >= REPEAT_INTERVAL
        if known is statement and (has_changed or is_due):
            self._sent_at_by_key[key] = now
            await self.updates.send(_make_notice(key, statement, now))

    def record_notice(self, notice):
        """Record a :class:`LimitNotice`; return whether it changes the limit."""
        now = time.monotonic()
        key = notice.target, notice.incarnation
        statement = LimitStatement(
            notice.per_second,
            now - notice.offered_seconds_ago,
            now - notice.stated_seconds_ago,
        )
        if self._limits.is_echo(key, statement):
            return False
        has_changed = self._limits.record(key, statement)
        if has_changed:
            self._log_change("told of a limit", key, statement)
            self._update_issuers()
        return has_changed

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
        owner = self.updates.find_owner(row)
        notice = _make_notice(key, self._limits.statement(key), time.monotonic())
        try:
            with anyio.fail_after(PERMIT_TIMEOUT):
                link = self.updates.open_link(owner)
                connection = await link.get_connection(PERMIT_TIMEOUT)
                request = PermitRequest(notice, self._member.instance, wanted)
                reply = await connection.call(request, PERMIT_TIMEOUT)
        except (BanyanshoreError, TimeoutError) as error:
            return self._record_silent_owner(owner, error)
        self.record_notice(reply.limit)
        return Grant(reply.count, reply.retry_seconds, reply.tokens)

    def _record_silent_owner(self, owner, error):
        """Ask an owner that doesn't reply for no permits for a while."""
        self._metrics.permits.labels("owner-silent").inc()
        logger.info(
            "no permits from owner",
            extra={"owner": owner.instance, "why": str(error) or "timeout"},
        )
        now = time.monotonic()
        for candidate in self._registry.targets.rows():
            if (
                self._limits.is_limited(candidate)
                and self.updates.find_owner(candidate) == owner
            ):
                holder = self._limits.holder(target_key(candidate))
                holder.deny(now, OWNER_RETRY_SECONDS)
        return Grant(0, OWNER_RETRY_SECONDS)

    def _issue(self, key, gateway, wanted):
        now = time.monotonic()
        statement = self._limits.statement(key)
        if statement is None or statement.per_second == UNLIMITED:
            # The limit has ended; the reply says so.
            return Grant(0)
        issuer = self._issuer(now, key)
        return issuer.issue(now, statement.per_second, gateway, wanted)

    def _issuer(self, now, key):
        issuer = self._issuer_by_key.get(key)
        if issuer is None:
            issuer = self._issuer_by_key[key] = PermitIssuer(now, self._random)
        return issuer

    def _update_issuers(self):
        """Begin to issue permits for targets that this gateway owns; end for others."""
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
        owner = self.updates.find_owner(row)
        return owner is None or owner.instance == self._member.instance

    async def on_permit_request(self, request, responder):
        """Answer another gateway's request for permits."""
        self.record_notice(request.limit)
        key = request.limit.target, request.limit.incarnation
        grant = self._issue(key, request.sender, request.wanted)
        known = self._limits.statement(key)
        limit = request.limit
        if known is not None:
            limit = _make_notice(key, known, time.monotonic())
        await responder.finish(
            PermitReply(grant.count, grant.retry_seconds, grant.tokens, limit)
        )

    def describe(self, row):
        """Return the log fields on the limit of a target."""
        statement = self._limits.statement(target_key(row))
        if statement is None:
            return {}
        age = time.monotonic() - statement.stated_at
        return {
            "limit": _loggable(statement.per_second),
            "limit_stated_ago": round(age, 2),
        }

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
                **self.describe(row),
            },
        )

    def _log_change(self, message, key, statement, request_id=None):
        self._metrics.limits.labels(message).inc()
        logger.info(
            message,
            extra={
                "request_id": request_id,
                "target": key[0],
                "limit": _loggable(statement.per_second),
                "limit_stated_ago": round(time.monotonic() - statement.stated_at, 2),
            },
        )

    def forget_departed(self, now):
        """Forget the limits of targets that are no longer registered."""
        self._limits.keep_only(now, self._registry.targets.rows())
        for key in self._sent_at_by_key.keys() - dict(self._limits.in_force()).keys():
            del self._sent_at_by_key[key]


def _make_notice(key, statement, now):
    target, incarnation = key
    return LimitNotice(
        target,
        incarnation,
        statement.per_second,
        now - statement.offered_at,
        now - statement.stated_at,
    )


def _loggable(per_second):
    return "none" if per_second == UNLIMITED else per_second
