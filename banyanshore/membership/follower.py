"""Base class of the processes that follow control."""

import logging

from banyanshore.core.clock import boottime_now
from banyanshore.telemetry.listener import start_metrics_server
from banyanshore.telemetry.rollouts import log_corrected_ages, log_known_versions
from banyanshore.transport import LinkPool, TableHandler, serve_peers

logger = logging.getLogger(__name__)


class Follower(TableHandler):
    """Base class of a gateway or a loader, which follows control.

    Subclasses set ``settings``, ``link_options``, ``feed``, ``versions`` and
    ``metrics``.

    :ivar links: the :class:`~banyanshore.transport.LinkPool` to other instances.
    :ivar callers: the :class:`~banyanshore.http.caller_account.CallerAccount`, ``None``
        in a process that serves none.
    """

    callers = None

    def _open_links(self, tasks):
        self.links = LinkPool(tasks, self, self.settings.instance, self.link_options)

    async def _serve_peers(self, tasks):
        await tasks.start(
            serve_peers,
            self.settings.peers_bind,
            self,
            self.settings.instance,
            self.link_options,
        )

    def _follow(self, tasks, role):
        tasks.start_soon(self.link_options.ticker.run)
        tasks.start_soon(self.feed.run)
        start_metrics_server(
            tasks, self.settings.metrics_bind, self.metrics.registry, self.callers
        )
        logger.info("started", extra={"role": role})

    def _record_rollouts(self, desired):
        learned = self.versions.record(
            boottime_now(),
            desired.document["rollouts"],
            self.feed.confirmed_seconds_ago,
        )
        log_known_versions(learned)

    def _record_ages(self, ages):
        log_corrected_ages(self.versions.record_ages(boottime_now(), ages))

    def reload(self, settings):
        """Use the control instances named in changed settings."""
        self.feed.seeds = tuple(settings.seeds)
