"""Load permits, which keep enough targets serving while others load a version.

The agent of a serving target requests a permit before the target stops serving in order
to load another version. Permits are part of the replicated state: they survive a change
of the leader, and none is granted without a quorum, so that a partitioned data centre
keeps serving its current versions.

Each permit also records the load order that it allows. An order is open until its
outcome is reported, even after the permit has expired: an agent that replaces a failed
one learns from the open order that the target may still change its version.
"""

import enum
from dataclasses import replace

from banyanshore.state.views import Fence
from banyanshore.transport.codec import message

# Seconds after the expiry of a permit for which its order is kept as open.
OPEN_ORDER_RETENTION = 3600.0


class LoadPermitStatus(enum.StrEnum):
    """Status that an agent sends with a request for a load permit.

    ``WANTED`` requests a permit. ``DONE``, ``FAILED`` and ``UNKNOWN`` release it, but
    ``UNKNOWN`` leaves the order open. ``ASKED`` only queries the open order.
    """

    WANTED = "wanted"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
    ASKED = "asked"


@message(52)
class LoadPermitRequest:
    """Request or release a load permit, or query the open order.

    :param serving: whether the target currently serves another version.
    :param seconds: time after which a permit that is not released expires.
    :param target: incarnation of the target.
    """

    model: str
    version: str
    instance: str
    data_centre: str
    service: str
    status: str
    serving: bool
    seconds: float
    target: str = ""


@message(53)
class LoadPermitCommand:
    """A :class:`LoadPermitRequest` with the limits computed by an entry.

    :param fleet_limit: largest number of simultaneous permits in the deployment.
    :param data_centre_limit: largest number of simultaneous permits in the data centre.
    """

    request: LoadPermitRequest
    fleet_limit: int
    data_centre_limit: int


@message(55)
class LoadPermitRow:
    """A load permit and the load order that it allows.

    :param ends_at: log time at which the permit expires, in seconds.
    :param takes_capacity: whether the permit counts towards the limits; if not, the row
        only records the open order.
    :param target: incarnation of the target that the order is for.
    """

    model: str
    version: str
    instance: str
    data_centre: str
    ends_at: float
    takes_capacity: bool = True
    target: str = ""


@message(54)
class LoadPermitReply:
    """Answer a :class:`LoadPermitRequest`.

    :param detail: why the permit was refused.
    :param fence: fencing number of the permit.
    :param open_order: the :class:`LoadPermitRow` of the instance, if it was queried and
        an order is open.
    """

    granted: bool
    detail: str = ""
    fence: Fence = Fence()
    open_order: LoadPermitRow | None = None


@message(56)
class FailureRow:
    """Instances whose targets failed to load a version."""

    model: str
    version: str
    instances: tuple


class LoadPermitTable:
    """Load permits by instance and failed instances by version."""

    def __init__(self):
        self._permit_by_instance = {}
        self._failed_by_version = {}

    def apply(self, command, now, max_failures, paused):
        """Grant, refuse or release a permit.

        :param now: log time in seconds, which never decreases.
        :param max_failures: number of failed targets at which a rollout stops.
        :return: why the permit was refused; empty if it was not.
        """
        self._expire(now)
        request = command.request
        key = (request.model, request.version)
        if request.status != LoadPermitStatus.WANTED:
            self._end_permit(request)
            self._count_failure(request, key)
            return ""
        if paused:
            return "the rollout is paused"
        if len(self._failed_by_version.get(key, ())) >= max_failures:
            return f"version {request.version} failed on {max_failures} targets"
        if self._holds_permit(request.instance) or not request.serving:
            self._grant(request, now)
            return ""
        return self._grant_within_limits(command, now)

    def release(self, request):
        """Release the permit of an instance, for a version that is not intended."""
        self._end_permit(request)

    def open_order(self, instance):
        """Return the :class:`LoadPermitRow` of an open order, or ``None``."""
        return self._permit_by_instance.get(instance)

    def failures(self, model, version):
        """Return the instances that failed to load a version."""
        return tuple(sorted(self._failed_by_version.get((model, version), ())))

    def to_rows(self):
        """Return the permits and failures as rows, in a deterministic order."""
        permits = tuple(
            self._permit_by_instance[name] for name in sorted(self._permit_by_instance)
        )
        failures = tuple(
            FailureRow(model, version, tuple(sorted(names)))
            for (model, version), names in sorted(self._failed_by_version.items())
        )
        return permits, failures

    def load_rows(self, rows):
        """Replace all rows by those of :meth:`to_rows`."""
        permits, failures = rows
        self._permit_by_instance = {row.instance: row for row in permits}
        self._failed_by_version = {
            (row.model, row.version): set(row.instances) for row in failures
        }

    def retain_versions(self, intended):
        """Delete the failures of versions that are no longer intended.

        :param intended: set of the intended (model, version) pairs.
        """
        for key in list(self._failed_by_version):
            if key not in intended:
                del self._failed_by_version[key]

    def _end_permit(self, request):
        if request.status == LoadPermitStatus.UNKNOWN:
            self._keep_order_only(request.instance)
        else:
            self._permit_by_instance.pop(request.instance, None)

    def _count_failure(self, request, key):
        failed = self._failed_by_version.setdefault(key, set())
        if request.status == LoadPermitStatus.DONE:
            failed.discard(request.instance)
        else:
            failed.add(request.instance)
        if not failed:
            del self._failed_by_version[key]

    def _holds_permit(self, instance):
        row = self._permit_by_instance.get(instance)
        return row is not None and row.takes_capacity

    def _grant_within_limits(self, command, now):
        request = command.request
        active = [
            row
            for row in self._permit_by_instance.values()
            if row.model == request.model and row.takes_capacity
        ]
        here = [row for row in active if row.data_centre == request.data_centre]
        if len(active) >= command.fleet_limit:
            return f"{len(active)} targets are loading, the limit of the fleet"
        if len(here) >= command.data_centre_limit:
            return f"{len(here)} targets are loading, the limit of the data centre"
        self._grant(request, now)
        return ""

    def _grant(self, request, now):
        # The load of a target that doesn't serve costs no capacity, so the row only
        # records its order, unless it already holds a permit from when it served.
        takes_capacity = request.serving or self._holds_permit(request.instance)
        self._permit_by_instance[request.instance] = LoadPermitRow(
            request.model,
            request.version,
            request.instance,
            request.data_centre,
            now + request.seconds,
            takes_capacity,
            request.target,
        )

    def _keep_order_only(self, instance):
        row = self._permit_by_instance.get(instance)
        if row is not None:
            self._permit_by_instance[instance] = replace(row, takes_capacity=False)

    def _expire(self, now):
        for instance, row in list(self._permit_by_instance.items()):
            if row.ends_at + OPEN_ORDER_RETENTION <= now:
                del self._permit_by_instance[instance]
            elif row.ends_at <= now:
                self._keep_order_only(instance)
