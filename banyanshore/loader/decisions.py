"""Decide when a target loads a version, without I/O.

When it turns is decided in :mod:`~banyanshore.loader.turning`.
"""

from enum import Enum

from banyanshore.core.values import dataclass

# Seconds for which staged chunks count as verified. An engine may use a chunk that
# became corrupt up to 3 s before; the order takes a part of that.
MAX_CHECK_AGE_SECONDS = 2.5


@dataclass(frozen=True)
class StagedCheck:
    """A check of the chunks staged at the target.

    :param began_at: boot time before the first chunk was read back.
    :param restaged: number of chunks that had to be staged again.
    """

    began_at: float
    restaged: int

    def is_valid(self, now):
        """Return whether a load order may still rely on the check.

        Load pattern: a machine is frozen or suspended between check and order, and
        staged chunks become corrupt meanwhile.

        :param now: boot time.

        >>> check = StagedCheck(10.0, 0)
        >>> check.is_valid(10.0 + MAX_CHECK_AGE_SECONDS), check.is_valid(14.0)
        (True, False)
        """
        return now - self.began_at <= MAX_CHECK_AGE_SECONDS


class Action(Enum):
    """Next action of a loader."""

    WAIT = "wait"
    # Load all layers.
    LOAD = "load"
    # Load only the first layer, which unloads the older version.
    UNLOAD = "unload"


@dataclass(frozen=True)
class LoaderState:
    """Inputs of :func:`next_action`.

    :param report: the :class:`~banyanshore.weights.staged.EngineReport`, or ``None``
        if the target doesn't respond.
    :param layers: number of layers of the model.
    :param version: version that the target should serve.
    :param is_complete: whether the loader has verified all chunks of the version.
    :param load_at: time from which a target that serves another version loads.
    :param has_first_layer: whether the loader has the chunks of the first layer.
    :param is_outdated: whether requests to the target's version should have arrived.
    """

    report: object
    layers: int
    version: int
    is_complete: bool
    load_at: float
    has_first_layer: bool = False
    is_outdated: bool = False


def serves(report, version, layers):
    """Return whether a target serves all layers of a version."""
    return (
        report.model_version == version
        and report.first_layer == 0
        and report.end_layer >= layers
    )


def next_action(now, state):
    """Return the :class:`Action` to take now."""
    report = state.report
    if report is None or report.is_busy:
        return Action.WAIT
    if not state.is_complete:
        return Action.UNLOAD if _must_unload(state) else Action.WAIT
    if report.model_version > state.version:
        # The loader's desired state is older than the version of the target.
        return Action.WAIT
    if serves(report, state.version, state.layers):
        return Action.WAIT
    if now < state.load_at and _may_run_requests(state):
        return Action.WAIT
    return Action.LOAD


def _may_run_requests(state):
    """Return whether requests may still be sent to the version that a target holds."""
    report = state.report
    return report.end_layer >= max(1, state.layers) and not state.is_outdated


def _must_unload(state):
    """Return whether a target should unload its version before the next is complete.

    Load pattern: a link is congested, so that the new weights are late, and requests
    that were sent while the older version was allowed arrive when it no longer is. Only
    the target can still reject them, and it does once it doesn't hold all layers.
    """
    report = state.report
    is_older = report.model_version < state.version
    holds_all = serves(report, report.model_version, state.layers)
    return is_older and holds_all and state.is_outdated and state.has_first_layer
