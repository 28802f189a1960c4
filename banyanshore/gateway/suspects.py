"""Carry the news of requests that crash targets between the gateways."""

import logging
import time

from banyanshore.routing.crashes import CrashWatch
from banyanshore.routing.quarantine import request_fingerprint

logger = logging.getLogger(__name__)

GATEWAY_ROLE = "gateway"


class Suspects:
    """Requests that are suspected to crash the targets that run them.

    :param instance: name of this gateway.
    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :ivar links: the :class:`~banyanshore.transport.LinkPool` to the other gateways.
    """

    def __init__(self, instance, registry):
        self.links = None
        self._instance = instance
        self._registry = registry
        self._watch = CrashWatch()

    def is_refused(self, screened, body):
        """Tell whether a request is known to crash its targets."""
        if not self._watch.knows_suspects:
            return False
        return self._watch.is_refused(time.monotonic(), _fingerprint(screened, body))

    def record_break(self, row, screened, body):
        """Take an answer of a target that ended with its connection."""
        now = time.monotonic()
        self._watch.record_break(now, _incarnation(row), _fingerprint(screened, body))

    async def record_end(self, incarnation):
        """Take a target that takes no connections any more, or is gone."""
        news = self._watch.record_end(time.monotonic(), incarnation)
        if news:
            logger.warning(
                "target ended while it ran requests",
                extra={"target": incarnation[0], "suspects": len(news)},
            )
        await self._tell(news)

    async def record_unreachable(self, row):
        """Take a target that refuses connections."""
        await self.record_end(_incarnation(row))

    async def record_whole(self, screened, body):
        """Take a whole answer, which clears the request."""
        if self._watch.knows_suspects:
            fingerprint = _fingerprint(screened, body)
            await self._tell(self._watch.record_whole(time.monotonic(), fingerprint))

    async def look_for_ended(self):
        """Find the targets that have gone since they broke answers off."""
        by_key = self._registry.targets.by_key
        for incarnation in self._watch.unexplained():
            known = by_key.get(incarnation[0])
            if known is None or known.row.incarnation != incarnation[1]:
                await self.record_end(incarnation)

    def record_news(self, news):
        """Take the news of another gateway."""
        self._watch.record_news(time.monotonic(), news)

    async def _tell(self, news):
        for item in news:
            for member in self._registry.members_of(GATEWAY_ROLE):
                if member.instance != self._instance:
                    link = self.links.get(member.address, member.instance)
                    await link.notify_or_drop(item)


def _incarnation(row):
    return row.id, row.incarnation


def _fingerprint(screened, body):
    request = screened.request
    return request_fingerprint(
        screened.workspace.name or request.key,
        screened.service,
        request.method.decode("latin-1"),
        request.target.decode("latin-1"),
        body,
    )
