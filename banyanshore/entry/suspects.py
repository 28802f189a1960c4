"""Exchange of updates on suspected requests between entries."""

import time

import anyio

from banyanshore.membership.entries import Newcomers

# Seconds between repeats of updates to a newcomer, and for how long they are repeated:
# longer than a link takes to open.
REPEAT_INTERVAL = 1.0
REPEAT_SECONDS = 5.0


class SuspectExchange:
    """Send updates on suspects, and repeat them to entries that may have missed them.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param entries: the :class:`~banyanshore.membership.entries.EntryTable`.
    :param neighbours: the :class:`~banyanshore.entry.neighbours.Neighbours`.
    :param quarantine: the :class:`~banyanshore.routing.quarantine.Quarantine`.
    """

    def __init__(self, settings, entries, neighbours, quarantine):
        self._settings = settings
        self._entries = entries
        self._neighbours = neighbours
        self._quarantine = quarantine
        self._newcomers = Newcomers(REPEAT_SECONDS)

    async def run(self):
        """Repeat updates to newcomers until cancelled."""
        while True:
            await self.repeat(time.monotonic())
            await anyio.sleep(REPEAT_INTERVAL)

    async def repeat(self, now):
        """Send newcomers what is known of suspects.

        Those of another data centre are sent it by its contact, as new updates are.
        """
        newcomers = self._newcomers.find(now, self._entries)
        updates = self._quarantine.updates_to_repeat(now) if newcomers else ()
        for instance in newcomers if updates else ():
            if self._neighbours.is_sibling(instance):
                for update in updates:
                    await self._neighbours.notify(instance, update)
        for data_centre in self._data_centres_of(now, newcomers) if updates else ():
            for update in updates:
                await self._neighbours.notify_data_centre(now, data_centre, update)

    def _data_centres_of(self, now, instances):
        """Return the other data centres of entries that this entry sends digests to."""
        peers = self._entries.peer_by_instance
        names = {peers[name].data_centre for name in instances if name in peers}
        names.discard(self._settings.data_centre)
        return sorted(
            name for name in names if self._entries.sends_digests_to(now, name)
        )
