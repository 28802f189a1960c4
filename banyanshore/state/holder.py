"""The current desired state of an instance."""

import logging
import time

from banyanshore.state.views import DesiredState

logger = logging.getLogger(__name__)


class StateHolder:
    """Hold the current desired state of an instance; its version never decreases.

    ``on_change`` is a list of callables that are called with each new
    :class:`~banyanshore.state.DesiredState`.

    :param keep_previous: whether to keep the version before the current one in
        ``previous``.
    """

    def __init__(self, keep_previous=False):
        self._keep_previous = keep_previous
        self.desired = None
        self.previous = None
        self.changed_at = 0.0
        self.on_change = []

    @property
    def version(self):
        """Return the number of the current version, 0 before the first."""
        return self.desired.version if self.desired else 0

    def apply(self, published):
        """Make a version current if it is newer; return whether it was."""
        return self.apply_desired(DesiredState(published))

    def apply_delta(self, delta):
        """Apply a delta to the current version; return whether a version was set.

        A delta that doesn't apply to the current version is ignored: an instance that
        reports an older version is sent the complete state.
        """
        if self.desired is None:
            return False
        desired = self.desired.after(delta)
        if desired is not None:
            return self.apply_desired(desired)
        if delta.version > self.version:
            logger.info(
                "change does not apply",
                extra={"version": delta.version, "base_version": delta.base_version},
            )
        return False

    def apply_desired(self, desired):
        """Make a parsed version current if it is newer; return whether it was."""
        if self.desired is not None and desired.version <= self.desired.version:
            return False
        self.previous = self.desired if self._keep_previous else None
        self.desired = desired
        self.changed_at = time.monotonic()
        logger.info("version %d is in force", desired.version)
        for callback in self.on_change:
            callback(desired)
        return True
