"""What a loader does next with its target: decisions without input or output."""

import hashlib
from dataclasses import dataclass
from enum import Enum

# Groups that the targets of a service load in, one after the other, so that some serve
# while others finish their requests and load.
GROUPS = 2
# Seconds for a group to finish what it runs and to load.
GROUP_SECONDS = 1.2


class Action(Enum):
    """What to do next."""

    WAIT = "wait"
    STAGE = "stage"
    LOAD = "load"


@dataclass(frozen=True)
class Situation:
    """What is known when the loader looks.

    :param report: the :class:`~banyanshore.weights.staged.EngineReport`, or ``None``
        if there is no target.
    :param layers: layers of the model.
    :param version: version that the target is to serve.
    :param is_whole: whether all its chunks are here, verified.
    :param is_staged: whether they lie beside the target, verified a moment ago.
    :param may_load_at: time from which a target that serves another version loads.
    """

    report: object
    layers: int
    version: int
    is_whole: bool
    is_staged: bool
    may_load_at: float


def serves(report, version, layers):
    """Tell whether a target serves a version with all its layers."""
    return (
        report.model_version == version
        and report.first_layer == 0
        and report.end_layer >= layers
    )


def next_action(now, situation):
    """Return the :class:`Action` to take now."""
    report = situation.report
    if report is None or report.is_busy or not situation.is_whole:
        return Action.WAIT
    if report.model_version > situation.version:
        # The state here is behind that of the target.
        return Action.WAIT
    if serves(report, situation.version, situation.layers):
        return Action.WAIT
    is_empty = report.end_layer == 0
    if not is_empty and now < situation.may_load_at:
        return Action.WAIT
    return Action.LOAD if situation.is_staged else Action.STAGE


def turn_delay(instance, instances, version):
    """Return how many seconds a loader waits for others before its target loads.

    :param instances: all loaders of the service.
    """
    ranked = sorted({*instances, instance}, key=lambda name: _score(name, version))
    return ranked.index(instance) % GROUPS * GROUP_SECONDS


def _score(name, version):
    data = f"{name}\0{version}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()
