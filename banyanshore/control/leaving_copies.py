"""Count the control instances that keep on disk that a target leaves."""

import logging

import anyio

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.groups import open_task_group

logger = logging.getLogger(__name__)

# Seconds in which enough instances have to keep it; targets wait a second for the
# answer.
COPIES_TIMEOUT = 0.6


class LeavingCopies:
    """Ensure that news of targets that leave outlasts the losses tolerated.

    A target that leaves is told once that it may. Afterwards this instance may be lost,
    and its disk as well, or all control instances may be killed.

    :param tolerated_losses: instances that may be lost at the same time.
    :param links: the :class:`~banyanshore.transport.LinkPool` to other control
        instances.
    :param store: the :class:`~banyanshore.control.leaving_store.LeavingStore`.
    """

    def __init__(self, tolerated_losses, links, store):
        self._tolerated_losses = tolerated_losses
        self._links = links
        self._store = store

    def request(self):
        """Have this instance keep what it has recorded, without waiting for it."""
        self._store.request()

    async def are_enough(self, update, addresses):
        """Return whether enough instances keep an update, this one among them.

        :param update: a :class:`~banyanshore.membership.feed.RowUpdate` that this
            instance has applied.
        :param addresses: peer addresses of the other control instances.
        """
        needed = 1 + min(self._tolerated_losses, len(addresses))
        kept_by = []

        async def keep(instance, save, *arguments):
            try:
                await save(update, *arguments)
            except BanyanshoreError as error:
                logger.info(
                    "leaving target not kept",
                    extra={"peer": instance, "why": str(error)},
                )
                return
            kept_by.append(instance)
            if len(kept_by) >= needed:
                tasks.cancel_scope.cancel()

        with anyio.move_on_after(COPIES_TIMEOUT):
            async with open_task_group() as tasks:
                tasks.start_soon(keep, "self", self._save_here)
                for address in addresses:
                    tasks.start_soon(keep, address, self._save_at, address)
        return len(kept_by) >= needed

    async def _save_here(self, update):
        await self._store.save((*update.rows, *update.departures))

    async def _save_at(self, update, address):
        connection = await self._links.get(address).get_connection(COPIES_TIMEOUT)
        await connection.call(update, COPIES_TIMEOUT)
