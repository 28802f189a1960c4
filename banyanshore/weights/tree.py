"""Build the tree along which chunks are pushed: deterministic, without I/O.

Load pattern: a new version goes to all targets at the same time, over links that need
most of the available time for one copy, and that carry requests too. So a few gateways
in each data centre, which have faster links, relay the chunks. The first relay in the
origin's data centre fetches each chunk from the origin once, the first relay in each
other data centre receives it from another data centre once, and every loader receives
it from a relay in its own data centre. Loaders send nothing. The first relays of other
regions exchange shares of the chunks, see :mod:`~banyanshore.weights.exchange`.
"""

import hashlib
import math

from banyanshore.core.values import dataclass
from banyanshore.weights.exchange import WHOLE_SHARE

# Loaders per relay. A relay receives one copy and sends one to each loader and to the
# next relay. With two loaders, that takes a gateway link of 20 Mbit/s less time than a
# loader's link of 3.8 Mbit/s needs for its one copy, and leaves a part to requests.
LOADERS_PER_RELAY = 2


@dataclass(frozen=True)
class TreeMember:
    """Instance that takes part in a relay tree.

    :param is_gateway: whether it may relay chunks; loaders only receive them.
    """

    instance: str
    data_centre: str
    region: str
    is_gateway: bool


class RelayTree:
    """Compute the relay tree of a set of members.

    :param members: the live :class:`TreeMember` objects.
    :param origin_data_centre: data centre of the origin, empty if unknown.
    """

    def __init__(self, members, origin_data_centre):
        self.relays_by_data_centre = {}
        self._parent_by_instance = {}
        self._children_by_instance = {}
        self._origin_rank_by_instance = {}
        by_data_centre = {}
        for member in members:
            by_data_centre.setdefault(member.data_centre, []).append(member)
        region_by_data_centre = {
            name: rows[0].region or name for name, rows in by_data_centre.items()
        }
        self._gateways_by_data_centre = {
            name: _rank_gateways(rows) for name, rows in by_data_centre.items()
        }
        loaders_by_data_centre = {
            name: sum(not row.is_gateway for row in rows)
            for name, rows in by_data_centre.items()
        }
        for name, loaders in loaders_by_data_centre.items():
            self._choose_relays(name, math.ceil(loaders / LOADERS_PER_RELAY))
        self._root_data_centre = self._choose_root_data_centre(origin_data_centre)
        if self._root_data_centre:
            # The root has no loaders, so one more relay is needed.
            name = self._root_data_centre
            self._choose_relays(name, len(self.relays_by_data_centre[name]) + 1)
        for name, rows in by_data_centre.items():
            self._link_relays(name, region_by_data_centre)
            self._link_loaders(name, rows)
        self._partners = self._find_partners(region_by_data_centre)

    @property
    def root(self):
        """Return the instance that fetches from the origin, empty if there is none."""
        return (
            self.relays_by_data_centre[self._root_data_centre][0]
            if self._root_data_centre
            else ""
        )

    def parent(self, instance):
        """Return the instance that pushes chunks to another one, empty if none does."""
        return self._parent_by_instance.get(instance, "")

    def children(self, instance):
        """Return the instances to which an instance pushes chunks."""
        return self._children_by_instance.get(instance, ())

    def partners(self, instance):
        """Return the relays with which one exchanges shares of the chunks."""
        if instance not in self._partners:
            return ()
        return tuple(name for name in self._partners if name != instance)

    def push_share(self, sender, receiver):
        """Return the share of the chunks that a member pushes to another one at once.

        :return: position of the share, and the number of shares.
        """
        if receiver not in self._partners:
            return WHOLE_SHARE
        owner = sender if sender in self._partners else receiver
        return self._partners.index(owner), len(self._partners)

    def origin_rank(self, instance):
        """Return the position in which a member of a data centre asks the origin.

        The relays come first, in the order in which they push to each other.
        """
        return self._origin_rank_by_instance.get(instance, 0)

    def is_relay(self, instance):
        """Return whether an instance relays chunks."""
        return any(instance in names for names in self.relays_by_data_centre.values())

    def _choose_relays(self, data_centre, count):
        gateways = self._gateways_by_data_centre[data_centre]
        if gateways and count:
            self.relays_by_data_centre[data_centre] = gateways[:count]

    def _choose_root_data_centre(self, origin_data_centre):
        names = sorted(self.relays_by_data_centre)
        if origin_data_centre in self.relays_by_data_centre:
            return origin_data_centre
        return names[0] if names else ""

    def _link_relays(self, data_centre, region_by_data_centre):
        relays = self.relays_by_data_centre.get(data_centre, ())
        for position, name in enumerate(relays):
            if position:
                self._link(relays[position - 1], name)
            elif data_centre != self._root_data_centre:
                upstream = self._upstream(data_centre, region_by_data_centre)
                self._link(self.relays_by_data_centre[upstream][0], name)

    def _find_partners(self, region_by_data_centre):
        """Return the first relays of all regions but the root's, in an order for all.

        Links within the root's region cost less than those from another one.
        """
        if not self._root_data_centre:
            return ()
        root_region = region_by_data_centre[self._root_data_centre]
        firsts = [
            relays[0]
            for name, relays in sorted(self.relays_by_data_centre.items())
            if region_by_data_centre[name] != root_region
            and self.parent(relays[0]) == self.root
        ]
        return tuple(firsts) if len(firsts) > 1 else ()

    def _upstream(self, data_centre, region_by_data_centre):
        """Return the data centre from which another one receives chunks."""
        region = region_by_data_centre[data_centre]
        if region == region_by_data_centre[self._root_data_centre]:
            return self._root_data_centre
        first = min(
            name
            for name in self.relays_by_data_centre
            if region_by_data_centre[name] == region
        )
        return self._root_data_centre if first == data_centre else first

    def _link_loaders(self, data_centre, rows):
        loaders = sorted(row.instance for row in rows if not row.is_gateway)
        relays = self.relays_by_data_centre.get(data_centre, ())
        self._origin_rank_by_instance.update(
            (name, rank) for rank, name in enumerate((*relays, *loaders))
        )
        if not relays and self._root_data_centre:
            relays = self.relays_by_data_centre[self._root_data_centre]
        if not relays:
            return
        if relays[0] == self.root and len(relays) > 1:
            relays = relays[1:]
        for position, name in enumerate(loaders):
            self._link(relays[position % len(relays)], name)

    def _link(self, parent, child):
        self._parent_by_instance[child] = parent
        siblings = self._children_by_instance.get(parent, ())
        self._children_by_instance[parent] = (*siblings, child)


def _rank_gateways(rows):
    """Return the names of the gateways among members, in the order of preference."""
    return sorted(
        (row.instance for row in rows if row.is_gateway),
        key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest(),
    )
