"""The reports that targets send to this control instance about themselves."""

import logging
import time

from banyanshore.membership.candidates import CandidateTable
from banyanshore.membership.feed import RowUpdate
from banyanshore.membership.registry import TargetRow

logger = logging.getLogger(__name__)

# Kind of the services whose targets register.
REGISTERED_KIND = "direct"


class Registrations:
    """Apply the reports of targets, and tell others of those that may be used.

    :param feed: the :class:`~banyanshore.control.feed.FeedServer` that tells others.
    :param state: the :class:`~banyanshore.state.StateHolder` of this instance.
    :param targets: the :class:`~banyanshore.membership.registry.RowTable` of targets
        that may be used.
    :param copies: the :class:`~banyanshore.control.leaving_copies.LeavingCopies`.
    """

    def __init__(self, feed, state, targets, copies):
        self._feed = feed
        self._state = state
        self._targets = targets
        self._copies = copies
        self._candidates = CandidateTable()

    def find(self, target_id):
        """Return the :class:`~banyanshore.membership.registry.KnownRow` of a target.

        :return: ``None`` for an unknown target.
        """
        return self._targets.by_key.get(target_id) or self._candidates.find(target_id)

    def find_departure(self, target_id):
        """Return the final departure of a target, or ``None``."""
        return self._targets.find_departure(target_id)

    async def record(self, row):
        """Record the report of a target."""
        if self.admit(row):
            await self._feed.record(row)
        else:
            await self._feed.tell_control(row)

    def admit(self, row):
        """Return whether a row may be used here, and keep it as a candidate if not.

        Each instance decides by the version that it holds. One that has just started
        holds none, and others may use what it is told.
        """
        if not isinstance(row, TargetRow) or self.may_be_used(row):
            return True
        self._record_candidate(row)
        return False

    def may_be_used(self, row):
        """Return whether a report may change the rows of targets in use.

        A target in use stays so when its service is removed: gateways that have not
        heard of that still send it requests, and have to be told when it leaves.
        """
        if self._is_named(row.service):
            return True
        known = self._targets.by_key.get(row.id)
        return known is not None and _identify_start(known.row) == _identify_start(row)

    async def record_leaving(self, row):
        """Record a target that is about to leave.

        :return: whether enough control instances keep that; see
            :class:`~banyanshore.control.leaving_copies.LeavingCopies`.
        """
        if not self.admit(row):
            await self._feed.tell_control(row)
            # Without any state, the service may be one that is in use.
            return self._state.desired is not None
        await self._feed.record(row)
        return await self._is_kept(RowUpdate((row,)))

    async def forget_for_good(self, departure):
        """Apply a final departure.

        :return: as for :meth:`record_leaving`.
        """
        self._candidates.forget(departure.key, departure.incarnation)
        await self._feed.forget(departure)
        return await self._is_kept(RowUpdate((), (departure,)))

    async def _is_kept(self, update):
        addresses = self._feed.control_addresses()
        return await self._copies.are_enough(update, addresses)

    async def use_named_candidates(self):
        """Use the candidates whose service the latest version names."""
        now = time.monotonic()
        for row in self._candidates.take(now, self._is_named):
            await self._feed.record(row)

    def expire(self, now):
        """Drop candidates that have been silent for too long."""
        self._candidates.expire(now)

    def _record_candidate(self, row):
        count = len(self._candidates)
        self._candidates.record(time.monotonic(), row)
        if len(self._candidates) > count:
            logger.info(
                "target of a service that isn't declared",
                extra={
                    "target": row.id,
                    "service": row.service,
                    "address": row.address,
                    "candidates": count + 1,
                },
            )

    def _is_named(self, service):
        desired = self._state.desired
        if desired is None:
            return False
        declared = desired.document["services"].get(service)
        return declared is not None and declared["kind"] == REGISTERED_KIND


def _identify_start(row):
    return row.id, row.incarnation, row.service, row.address
