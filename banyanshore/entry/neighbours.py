"""Send notices to the other entries, in this data centre and in others."""

# Entries of another data centre that are tried as contacts, one after the other.
MAX_CONTACTS = 2


def find_contact(entries, links, now, data_centre):
    """Return a connected entry of another data centre, or ``None``.

    The next entry is connected to only when the one before can't be reached.

    :param entries: the :class:`~banyanshore.membership.entries.EntryTable`.
    :param links: the :class:`~banyanshore.transport.LinkPool`.
    """
    for instance in entries.contacts_in(now, data_centre)[:MAX_CONTACTS]:
        peer = entries.peer_by_instance[instance]
        link = links.get(peer.address, instance)
        if link.is_open:
            return peer
        if not link.is_failing:
            return None
    return None


class Neighbours:
    """Send notices to the other entries.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param links: the :class:`~banyanshore.transport.LinkPool`.
    :param entries: the :class:`~banyanshore.membership.entries.EntryTable`.
    """

    def __init__(self, settings, links, entries):
        self._settings = settings
        self._links = links
        self._entries = entries

    @property
    def siblings(self):
        """Return the other entries of this data centre."""
        return self._entries.siblings()

    @property
    def other_data_centres(self):
        """Return the names of the other data centres that have entries."""
        own = self._settings.data_centre
        return [name for name in self._entries.data_centres if name != own]

    def is_sibling(self, instance):
        """Return whether an instance is an entry of this data centre."""
        peer = self._entries.peer_by_instance.get(instance)
        return peer is not None and peer.data_centre == self._settings.data_centre

    async def notify(self, instance, message):
        """Send a notice to an entry, unless the instance is unknown."""
        peer = self._entries.peer_by_instance.get(instance)
        if peer is not None:
            link = self._links.get(peer.address, instance)
            await link.notify_or_drop(message)

    async def notify_siblings(self, message):
        """Send a notice to the other entries of this data centre."""
        for peer in self.siblings:
            await self.notify(peer.instance, message)

    async def notify_data_centre(self, now, data_centre, message):
        """Send a notice to one entry of another data centre.

        :return: the instance of the entry, empty if none is connected.
        """
        peer = find_contact(self._entries, self._links, now, data_centre)
        if peer is None:
            return ""
        await self.notify(peer.instance, message)
        return peer.instance
