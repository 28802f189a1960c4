"""Exchange of load and crash updates between loaders and gateways, in batches."""

import logging
import time

import anyio

from banyanshore.membership.feed import GATEWAY_ROLE
from banyanshore.membership.hubs import (
    REMOTE_BATCH_DELAY,
    DuplicateFilter,
    PendingUpdates,
    PlacementNumbering,
    batch_delay,
    choose_hubs,
    hubs_for,
    items_for,
)
from banyanshore.membership.load_reports import (
    BegunAnswersReport,
    CrashNotice,
    LimitNotice,
    LoadReport,
    PartNotice,
    PlacementNotice,
    TargetAnswered,
    UnbegunLossNotice,
    UpdateBatch,
)
from banyanshore.membership.rendezvous import first
from banyanshore.routing.repeated_reports import RepeatedReports
from banyanshore.transport import LinkPool, notify_all_or_drop

logger = logging.getLogger(__name__)


class UpdateExchange:
    """Send, receive and forward the updates of this gateway.

    A gateway sends its updates to the hubs of its data centre. Hubs forward them in
    batches to their neighbours and to the hubs of the other data centres.

    :param member: row of this gateway.
    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param board: the :class:`~banyanshore.routing.board.TargetBoard` that receives
        updates on loads.
    :param suspects: the :class:`~banyanshore.gateway.suspects.Suspects` that receives
        updates on crashes.
    :param limits: the :class:`~banyanshore.gateway.request_limits.LimitExchange` that
        receives updates on limits.
    """

    def __init__(self, member, registry, board, suspects, limits):
        self._member = member
        self._registry = registry
        self._board = board
        self._suspects = suspects
        self._limits = limits
        # Called when a target may have got room for a request.
        self.on_room = lambda: None
        self._links = None
        # Addresses of hubs that this gateway has asked for permits.
        self._requested_addresses = set()
        self._filter = DuplicateFilter(member.instance)
        self._numbering = PlacementNumbering(member.instance, member.incarnation)
        # Updates to forward in this data centre, and those to send to others too.
        self._gathered = PendingUpdates()
        self._gathered_for_others = PendingUpdates()
        # What others need not hear of loads in this data centre.
        self._repeated_reports = RepeatedReports()
        self._has_updates = anyio.Event()
        self._has_updates_for_others = anyio.Event()
        self._hubs_by_data_centre = {}
        self._neighbours = ()
        self._refreshed_revision = None

    def refresh(self):
        """Update hubs and neighbours from the registry, and open the links to them."""
        revision = self._registry.members.revision
        if revision == self._refreshed_revision:
            return
        self._refreshed_revision = revision
        members = self._registry.members_of(GATEWAY_ROLE)
        self._hubs_by_data_centre = choose_hubs(members)
        own = self._member
        self._neighbours = tuple(
            row
            for row in members
            if row.data_centre == own.data_centre and row.instance != own.instance
        )
        if self._links is None:
            return
        peers = {row.address: row.instance for row in self._own_hubs()}
        if self._is_hub():
            recipients = [*self._neighbours]
            for _, hubs in self._other_hubs():
                recipients += hubs
            peers.update((row.address, row.instance) for row in recipients)
        hubs = [row for rows in self._hubs_by_data_centre.values() for row in rows]
        self._requested_addresses &= {row.address for row in hubs}
        peers.update(
            (row.address, row.instance)
            for row in hubs
            if row.address in self._requested_addresses
        )
        self._links.keep_only(peers.keys())
        # Updates are dropped while a link opens, so links open before the first update.
        for address, instance in peers.items():
            self._links.get(address, instance)

    def _is_hub(self):
        hubs = self._hubs_by_data_centre.get(self._member.data_centre, ())
        return any(row.instance == self._member.instance for row in hubs)

    def _own_hubs(self):
        own = self._member
        hubs = hubs_for(own.data_centre, self._hubs_by_data_centre)
        return [row for row in hubs if row.instance != own.instance]

    def _other_hubs(self):
        own = self._member.data_centre
        return [pair for pair in self._hubs_by_data_centre.items() if pair[0] != own]

    async def send(self, item):
        """Send an update of this gateway to the others."""
        if isinstance(item, PlacementNotice):
            item = self._numbering.number(item)
            self._record_sent(item)
            self._repeated_reports.record_placement(item.address)
        if self._is_hub():
            self._gather(item)
        await self._send(self._own_hubs(), item)

    def _record_sent(self, notice):
        unseen = self._board.unseen
        if self._is_hub():
            # Gateways send their notices to this one, which waits for no batch.
            unseen.record_age(0.0)
        else:
            unseen.record_sent(time.monotonic(), notice.sequence)

    def forward_again(self, items):
        """Forward updates again if this gateway is a hub.

        Updates may be lost, and gateways may have started after they were sent.
        """
        if self._is_hub():
            for item in items:
                self._gather(item)

    async def on_item(self, connection, item):
        """Apply an update from an instance of this data centre, and forward it."""
        if self._apply(item) and not self._is_repeated(item):
            self._gather(item)

    def _is_repeated(self, item):
        reports = self._repeated_reports
        return isinstance(item, LoadReport) and reports.may_drop(time.monotonic(), item)

    async def on_batch(self, connection, batch):
        """Apply the updates of a hub, and forward them if the batch is for hubs."""
        for item in batch.items:
            if self._apply(item) and batch.is_for_hub:
                self._gathered.add(item)
        if self._gathered:
            self._has_updates.set()

    def _gather(self, item):
        self._gathered.add(item)
        self._gathered_for_others.add(item)
        self._has_updates.set()
        self._has_updates_for_others.set()

    def _apply(self, item):
        """Apply an update; return whether it was new."""
        if not self._filter.is_new(item):
            if isinstance(item, PlacementNotice):
                self._record_known_placement(item)
            return False
        return _APPLY_BY_TYPE[type(item)](self, time.monotonic(), item)

    def _record_known_placement(self, notice):
        own = self._member
        if notice.sender == own.instance and notice.incarnation == own.incarnation:
            self._board.unseen.record_returned(time.monotonic(), notice.sequence)

    def _apply_report(self, now, report):
        self._board.record_report(now, report)
        self.on_room()
        return True

    def _apply_placement(self, now, notice):
        self._board.record_placement(now, notice)
        self._repeated_reports.record_placement(notice.address)
        if notice.seconds < 0:
            self.on_room()
        return True

    def _apply_crash(self, now, notification):
        return self._suspects.record_update(notification)

    def _apply_target_answered(self, now, notification):
        return self._suspects.record_target_answered(notification)

    def _apply_unbegun_loss(self, now, notice):
        return self._suspects.parts.record_loss_notice(notice)

    def _apply_begun_report(self, now, report):
        return self._suspects.parts.record_begun_report(report)

    def _apply_part_notice(self, now, notice):
        return self._suspects.parts.record_part_notice(notice)

    def _apply_limit(self, now, notice):
        return self._limits.record_notice(notice)

    def find_owner(self, row):
        """Return the row of the gateway that issues the permits for a target.

        It is a hub of the target's data centre: a partition that cuts gateways off from
        it cuts them off from the target as well.

        :return: ``None`` if no gateway is known.
        """
        hubs = hubs_for(row.data_centre, self._hubs_by_data_centre)
        by_instance = {hub.instance: hub for hub in hubs}
        return by_instance.get(first(row.id, by_instance))

    def open_link(self, row):
        """Return the link to a hub, which is kept open as long as it is a hub."""
        self._requested_addresses.add(row.address)
        return self._links.get(row.address, row.instance)

    async def run(self, links_options, handler):
        """Forward the gathered updates until cancelled.

        :param handler: the :class:`~banyanshore.transport.Handler` of messages that
            arrive on the links.
        """
        async with anyio.create_task_group() as tasks:
            self._links = LinkPool(tasks, handler, self._member.instance, links_options)
            self._refreshed_revision = None
            self.refresh()
            tasks.start_soon(self._forward_to_neighbours)
            tasks.start_soon(self._forward_to_others)

    async def _forward_to_neighbours(self):
        while True:
            await self._has_updates.wait()
            hubs = self._hubs_by_data_centre.get(self._member.data_centre, ())
            is_first = bool(hubs) and hubs[0].instance == self._member.instance
            await anyio.sleep(batch_delay(len(self._neighbours), is_first))
            self._has_updates = anyio.Event()
            await self._send(self._neighbours, UpdateBatch(self._gathered.take_all()))

    async def _forward_to_others(self):
        while True:
            await self._has_updates_for_others.wait()
            await anyio.sleep(REMOTE_BATCH_DELAY)
            self._has_updates_for_others = anyio.Event()
            items = self._gathered_for_others.take_all()
            for data_centre, hubs in self._other_hubs():
                addressed = items_for(data_centre, items)
                if addressed:
                    await self._send(hubs, UpdateBatch(addressed, True))

    async def _send(self, rows, body):
        links = [self._links.get(row.address, row.instance) for row in rows]
        await notify_all_or_drop(links, body)

    def forget_departed(self):
        """Forget senders and targets that are no longer registered."""
        senders = {row.instance for row in self._registry.members_of(GATEWAY_ROLE)}
        addresses = {row.address for row in self._registry.targets.rows()}
        self._filter.keep_only(senders, addresses)
        self._repeated_reports.keep_only(addresses)
        self._suspects.parts.forget_departed(senders)
        self._limits.forget_departed(time.monotonic())


_APPLY_BY_TYPE = {
    LoadReport: UpdateExchange._apply_report,
    PlacementNotice: UpdateExchange._apply_placement,
    CrashNotice: UpdateExchange._apply_crash,
    TargetAnswered: UpdateExchange._apply_target_answered,
    UnbegunLossNotice: UpdateExchange._apply_unbegun_loss,
    BegunAnswersReport: UpdateExchange._apply_begun_report,
    PartNotice: UpdateExchange._apply_part_notice,
    LimitNotice: UpdateExchange._apply_limit,
}
