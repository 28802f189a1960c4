"""Announce the target to entries, and hold the rosters received from them."""

import time
from dataclasses import replace

from banyanshore.membership.messages import AgentReport, TargetStatus
from banyanshore.membership.rendezvous import rank
from banyanshore.membership.targets import combined_digest


class RosterHolder:
    """Hold the rosters of all data centres, as received from entries."""

    def __init__(self):
        self.by_data_centre = {}
        self.on_change = []

    @property
    def digest(self):
        """Return a combined digest of all rosters."""
        return combined_digest(self.by_data_centre.values())

    def apply(self, roster):
        """Update the roster of one data centre."""
        known = self.by_data_centre.get(roster.data_centre)
        if known is not None and known.digest == roster.digest:
            return
        self.by_data_centre[roster.data_centre] = roster
        for callback in self.on_change:
            callback()


class Announcer:
    """Send reports to a few entries of the data centre.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    :param links: the :class:`~banyanshore.transport.LinkPool`.
    """

    def __init__(self, settings, links, state, rosters, admission):
        self._settings = settings
        self._links = links
        self._state = state
        self._rosters = rosters
        self._admission = admission
        self.incarnation = time.time_ns()
        self._sequence = 0
        self._last_content = None
        self._last_sent_at = 0.0
        self.status = TargetStatus.STARTING
        self.model = ""
        self.model_version = ""
        self.ready_version = ""

    def choose_entries(self):
        """Return the entries to announce the target to, chosen by rendezvous hashing.

        They are in the agent's data centre or, if that has no entries, in its region or
        else anywhere.
        """
        settings = self._settings
        peers = list(settings.entries)
        for candidates in (
            [peer for peer in peers if peer.data_centre == settings.data_centre],
            [peer for peer in peers if peer.region and peer.region == settings.region],
            peers,
        ):
            if candidates:
                break
        by_name = {peer.instance: peer for peer in candidates}
        ranked = rank(settings.instance, by_name)
        return [by_name[name] for name in ranked[: settings.announce_fanout]]

    def build_report(self):
        """Return the next :class:`~banyanshore.membership.messages.AgentReport`."""
        settings = self._settings
        self._sequence += 1
        status = self.status
        if status == TargetStatus.SERVING and self._state.desired is None:
            # Without the desired state an agent refuses all requests.
            status = TargetStatus.STARTING
        return AgentReport(
            settings.instance,
            settings.data_centre,
            settings.region,
            settings.service,
            settings.advertise or settings.peers_bind,
            self.incarnation,
            self._sequence,
            status,
            self.model,
            self.model_version,
            self._admission.current_limit(time.monotonic()),
            self._admission.in_flight + self._admission.foreign,
            self.ready_version,
            self._state.version,
            self._admission.service_seconds,
            self._rosters.digest,
        )

    async def announce_if_due(self, now):
        """Send a report if its content has changed or the last one is too old."""
        content = replace(self.build_report(), sequence=0)
        max_age = self._settings.idle_announce_interval
        if content != self._last_content or now - self._last_sent_at >= max_age:
            self._last_content = content
            await self.announce()

    async def announce(self):
        """Send a report now."""
        self._last_sent_at = time.monotonic()
        report = self.build_report()
        for peer in self.choose_entries():
            link = self._links.get(peer.address, peer.instance)
            await link.notify_or_drop(report)
