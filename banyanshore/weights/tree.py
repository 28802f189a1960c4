"""Who passes the chunks of a version on to whom: deterministic, without I/O.

Load pattern: a new version goes to all targets at once, while their instances' links
carry one copy in most of the time that there is, and requests at the same time. So a
few gateways in each data centre, whose links are wider, pass chunks on: the first in
the origin's data centre draws each chunk once, the first in each other data centre
takes it across once, and every loader has it from one of its own data centre. Loaders
send nothing.
"""

import hashlib
import math
from dataclasses import dataclass

# Loaders that one gateway passes chunks on to. At the narrowest gateways known, four
# loaders that take chunks as fast as they can leave two thirds of the link to requests.
LOADERS_PER_RELAY = 4


@dataclass(frozen=True)
class TreeMember:
    """An instance that may pass chunks on, or that only takes them.

    :param is_gateway: whether it may pass chunks on.
    """

    instance: str
    data_centre: str
    region: str
    is_gateway: bool


class RelayTree:
    """The tree that follows from one set of members.

    :param members: the :class:`TreeMember` rows that live.
    :param home: data centre of the origin, empty if it isn't known.
    """

    def __init__(self, members, home):
        self.relays_by_data_centre = {}
        self._parent_by_instance = {}
        self._children_by_instance = {}
        by_data_centre = {}
        for member in members:
            by_data_centre.setdefault(member.data_centre, []).append(member)
        region_by_data_centre = {
            name: rows[0].region or name for name, rows in by_data_centre.items()
        }
        for name, rows in by_data_centre.items():
            self._choose_relays(name, rows)
        self._home = self._choose_home(home)
        for name, rows in by_data_centre.items():
            self._link_relays(name, region_by_data_centre)
            self._link_loaders(name, rows)

    @property
    def root(self):
        """Return the instance that draws from the origin, empty without any."""
        return self.relays_by_data_centre[self._home][0] if self._home else ""

    def parent(self, instance):
        """Return the instance that passes chunks on to one, empty for none."""
        return self._parent_by_instance.get(instance, "")

    def children(self, instance):
        """Return the instances that one passes chunks on to."""
        return self._children_by_instance.get(instance, ())

    def is_relay(self, instance):
        """Tell whether an instance passes chunks on."""
        return any(instance in names for names in self.relays_by_data_centre.values())

    def _choose_relays(self, data_centre, rows):
        gateways = sorted(
            (row.instance for row in rows if row.is_gateway),
            key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest(),
        )
        loaders = sum(not row.is_gateway for row in rows)
        count = math.ceil(loaders / LOADERS_PER_RELAY)
        if gateways and count:
            self.relays_by_data_centre[data_centre] = gateways[:count]

    def _choose_home(self, home):
        names = sorted(self.relays_by_data_centre)
        if home in self.relays_by_data_centre:
            return home
        return names[0] if names else ""

    def _link_relays(self, data_centre, region_by_data_centre):
        relays = self.relays_by_data_centre.get(data_centre, ())
        for position, name in enumerate(relays):
            if position:
                self._link(relays[position - 1], name)
            elif data_centre != self._home:
                upstream = self._upstream(data_centre, region_by_data_centre)
                self._link(self.relays_by_data_centre[upstream][0], name)

    def _upstream(self, data_centre, region_by_data_centre):
        """Return the data centre that another one takes chunks from."""
        region = region_by_data_centre[data_centre]
        if region == region_by_data_centre[self._home]:
            return self._home
        first = min(
            name
            for name in self.relays_by_data_centre
            if region_by_data_centre[name] == region
        )
        return self._home if first == data_centre else first

    def _link_loaders(self, data_centre, rows):
        relays = self.relays_by_data_centre.get(data_centre)
        if relays is None and self._home:
            relays = self.relays_by_data_centre[self._home]
        if not relays:
            return
        loaders = sorted(row.instance for row in rows if not row.is_gateway)
        for position, name in enumerate(loaders):
            self._link(relays[position % len(relays)], name)

    def _link(self, parent, child):
        self._parent_by_instance[child] = parent
        siblings = self._children_by_instance.get(parent, ())
        self._children_by_instance[parent] = (*siblings, child)
