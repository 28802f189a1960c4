"""Learn the limits that targets name, and exchange them with other gateways."""

import logging
import time

import anyio

from banyanshore.membership.load_reports import LimitNotice
from banyanshore.routing.request_limits import (
    UNLIMITED,
    LimitStatement,
    target_key,
)

logger = logging.getLogger(__name__)

# Seconds after which limits are sent again, since notices may be lost, and gateways may
# have started after they were sent.
REPEAT_INTERVAL = 1.0


class LimitExchange:
    """The limits of targets, as stated by their answers and by other gateways.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param limits: the :class:`~banyanshore.routing.request_limits.RequestLimits`.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    :ivar updates: the :class:`~banyanshore.gateway.news.UpdateExchange`.
    :ivar on_change: functions called after a limit has changed, and once a second,
        since the owners of targets change with the fleet.
    """

    def __init__(self, registry, limits, metrics):
        self.limits = limits
        self.updates = None
        self.on_change = []
        self._registry = registry
        self._metrics = metrics
        self._sent_at_by_key = {}

    async def run(self):
        """Repeat the limits in force until cancelled."""
        while True:
            await anyio.sleep(REPEAT_INTERVAL)
            now = time.monotonic()
            self.updates.forward_again(
                make_notice(key, statement, now)
                for key, statement in self.limits.in_force()
            )
            self._call_on_change()

    async def record_answer(self, row, per_second, offered_at, request_id):
        """Record the limit that an answer states, and tell the other gateways.

        :param per_second: requests per second, ``UNLIMITED`` for none.
        :param offered_at: monotonic time at which the request was offered.
        """
        now = time.monotonic()
        key = target_key(row)
        statement = LimitStatement(per_second, offered_at, now)
        has_changed = self.limits.record(key, statement)
        if has_changed:
            self._log_change("target named a limit", key, statement, request_id)
            self._call_on_change()
        known = self.limits.statement(key)
        sent_at = self._sent_at_by_key.get(key, 0.0)
        is_due = per_second != UNLIMITED and now - sent_at >= REPEAT_INTERVAL
        if known is statement and (has_changed or is_due):
            self._sent_at_by_key[key] = now
            await self.updates.send(make_notice(key, statement, now))

    def record_notice(self, notice):
        """Record a :class:`LimitNotice`; return whether it changes the limit."""
        now = time.monotonic()
        key = notice.target, notice.incarnation
        statement = LimitStatement(
            notice.per_second,
            now - notice.offered_seconds_ago,
            now - notice.stated_seconds_ago,
        )
        if self.limits.is_echo(key, statement):
            return False
        has_changed = self.limits.record(key, statement)
        if has_changed:
            self._log_change("limit received from another gateway", key, statement)
            self._call_on_change()
        return has_changed

    def _call_on_change(self):
        for callback in self.on_change:
            callback()

    def describe(self, row):
        """Return the log fields on the limit of a target."""
        statement = self.limits.statement(target_key(row))
        if statement is None:
            return {}
        age = time.monotonic() - statement.stated_at
        return {
            "limit": _loggable(statement.per_second),
            "limit_stated_ago": round(age, 2),
        }

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
        self.limits.keep_only(now, self._registry.targets.rows())
        for key in self._sent_at_by_key.keys() - dict(self.limits.in_force()).keys():
            del self._sent_at_by_key[key]


def make_notice(key, statement, now):
    """Return the :class:`LimitNotice` of a statement.

    :param key: id and incarnation of the target.
    """
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
