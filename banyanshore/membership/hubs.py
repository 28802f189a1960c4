"""Hubs, the gateways that forward load updates, and their batches; does no I/O.

Load pattern: hundreds of gateways choose among targets whose loads change with each
request. If each gateway sent its updates to every other, the messages would grow with
the square of the fleet and cost more CPU time than the requests. So two gateways of
each data centre, its hubs, collect the updates of its loaders and gateways and forward
them in batches to the gateways of their own data centre and to the two hubs of each
other one. Each instance derives the hubs from the members that it knows. Both hubs
forward the same updates, the second one later, so that updates still arrive while one
hub is lost, frozen or cut off; receivers drop duplicates.
"""

import hashlib
from dataclasses import replace
from functools import lru_cache

from banyanshore.membership.load_reports import (
    BegunAnswersReport,
    CrashNotice,
    LimitNotice,
    LoadReport,
    PartNotice,
    PlacementNotice,
    TargetAnswered,
    UnbegunLossNotice,
    supersedes,
)

# Hubs per data centre: updates still arrive if one is lost.
HUBS_PER_DATA_CENTRE = 2
# Batches per second that the first hub of a data centre sends in total: about a tenth
# of a core.
BATCHES_PER_SECOND = 2500
# Shortest and longest time that updates wait at the first hub, in seconds. Under
# overload, placements that are known 30 ms late make a seventh of the admitted requests
# late; at 3 ms it is a fiftieth (tests/routing/test_board.py replays that load).
MIN_BATCH_DELAY = 0.004
MAX_BATCH_DELAY = 0.02
# Seconds that updates wait at the second hub, which only covers a loss of the first.
BACKUP_BATCH_DELAY = 0.06
# Seconds that updates for other data centres wait: reports arrive about as often, few
# requests leave their data centre, and each batch is sent over a slow link.
REMOTE_BATCH_DELAY = 0.15


def choose_hubs(members):
    """Return the rows of the hubs by data centre.

    :param members: :class:`~banyanshore.membership.registry.MemberRow` rows of all
        gateways.
    """
    rows_by_data_centre = {}
    for row in members:
        rows_by_data_centre.setdefault(row.data_centre, []).append(row)
    return {
        name: tuple(sorted(rows, key=_rank)[:HUBS_PER_DATA_CENTRE])
        for name, rows in rows_by_data_centre.items()
    }


def hubs_for(data_centre, hubs_by_data_centre):
    """Return the rows of the hubs that an instance sends its updates to.

    If its data centre has no gateway, they are those of the first other one.
    """
    hubs = hubs_by_data_centre.get(data_centre)
    if hubs is None and hubs_by_data_centre:
        hubs = hubs_by_data_centre[min(hubs_by_data_centre)]
    return hubs or ()


def batch_delay(receivers, is_first):
    """Return the seconds for which a hub collects a batch for its own data centre.

    :param receivers: number of instances in that data centre that it sends to.
    :param is_first: whether it is the first hub of its data centre.

    >>> batch_delay(3, True), batch_delay(20, True), batch_delay(20, False)
    (0.004, 0.008, 0.06)
    """
    if not is_first:
        return BACKUP_BATCH_DELAY
    seconds = receivers / BATCHES_PER_SECOND
    return min(MAX_BATCH_DELAY, max(MIN_BATCH_DELAY, seconds))


def _rank(row):
    return _name_digest(row.instance), row.instance


@lru_cache(maxsize=10_000)
def _name_digest(name):
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


class PendingUpdates:
    """Updates that wait at a hub for the next batch."""

    def __init__(self):
        self._report_by_address = {}
        self._notices = []

    def __bool__(self):
        return bool(self._report_by_address or self._notices)

    def add(self, item):
        """Add an update; a newer report replaces an older one."""
        if isinstance(item, LoadReport):
            known = self._report_by_address.get(item.address)
            if supersedes(item, known):
                self._report_by_address[item.address] = item
        else:
            self._notices.append(item)

    def take_all(self):
        """Remove and return all items; reports come last, as they are authoritative."""
        items = (*self._notices, *self._report_by_address.values())
        self._report_by_address = {}
        self._notices = []
        return items


def items_for(data_centre, items):
    """Return the items to send to the gateways of another data centre.

    Placements go only to the data centre of their target, whose gateways send it most
    of its requests; for other data centres the reports are accurate enough.
    """
    return tuple(
        item
        for item in items
        if not isinstance(item, PlacementNotice) or item.data_centre == data_centre
    )


class DuplicateFilter:
    """Filter out items that were received before.

    :param instance: name of this gateway, whose own placements are dropped.
    """

    def __init__(self, instance):
        self._instance = instance
        self._placement_by_sender = {}
        self._report_by_address = {}
        self._begun_report_by_sender = {}

    def is_new(self, item):
        """Return whether an item was not received before, and remember it."""
        return _IS_NEW_BY_TYPE[type(item)](self, item)

    def keep_only(self, senders, addresses):
        """Forget all senders and targets except the given ones."""
        for name in self._placement_by_sender.keys() - senders:
            del self._placement_by_sender[name]
        for name in self._begun_report_by_sender.keys() - senders:
            del self._begun_report_by_sender[name]
        for address in self._report_by_address.keys() - addresses:
            del self._report_by_address[address]

    def _is_new_placement(self, notice):
        if notice.sender == self._instance:
            return False
        if not supersedes(notice, self._placement_by_sender.get(notice.sender)):
            return False
        self._placement_by_sender[notice.sender] = notice
        return True

    def _is_new_report(self, report):
        if not supersedes(report, self._report_by_address.get(report.address)):
            return False
        self._report_by_address[report.address] = report
        return True

    def _is_new_begun_report(self, report):
        if report.sender == self._instance:
            return False
        if not supersedes(report, self._begun_report_by_sender.get(report.sender)):
            return False
        self._begun_report_by_sender[report.sender] = report
        return True

    def _is_always_new(self, notice):
        # Consumers of these notices deduplicate them by target or part.
        return True


_IS_NEW_BY_TYPE = {
    LoadReport: DuplicateFilter._is_new_report,
    PlacementNotice: DuplicateFilter._is_new_placement,
    CrashNotice: DuplicateFilter._is_always_new,
    TargetAnswered: DuplicateFilter._is_always_new,
    UnbegunLossNotice: DuplicateFilter._is_always_new,
    BegunAnswersReport: DuplicateFilter._is_new_begun_report,
    PartNotice: DuplicateFilter._is_always_new,
    LimitNotice: DuplicateFilter._is_always_new,
}


class PlacementNumbering:
    """Number the placements of one gateway.

    :param sender: name of the gateway.
    :param incarnation: identifies one run of its process.
    """

    def __init__(self, sender, incarnation):
        self._sender = sender
        self._incarnation = incarnation
        self._sequence = 0

    def number(self, notice):
        """Return a notice with its sender, incarnation and sequence set."""
        self._sequence += 1
        return replace(
            notice,
            sender=self._sender,
            incarnation=self._incarnation,
            sequence=self._sequence,
        )
