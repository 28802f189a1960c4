"""Provide the members of one service's relay tree to its transfers."""

from banyanshore.membership.feed import GATEWAY_ROLE, LOADER_ROLE
from banyanshore.membership.messages import Roster, RosterRow
from banyanshore.weights.tree import RelayTree, TreeMember


class RelayRosters:
    """Track the loaders of one service and the gateways that relay chunks to them.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param service: service whose loaders receive the chunks.
    :ivar by_data_centre: rosters of the loaders and relays, by data centre.
    :ivar digest: changes whenever the tree changes.
    :ivar tree: the :class:`~banyanshore.weights.tree.RelayTree`.
    """

    def __init__(self, registry, service):
        self._registry = registry
        self._service = service
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
        inputs = (origin_data_centre, self._registry.members.revision)
        if inputs == self._last_inputs:
            return
        self._last_inputs = inputs
        members = {
            row.instance: row
            for row in self._registry.members.rows()
            if row.role == GATEWAY_ROLE
            or (row.role == LOADER_ROLE and row.service == self._service)
        }
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
