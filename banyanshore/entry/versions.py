"""Send accepted versions of the desired state to other entries and to agents.

Entries that receive a version from the log send it to the entries of their data centre
that don't vote. The leader also sends it to one entry of each other data centre, whose
voters may be down or cut off. At first only the changes are sent; an entry or agent
that reports an older version afterwards is sent the complete document.
"""

import time

import anyio

from banyanshore.membership.messages import StateChange, StateUpdate

# Seconds for which sending to a data centre is retried after its contact was lost, and
# seconds between attempts. After that, digests repair what the data centre has missed.
CONTACT_TIMEOUT = 2.0
CONTACT_INTERVAL = 0.05


class VersionSender:
    """Send each version that comes into force at this entry.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param state: the :class:`~banyanshore.state.StateHolder`, which keeps the previous
        version.
    :param entries: the :class:`~banyanshore.membership.entries.EntryTable`.
    :param neighbours: the :class:`~banyanshore.entry.neighbours.Neighbours`.
    :param agents: the :class:`~banyanshore.entry.reports.AgentConnections`.
    :param leadership: callable that returns the leader's instance and term.
    """

    def __init__(self, settings, state, entries, neighbours, agents, leadership):
        self._settings = settings
        self._state = state
        self._entries = entries
        self._neighbours = neighbours
        self._agents = agents
        self._leadership = leadership
        self._changed = anyio.Event()
        self._from_log = False

    def on_new_version(self, from_log):
        """Schedule sending a newer version that is in force at this entry.

        :param from_log: whether the version came from the log, not from another entry.
        """
        self._from_log = self._from_log or from_log
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def run(self):
        """Send versions until cancelled."""
        while True:
            changed = self._changed
            if self._state.version:
                await self._send_version(changed)
            await changed.wait()

    def complete_update(self):
        """Return the message with the complete version in force."""
        return StateUpdate(self._state.desired.published)

    async def on_update(self, connection, update):
        """Put a complete version in force, if it is newer."""
        if self._state.apply(update.published):
            await self._on_received(connection)

    async def on_change(self, connection, change):
        """Put a version in force by its delta, if that applies to the current one."""
        if self._state.apply_delta(change.delta):
            await self._on_received(connection)

    def _build_update(self):
        """Return the smaller of the delta and the complete version, as a message."""
        complete = self.complete_update()
        if self._state.previous is None:
            return complete
        delta = self._state.desired.delta_from(self._state.previous)
        if len(delta.patch) >= len(complete.published.document):
            return complete
        return StateChange(delta)

    async def _send_version(self, changed):
        message = self._build_update()
        from_log, self._from_log = self._from_log, False
        await self._agents.notify_all(message)
        if not from_log:
            return
        for peer in self._neighbours.siblings:
            if not peer.voter:
                await self._neighbours.notify(peer.instance, message)
        leader, _ = self._leadership()
        if leader == self._settings.instance:
            await self._send_to_data_centres(message, changed)

    async def _send_to_data_centres(self, message, changed):
        """Send a message to each other data centre, once an entry of it is connected.

        :param changed: event that is set when a newer version is to be sent instead.
        """
        pending = list(self._neighbours.other_data_centres)
        deadline = time.monotonic() + CONTACT_TIMEOUT
        while True:
            now = time.monotonic()
            pending = [
                name
                for name in pending
                if not await self._neighbours.notify_data_centre(now, name, message)
            ]
            if not pending or changed.is_set() or now >= deadline:
                return
            await anyio.sleep(CONTACT_INTERVAL)

    async def _on_received(self, connection):
        """Notify agents, and siblings if the version came from another data centre."""
        self.on_new_version(from_log=False)
        if not self._neighbours.is_sibling(connection.peer):
            await self._neighbours.notify_siblings(self._build_update())
