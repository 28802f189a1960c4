"""Exchange digests and rosters with other entries.

Digests are sent periodically. They announce live entries, and show which updates a
sender or receiver has missed, so that these are sent again. The digest of a data centre
omits the rows of its entries while they don't change; a receiver that lacks them
requests them.
"""

import time
from dataclasses import replace

import anyio

from banyanshore.membership.entries import MAX_AGENTS_BEHIND, entries_digest
from banyanshore.membership.messages import (
    DataCentreDigest,
    DigestRequest,
    EntryDigest,
    RosterRequest,
)
from banyanshore.membership.targets import combined_digest
from banyanshore.state import Fence

# Shortest time between early digests, in seconds. When many targets change their status
# at once, one digest reports all changes.
MIN_EARLY_DIGEST_INTERVAL = 0.1


class Dissemination:
    """Send an entry's digests and rosters to others, and process theirs.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param state: the :class:`~banyanshore.state.StateHolder`.
    :param entries: the :class:`~banyanshore.membership.entries.EntryTable`.
    :param targets: the :class:`~banyanshore.membership.targets.TargetTable`.
    :param neighbours: the :class:`~banyanshore.entry.neighbours.Neighbours`.
    :param agents: the :class:`~banyanshore.entry.reports.AgentConnections`.
    :param reports: the :class:`~banyanshore.entry.reports.ReportExchange`.
    :param versions: the :class:`~banyanshore.entry.versions.VersionSender`.
    :param leadership: callable that returns the leader's instance and term.
    :param local_orders: the :class:`~banyanshore.entry.local_orders.LocalOrders`.
    """

    def __init__(
        self, settings, state, entries, targets, neighbours, agents, reports,
        versions, leadership, local_orders,
    ):  # fmt: skip
        self._settings = settings
        self._state = state
        self._entries = entries
        self._targets = targets
        self._neighbours = neighbours
        self._agents = agents
        self._reports = reports
        self._versions = versions
        self._leadership = leadership
        self._local_orders = local_orders
        self._incarnation = time.time_ns()
        self._sequence = 0
        # Digest of the entry rows last sent to each data centre.
        self._sent_digest_by_data_centre = {}
        self.rosters = {}
        self.leaving = False
        self._status_changed = anyio.Event()
        targets.on_status_change.append(self._on_status_change)

    def _on_status_change(self):
        self._status_changed.set()

    async def run_early_digests(self):
        """Send digests to other data centres early when a target's status changes."""
        while True:
            await self._status_changed.wait()
            self._status_changed = anyio.Event()
            await self._send_to_data_centres(time.monotonic())
            await anyio.sleep(MIN_EARLY_DIGEST_INTERVAL)

    async def run(self):
        """Send digests, reports and rosters until cancelled."""
        while True:
            await self.send_digests()
            now = time.monotonic()
            await self._reports.forward_reports(now)
            await self._refresh_roster(now)
            self._targets.drop_silent(now)
            await anyio.sleep(self._settings.digest_interval)

    async def send_digests(self):
        """Send the entry's digest to siblings and the data centre's to the others."""
        now = time.monotonic()
        self._sequence += 1
        digest = self.own_digest(now)
        self._entries.record(now, digest)
        await self._neighbours.notify_siblings(digest)
        await self._send_to_data_centres(now)

    async def _send_to_data_centres(self, now):
        recipients = [
            name
            for name in self._neighbours.other_data_centres
            if self._entries.sends_digests_to(now, name)
        ]
        if recipients:
            digest = self.data_centre_digest(now)
            for name in recipients:
                await self._send_to_data_centre(now, name, digest)

    def own_digest(self, now):
        """Return the :class:`EntryDigest` of this entry."""
        leader, term = self._leadership()
        behind = self._targets.agents_behind(now, self._state.version)
        desired = self._state.desired
        return EntryDigest(
            self._settings.instance,
            self._settings.data_centre,
            self._incarnation,
            self._sequence,
            self._state.version,
            desired.fence if desired else Fence(),
            leader,
            term,
            self.leaving,
            behind[:MAX_AGENTS_BEHIND],
            self._local_orders.number,
        )

    def data_centre_digest(self, now):
        """Return the :class:`DataCentreDigest` of this data centre, with all rows."""
        own = self._settings.data_centre
        rows = tuple(
            self._entries.by_instance[name].digest
            for name in self._entries.live_entries_in(now, own)
            if name in self._entries.by_instance
        )
        capacity = self._targets.capacity(now)
        if self._local_orders.is_out_of_service:
            capacity = ()
        roster = self.rosters.get(own)
        return DataCentreDigest(
            own,
            self._settings.instance,
            self._sequence,
            rows,
            entries_digest(rows),
            capacity,
            roster.digest if roster else 0,
        )

    async def on_entry_digest(self, digest):
        """Record a sibling's digest; send it the version in force if it lacks it."""
        self._entries.record(time.monotonic(), digest)
        self._local_orders.on_entry_digest(digest)
        if digest.state_version < self._state.version:
            await self._neighbours.notify(
                digest.instance, self._versions.complete_update()
            )

    async def on_data_centre_digest(self, connection, digest):
        """Record the digest of another data centre and forward it to siblings."""
        has_rows = self._entries.record_data_centre(time.monotonic(), digest)
        if not has_rows:
            # The sender of the digest has the rows, or will receive them soon.
            await connection.notify(DigestRequest(digest.data_centre))
        if not self._neighbours.is_sibling(connection.peer):
            await self._neighbours.notify_siblings(digest)
            await self._repair_versions(connection, digest.data_centre)
        known = self.rosters.get(digest.data_centre)
        if digest.roster_digest and (
            known is None or known.digest != digest.roster_digest
        ):
            await connection.notify(RosterRequest(digest.data_centre))

    async def on_digest_request(self, connection, request):
        """Send the requested digest with its rows, if they are known."""
        now = time.monotonic()
        if request.data_centre == self._settings.data_centre:
            await connection.notify(self.data_centre_digest(now))
            return
        row = self._entries.by_data_centre.get(request.data_centre)
        if row is not None and row.digest.entries:
            await connection.notify(row.digest)

    async def on_roster_request(self, connection, request):
        """Send the requested roster, if it is known."""
        roster = self.rosters.get(request.data_centre)
        if roster is not None:
            await connection.notify(roster)

    async def on_roster(self, roster):
        """Record the roster of another data centre and send it to the agents here."""
        if roster.data_centre == self._settings.data_centre:
            return
        known = self.rosters.get(roster.data_centre)
        if known is not None and known.digest == roster.digest:
            return
        self.rosters[roster.data_centre] = roster
        await self._agents.notify_all(roster)

    async def on_report(self, connection, report):
        """Record an agent's report; send it the version and rosters that it lacks."""
        if not await self._reports.on_report(connection, report):
            return
        if report.state_version < self._state.version:
            await connection.notify(self._versions.complete_update())
        if report.roster_digest != combined_digest(self.rosters.values()):
            for roster in self.rosters.values():
                await connection.notify(roster)

    async def _send_to_data_centre(self, now, data_centre, digest):
        sent = self._sent_digest_by_data_centre.get(data_centre)
        is_same = sent == digest.entries_digest
        message = replace(digest, entries=()) if is_same else digest
        if await self._neighbours.notify_data_centre(now, data_centre, message):
            self._sent_digest_by_data_centre[data_centre] = digest.entries_digest

    async def _repair_versions(self, connection, data_centre):
        rows = self._entries.by_data_centre[data_centre].digest.entries
        if any(row.state_version < self._state.version for row in rows):
            await connection.notify(self._versions.complete_update())

    async def _refresh_roster(self, now):
        own = self._settings.data_centre
        roster = self._targets.roster(now, own)
        known = self.rosters.get(own)
        if known is None or known.digest != roster.digest:
            self.rosters[own] = roster
            await self._agents.notify_all(roster)
