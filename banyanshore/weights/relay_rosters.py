"""Provide the members of one service's relay tree to its transfers.

Load pattern: control instances restart together while a version is on its way, and each
of them knows only the members that have moved to it. Members that are alive are dropped
and come back within seconds. If the tree followed, relays would stop and begin anew,
and chunks would be pushed twice.
"""

import math
import time

from banyanshore.membership.feed import GATEWAY_ROLE, LOADER_ROLE
from banyanshore.membership.messages import Roster, RosterRow
from banyanshore.weights.tree import RelayTree, TreeMember

# Seconds for which a member that control has dropped keeps its place: two control
# instances that don't answer, until it has found a third one. A member that is really
# gone costs its children no more, since they fetch missing chunks themselves.
HOLD_SECONDS = 3.0


class RelayRosters:
    """Track the loaders of one service and the gateways that relay chunks to them.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param service: service whose loaders receive the chunks.
    :param own_instance: name of this instance, which is alive whatever control says.
    :ivar by_data_centre: rosters of the loaders and relays, by data centre.
    :ivar digest: changes whenever the tree changes.
    :ivar tree: the :class:`~banyanshore.weights.tree.RelayTree`.
    """

    def __init__(self, registry, service, own_instance=""):
        self._registry = registry
        self._service = service
        self._own_instance = own_instance
        # The members in use, and until when those that control has dropped are held.
        self._members = {}
        self._held_until = {}
        self._rows_by_instance = {}
        self.by_data_centre = {}
        self.digest = 0
        self._loaders_by_data_centre = {}
        self._last_inputs = None
        self.origin_data_centre = ""
        self.tree = RelayTree((), "")

    def refresh(self, origin_data_centre):
        """Rebuild the tree and the rosters if the members or the origin have changed.

        :param origin_data_centre: data centre of the origin, empty if unknown.
        """
        now = time.monotonic()
        self.origin_data_centre = origin_data_centre
        inputs = (origin_data_centre, self._registry.members.revision)
        if inputs == self._last_inputs and now < self._next_release_at:
            return
        self._last_inputs = inputs
        members = self._members = self._find_members(now)
        digest = hash(
            (origin_data_centre, frozenset(row.content for row in members.values()))
        )
        if digest == self.digest:
            return
        self.digest = digest
        self.tree = RelayTree(
            [
                TreeMember(
                    row.instance, row.data_centre, row.region, row.role == GATEWAY_ROLE
                )
                for row in members.values()
            ],
            origin_data_centre,
        )
        self._rows_by_instance = {
            name: row
            for name, row in members.items()
            if row.role == LOADER_ROLE or self.tree.is_relay(name)
        }
        self.by_data_centre = self._build_rosters()
        self._loaders_by_data_centre = {}
        for name, row in self._rows_by_instance.items():
            if row.role == LOADER_ROLE:
                names = self._loaders_by_data_centre.setdefault(row.data_centre, set())
                names.add(name)

    def release_held(self):
        """Rebuild the tree if a member that control has dropped isn't back in time."""
        if time.monotonic() >= self._next_release_at:
            self.refresh(self.origin_data_centre)

    @property
    def _next_release_at(self):
        return min(self._held_until.values(), default=math.inf)

    def _find_members(self, now):
        """Return the rows of the members by name, with those that are held."""
        known = {row.instance: row for row in self._registry.members.rows()}
        members = {
            name: row
            for name, row in known.items()
            if row.role == GATEWAY_ROLE
            or (row.role == LOADER_ROLE and row.service == self._service)
        }
        addresses = {row.address for row in known.values()}
        held_until = {}
        for name, row in self._members.items():
            if name in known or row.address in addresses:
                continue
            until = self._held_until.get(name, now + HOLD_SECONDS)
            if name == self._own_instance:
                until = math.inf
            if now < until:
                members[name] = row
                held_until[name] = until
        self._held_until = held_until
        return members

    def data_centre_of(self, instance):
        """Return the data centre of a member, empty if unknown."""
        row = self._rows_by_instance.get(instance)
        return row.data_centre if row else ""

    def loaders_by_data_centre(self):
        """Return the names of all loaders, by data centre."""
        return self._loaders_by_data_centre

    def _build_rosters(self):
        rows_by_data_centre = {}
        for row in self._rows_by_instance.values():
            rows = rows_by_data_centre.setdefault(row.data_centre, [])
            rows.append(RosterRow(row.instance, row.region, self._service, row.address))
        return {
            name: Roster(name, tuple(sorted(rows, key=lambda row: row.instance)), 0)
            for name, rows in rows_by_data_centre.items()
        }
