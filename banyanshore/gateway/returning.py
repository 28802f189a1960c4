"""Find out when the targets of a service serve again, from what loaders report."""

import math

from banyanshore.membership.registry import TargetState
from banyanshore.routing.retry_after import (
    NONE_RETURNING,
    WEIGHTS_REASONS,
    Reason,
)
from banyanshore.routing.returning import Returning


class ReturningTargets:
    """The targets that a gateway knows, by when they serve.

    :param gateway: the :class:`~banyanshore.gateway.process.Gateway`.
    """

    def __init__(self, gateway):
        self._gateway = gateway

    def find(self, now, reason, requirements):
        """Return the :class:`~banyanshore.routing.returning.Returning` targets.

        Each counts from what its loader has reported, and from the age of the report.

        :param reason: the :class:`~banyanshore.routing.retry_after.Reason` of a
            refusal; there are none if weights can't be the cause.
        :param requirements: the
            :class:`~banyanshore.routing.board.TargetRequirements`.
        """
        desired = self._gateway.state.desired
        service = desired.service(requirements.service) or {}
        engine = service.get("engine")
        if reason not in WEIGHTS_REASONS or not engine:
            return NONE_RETURNING
        layers = engine.get("layers", 0)
        if reason is Reason.NO_WEIGHTS:
            # A target whose answer would begin after the end of its grace period
            # doesn't serve either.
            layers = math.inf
        returning = self._count(now, requirements, desired, layers)
        basis = "weights" if returning.is_expected else "usual"
        self._gateway.metrics.retry_times.labels(reason, basis).inc()
        return returning

    def _count(self, now, requirements, desired, layers):
        oldest = max(1, requirements.oldest_version_in(0.0))
        serving, ready_in = 0, []
        for row in self._rows(requirements, desired):
            load = self._gateway.board.load(row.address)
            report = load.report
            if report is None or report.model != row.model:
                ready_in.append(math.inf)
                continue
            is_whole = report.end_layer >= layers and report.model_version >= oldest
            if is_whole and not report.is_loading:
                serving += 1
            else:
                ready_in.append(_seconds_left(now, load))
        return Returning(serving, tuple(ready_in))

    def _rows(self, requirements, desired):
        settings = self._gateway.settings
        for row in self._gateway.registry.targets.rows():
            if row.service != requirements.service or row.state != TargetState.READY:
                continue
            region = settings.regions.get(row.data_centre, row.data_centre)
            is_in_region = all(
                not regions or region in regions for regions in requirements.regions
            )
            if is_in_region and desired.in_service(row.data_centre, row.id):
                yield row


def _seconds_left(now, load):
    """Return the seconds until a target is expected to serve, ``inf`` if unknown.

    A target whose report says that it serves what may no longer be used is one whose
    loader hasn't heard of the newer version.
    """
    expected = load.report.ready_in
    if not expected:
        return math.inf
    return max(0.0, load.reported_at + expected - now)
