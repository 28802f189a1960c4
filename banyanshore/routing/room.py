"""Decide which targets have room for a request, free of I/O.

Load pattern: for some seconds there are more requests than the targets can serve, and
information about targets in other data centres is older than that about local ones.
"""

import math

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


class RoomRule:
    """Decide for one gateway whether a target has room for another request.

    :param data_centre: data centre of the gateway.
    """

    def __init__(self, data_centre):
        self._data_centre = data_centre

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

    def has_room(self, now, load, row, service, requirements, remote_part):
        """Return whether a target can start another request in time.

        Load pattern: for some seconds there are more requests than the targets can
        serve. Requests queued in an engine delay all later ones, so that even a short
        queue there makes more requests miss their objective than it serves.
        """
        if not service.get("engine"):
            return load.estimated_in_flight(now) < row.slots * (1 + PLAIN_QUEUE_FACTOR)
        is_local = row.data_centre == self._data_centre
        part = 1.0 if is_local else remote_part
        backlog = load.remaining_prefill_seconds(now)
        longest = part * MAX_BACKLOG_PART * requirements.objective_seconds or math.inf
        return load.estimated_in_flight(now) < part * row.slots and backlog <= longest
