"""Which gateways pass the news of loads on: decisions without input or output.

Load pattern: hundreds of gateways choose among targets whose loads change with each
request. Told by each to each, the messages grow with the square of the fleet and take
more of a processor than the requests. So two gateways of each data centre gather what
its loaders and gateways tell, and pass it on in batches, to the gateways of their own
data centre and to the two of each other one. Each instance works out from the members
that it knows who they are. Two pass on the same, the second one later, so that news
goes on while one of them is lost, frozen or cut off; whoever hears twice of something
takes it once.
"""

import hashlib
from dataclasses import replace
from functools import lru_cache

from banyanshore.membership.load_reports import (
    CrashNotice,
    LoadReport,
    PlacementNotice,
    TargetAnswered,
    supersedes,
)

# Gateways of a data centre that pass news on: one may be lost unnoticed.
HUBS_PER_DATA_CENTRE = 2
# Batches a second that the first hub of a data centre sends to all whom it tells: about
# a tenth of a core.
BATCHES_PER_SECOND = 2500
# Shortest and longest time that news waits at the first hub, in seconds. Beyond what
# the targets bear, news of placements that is 30 ms old makes a seventh of all admitted
# late, 3 ms a fiftieth (tests/routing/test_board.py replays that load).
MIN_BATCH_DELAY = 0.004
MAX_BATCH_DELAY = 0.02
# Time that news waits at the second hub, which only makes up for the loss of the first.
BACKUP_BATCH_DELAY = 0.06
# Time that news for other data centres waits, in seconds: reports come about as often,
# few requests leave their data centre, and each batch is sent over a thin link.
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
    """Return the rows of the hubs that an instance tells its news.

    Where its data centre has no gateway, those of the first other one.
    """
    hubs = hubs_by_data_centre.get(data_centre)
    if hubs is None and hubs_by_data_centre:
        hubs = hubs_by_data_centre[min(hubs_by_data_centre)]
    return hubs or ()


def batch_delay(receivers, is_first):
    """Return how long news for its own data centre waits at a hub for more.

    :param receivers: instances of that data centre that it tells.
    :param is_first: whether it is the first hub there.

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
    """News that waits at a hub."""

    def __init__(self):
        self._report_by_address = {}
        self._notices = []

    def __bool__(self):
        return bool(self._report_by_address or self._notices)

    def add(self, item):
        """Take an item of news; a newer report replaces an older one."""
        if isinstance(item, LoadReport):
            known = self._report_by_address.get(item.address)
            if supersedes(item, known):
                self._report_by_address[item.address] = item
        else:
            self._notices.append(item)

    def take_all(self):
        """Return all items and forget them; reports come last, as they know most."""
        items = (*self._notices, *self._report_by_address.values())
        self._report_by_address = {}
        self._notices = []
        return items


def items_for(data_centre, items):
    """Return the items that concern the gateways of another data centre.

    Its own gateways alone place so often on its targets that each placement matters;
    of all other targets their reports tell enough.
    """
    return tuple(
        item
        for item in items
        if not isinstance(item, PlacementNotice) or item.data_centre == data_centre
    )


class DuplicateFilter:
    """What has been heard already, so that each item is taken once.

    :param instance: name of this gateway, which knows its own placements.
    """

    def __init__(self, instance):
        self._instance = instance
        self._placement_by_sender = {}
        self._report_by_address = {}

    def is_new(self, item):
        """Tell whether an item has not been heard yet, and remember it."""
        return _IS_NEW_BY_TYPE[type(item)](self, item)

    def keep_only(self, senders, addresses):
        """Forget senders and targets that are gone."""
        for name in self._placement_by_sender.keys() - senders:
            del self._placement_by_sender[name]
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

    def _is_always_new(self, news):
        # Those that count crashes tell them apart by target.
        return True


_IS_NEW_BY_TYPE = {
    LoadReport: DuplicateFilter._is_new_report,
    PlacementNotice: DuplicateFilter._is_new_placement,
    CrashNotice: DuplicateFilter._is_always_new,
    TargetAnswered: DuplicateFilter._is_always_new,
}


class PlacementNumbering:
    """Numbers the placements of one gateway.

    :param sender: its name.
    :param incarnation: tells its starts apart.
    """

    def __init__(self, sender, incarnation):
        self._sender = sender
        self._incarnation = incarnation
        self._sequence = 0

    def number(self, notice):
        """Return a notice with its sender and number."""
        self._sequence += 1
        return replace(
            notice,
            sender=self._sender,
            incarnation=self._incarnation,
            sequence=self._sequence,
        )
