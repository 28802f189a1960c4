"""The members of the trees of one service, as its transfers want them."""

from banyanshore.membership.feed import GATEWAY_ROLE, LOADER_ROLE
from banyanshore.membership.messages import Roster, RosterRow
from banyanshore.weights.tree import RelayTree, TreeMember


class RelayRosters:
    """The loaders of one service and the gateways that pass chunks on to them.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param service: service whose loaders take the chunks.
    """

    def __init__(self, registry, service):
        self._registry = registry
        self._service = service
        self._rows_by_instance = {}
        self.by_data_centre = {}
        self.digest = 0
        self._refreshed_for = None
        self.home = ""
        self.tree = RelayTree((), "")

    def refresh(self, home):
        """Take the rows that are known now.

        :param home: data centre of the origin, empty if it isn't known.
        """
        cause = (home, self._registry.members.revision)
        if cause == self._refreshed_for:
            return
        self._refreshed_for = cause
        members = {
            row.instance: row
            for row in self._registry.members.rows()
            if row.role == GATEWAY_ROLE
            or (row.role == LOADER_ROLE and row.service == self._service)
        }
        digest = hash((home, frozenset(row.content for row in members.values())))
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
            home,
        )
        self._rows_by_instance = {
            name: row
            for name, row in members.items()
            if row.role == LOADER_ROLE or self.tree.is_relay(name)
        }
        self.by_data_centre = self._build_rosters()

    def data_centre_of(self, instance):
        """Return the data centre of a member, empty if it isn't known."""
        row = self._rows_by_instance.get(instance)
        return row.data_centre if row else ""

    def loaders(self):
        """Return the names of all loaders."""
        return {
            name
            for name, row in self._rows_by_instance.items()
            if row.role == LOADER_ROLE
        }

    def _build_rosters(self):
        rows_by_data_centre = {}
        for row in self._rows_by_instance.values():
            rows = rows_by_data_centre.setdefault(row.data_centre, [])
            rows.append(RosterRow(row.instance, row.region, self._service, row.address))
        return {
            name: Roster(name, tuple(sorted(rows, key=lambda row: row.instance)), 0)
            for name, rows in rows_by_data_centre.items()
        }
