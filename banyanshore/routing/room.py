"""Decide which targets have room for a request, free of I/O.

Load pattern: for some seconds there are more requests than the targets can serve, and
information about targets in other data centres is older than that about local ones. A
burst of the least urgent requests fills all targets, some seconds before one of the
most urgent requests; some that were refused return too late to be in time.

The last places of a target are kept for more urgent requests than the one at hand, as
trunks are reserved in telephone networks: gateways need no message for it, and less
urgent requests get all other places. Nothing is kept from requests that have lately
found room much less often than all of their service.
"""

import math

from banyanshore.core.values import dataclass
from banyanshore.routing.rank_shares import RankShares

# Maximum prefill backlog of an engine, as a fraction of the request's objective. The
# rest is for the request's own prefill, the pass in progress and load not yet reported.
MAX_BACKLOG_PART = 0.25
# Requests that may queue at a plain target for each one that it can process at once.
PLAIN_QUEUE_FACTOR = 2
# Fraction of a remote target's capacity that is reserved for the gateways in its data
# centre, while this data centre has its share of targets. Information about remote
# targets is some tenths of a second old, and all gateways whose local targets are full
# turn to them.
REMOTE_RESERVE = 0.5
# Number of gateways from which the full reserve applies; with fewer it is reduced in
# proportion. Each gateway may send one request before the others learn of it, and a few
# gateways can't overload the free capacity.
REMOTE_RESERVE_GATEWAYS = 40
# Places of a target that are kept from a request for each rank above its own, and for
# those of its own rank if it is late; and the fraction of its places that are at most
# kept.
RESERVED_PLACES = 1
MAX_RESERVED_PART = 0.25
# Seconds for which places are kept for a rank after its last request at this gateway.
RANK_SECONDS = 10.0


@dataclass(frozen=True)
class Reserve:
    """What is kept from a request at each target.

    :param places: places for others.
    """

    places: int = 0

    def kept_places(self, places):
        """Return how many of a target's places are kept.

        >>> Reserve(2).kept_places(12), Reserve(9).kept_places(12)
        (2, 3.0)
        """
        return min(self.places, MAX_RESERVED_PART * places)


NO_RESERVE = Reserve()


class RoomRule:
    """Decide for one gateway whether a target has room for another request.

    :param data_centre: data centre of the gateway.
    """

    def __init__(self, data_centre):
        self._data_centre = data_centre
        # Time of the last request that could be in time, by service and rank.
        self._last_request = {}
        self._shares = RankShares()

    def record_request(self, now, service, rank, is_late):
        """Record a request, for whose rank places are kept for some time.

        :param rank: the :class:`~banyanshore.routing.ranks.Rank`.
        """
        if not is_late:
            self._last_request[service, rank.position] = now
        self._shares.record(now, service, (rank.position, is_late), asked=1)

    def record_found(self, now, requirements):
        """Record that a request has found room."""
        urgency = requirements.rank.position, requirements.is_late
        self._shares.record(now, requirements.service, urgency, found=1)

    def reserve(self, now, requirements):
        """Return the :class:`Reserve` that a request has to leave.

        None is left in a service all of whose requests are equally urgent.
        """
        service, rank = requirements.service, requirements.rank
        urgency = rank.position, requirements.is_late
        if rank.count == 1 or urgency == (0, False):
            return NO_RESERVE
        if self._shares.is_starved(service, urgency):
            return NO_RESERVE
        others = range(rank.position + requirements.is_late)
        asking = sum(self._is_asked_for(now, service, other) for other in others)
        return Reserve(RESERVED_PLACES * asking)

    def _is_asked_for(self, now, service, position):
        last = self._last_request.get((service, position), -math.inf)
        return last > now - RANK_SECONDS

    def remote_capacity_part(self, serving, gateways):
        """Return the fraction of a remote target's capacity that may be used.

        Load pattern: more requests than all data centres together can serve. Requests
        that found no local target gathered at the remote target that had last looked
        free, and delayed everything there. A data centre with few targets or none may
        still fill those of the others.

        :param serving: targets that may serve the request, full or not.
        :param gateways: number of gateways.
        """
        data_centres = [candidate.row.data_centre for candidate in serving]
        local_count = data_centres.count(self._data_centre)
        fair_share = len(serving) / len(set(data_centres))
        reserve = REMOTE_RESERVE * min(1.0, gateways / REMOTE_RESERVE_GATEWAYS)
        return 1 - reserve * min(1.0, local_count / fair_share)

    def has_room(self, now, load, row, service, requirements, remote_part, reserve):
        """Return whether a target can start another request in time."""
        seconds = self.seconds_to_room(
            now, load, row, service, requirements, remote_part, reserve
        )
        return seconds == 0

    def seconds_to_room(
        self, now, load, row, service, requirements, remote_part, reserve
    ):
        """Return the seconds until a target can start another request in time.

        Load pattern: for some seconds there are more requests than the targets can
        serve. Requests queued in an engine delay all later ones, so that even a short
        queue there makes more requests miss their objective than it serves.

        :param remote_part: result of :meth:`remote_capacity_part`.
        :param reserve: the :class:`Reserve` that the request has to leave.
        :return: 0 if it can now, ``inf`` if it is unknown when one of its requests
            ends.
        """
        in_flight = load.estimated_in_flight(now)
        if not service.get("engine"):
            places = row.slots * (1 + PLAIN_QUEUE_FACTOR)
            return 0.0 if in_flight < places - reserve.kept_places(places) else math.inf
        is_local = row.data_centre == self._data_centre
        part = 1.0 if is_local else remote_part
        kept = reserve.kept_places(row.slots)
        if in_flight >= part * row.slots - kept:
            return math.inf
        part *= 1 - kept / row.slots
        backlog = load.remaining_prefill_seconds(now)
        longest = part * MAX_BACKLOG_PART * requirements.objective_seconds or math.inf
        return max(0.0, backlog - longest)
