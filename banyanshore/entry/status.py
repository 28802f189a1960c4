"""The status document that an entry serves to operators."""

import dataclasses


class StatusReporter:
    """Build the status document.

    :param get_node: callable that returns the local
        :class:`~banyanshore.consensus.node.ConsensusNode`, or ``None``.
    :param local_orders: the :class:`~banyanshore.entry.local_orders.LocalOrders`.
    """

    def __init__(
        self, settings, state, entries, targets, proxy, get_node, client, local_orders
    ):
        self._settings = settings
        self._state = state
        self._entries = entries
        self._targets = targets
        self._proxy = proxy
        self._get_node = get_node
        self._client = client
        self._local_orders = local_orders

    def report(self, now):
        """Return the status as values that can be encoded as JSON."""
        version = self._state.version
        node = self._get_node()
        return {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "state": self._state_row(now),
            "leader": self._client.leader,
            "log": dataclasses.asdict(node.status()) if node else None,
            "in_flight": self._proxy.in_flight,
            "waiting": self._proxy.waiting.length,
            "local_order": self._local_orders.number or None,
            "entries": [self._entry_row(now, peer) for peer in self._settings.entries],
            "data_centres": self._data_centre_rows(now),
            "targets": [self._target_row(now, row) for row in self._target_rows()],
            "behind": self._instances_behind(now, version),
        }

    def _state_row(self, now):
        held = now - self._state.changed_at if self._state.changed_at else 0.0
        return {"version": self._state.version, "held_seconds": round(held, 3)}

    def _entry_row(self, now, peer):
        row = self._entries.by_instance.get(peer.instance)
        return {
            "instance": peer.instance,
            "data_centre": peer.data_centre,
            "live": self._entries.is_live(now, peer.instance),
            "version": row.digest.state_version if row else None,
            "leaving": bool(row and row.digest.leaving),
            "heard_seconds": round(now - row.last_contact_at, 3) if row else None,
        }

    def _data_centre_rows(self, now):
        own = self._settings.data_centre
        rows = {own: self._capacity_rows(self._targets.capacity(now), 0.0, own)}
        for name, row in self._entries.by_data_centre.items():
            age = round(now - row.last_contact_at, 3)
            rows[name] = self._capacity_rows(row.digest.capacity, age, name)
        return rows

    def _capacity_rows(self, capacity, age, name):
        desired = self._state.desired
        return {
            "in_service": desired.in_service(name) if desired else None,
            "heard_seconds": age,
            "services": {row.service: dataclasses.asdict(row) for row in capacity},
        }

    def _target_rows(self):
        table = self._targets.by_instance
        return [table[name] for name in sorted(table)]

    def _target_row(self, now, row):
        report = row.report
        return {
            "instance": report.instance,
            "service": report.service,
            "status": str(report.status),
            "model_version": report.model_version,
            "ready_version": report.ready_version,
            "limit": report.limit,
            "in_flight": report.in_flight,
            "version": report.state_version,
            "heard_seconds": round(now - row.last_contact_at, 3),
        }

    def _instances_behind(self, now, version):
        names = set(self._entries.instances_behind(now, version))
        names.update(self._targets.agents_behind(now, version))
        for row in self._entries.by_instance.values():
            current = row.digest.state_version >= version
            if (
                current
                and now - row.last_contact_at <= self._settings.routing.target_expiry
            ):
                names.update(row.digest.agents_behind)
        # An entry that isn't live counts as behind, since its version is unknown.
        names.update(
            peer.instance
            for peer in self._settings.entries
            if not self._entries.is_live(now, peer.instance)
        )
        return sorted(names)
