"""Choose the target or the other data centre that a call is offered to."""

from banyanshore.core.values import dataclass
from banyanshore.entry.neighbours import find_contact
from banyanshore.routing.budgets import ByteBudget
from banyanshore.routing.selection import SelectionCriteria
from banyanshore.routing.spill import SpareCapacity, SpillChooser


@dataclass(frozen=True)
class Destination:
    """A target of this data centre, or an entry of another one, to offer a call to.

    :param incarnation: incarnation of the target's agent, 0 for another data centre.
    :param data_centre: name of the other data centre, empty for a target.
    """

    instance: str
    address: str
    incarnation: int
    data_centre: str = ""


class DestinationChooser:
    """Choose the destinations of an entry's calls.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param state: the :class:`~banyanshore.state.holder.StateHolder`.
    :param entries: the :class:`~banyanshore.membership.entries.EntryTable`.
    :param targets: the :class:`~banyanshore.membership.targets.TargetTable`.
    :param selector: the :class:`~banyanshore.routing.selection.Selector`.
    """

    def __init__(
        self, settings, state, entries, targets, selector, links, local_orders, random
    ):
        self._settings = settings
        self._state = state
        self._entries = entries
        self._targets = targets
        self._selector = selector
        self._links = links
        self._local_orders = local_orders
        self._spill_chooser = SpillChooser(random)
        self._spill_budget = ByteBudget(settings.routing.spill_bytes_per_second)

    def has_serving_target(self, now, service):
        """Return whether a target that serves is known in any data centre."""
        if any(True for _ in self._targets.iter_serving(now, service)):
            return True
        return any(
            capacity.serving and capacity.service == service
            for row in self._entries.live_data_centres(now).values()
            for capacity in row.digest.capacity
        )

    def record_spilled_bytes(self, now, count):
        """Count bytes sent to or received from another data centre."""
        self._spill_budget.spend(now, count)

    def record_spilled_call(self, service):
        """Record that another data centre served a call."""
        self._spill_chooser.record_served(service)

    def choose(self, now, call, progress, exclusive, is_forwarded):
        """Return the :class:`Destination` to offer a call to, or ``None``.

        :param exclusive: whether the call must run alone on its target.
        :param is_forwarded: whether to choose only among targets of this data centre.
        """
        criteria = SelectionCriteria(
            call.service,
            call.prefix,
            frozenset(progress.refused_by | progress.failed_at),
            call.fingerprint.hex() if exclusive else "",
        )
        if self._is_in_service(self._settings.data_centre):
            report = self._selector.choose(now, criteria, self._accepts_calls)
            if report is not None:
                return Destination(report.instance, report.address, report.incarnation)
        if is_forwarded:
            return None
        return self._choose_data_centre(now, call, progress)

    def _is_in_service(self, data_centre):
        desired = self._state.desired
        if desired is None:
            return False
        is_own = data_centre == self._settings.data_centre
        if is_own and self._local_orders.is_out_of_service:
            return False
        return desired.in_service(data_centre)

    def _accepts_calls(self, report):
        link = self._links.by_address.get(report.address)
        if link is not None and link.is_failing:
            return False
        own = self._settings.data_centre
        return self._state.desired.in_service(own, report.instance)

    def _choose_data_centre(self, now, call, progress):
        candidates = self._list_spare_capacity(
            now, call.service, progress.excluded_data_centres
        )
        if not candidates or not self._may_spill(now, call.service):
            return None
        name = self._spill_chooser.choose(now, call.service, candidates)
        if name is None:
            return None
        peer = find_contact(self._entries, self._links, now, name)
        if peer is None:
            progress.excluded_data_centres.add(name)
            return None
        return Destination(peer.instance, peer.address, 0, name)

    def _list_spare_capacity(self, now, service, excluded):
        return [
            SpareCapacity(name, capacity.limit - capacity.in_flight)
            for name, row in self._entries.live_data_centres(now).items()
            if name not in excluded and self._is_in_service(name)
            for capacity in row.digest.capacity
            if capacity.service == service
        ]

    def _may_spill(self, now, service):
        # If no target here can serve, the budget doesn't apply: only other data centres
        # can answer the call.
        own = self._settings.data_centre
        serving = any(True for _ in self._targets.iter_serving(now, service))
        if not serving or not self._is_in_service(own):
            return True
        return self._spill_budget.has_room(now)
