"""What a loader does next with its target: decisions without input or output."""

import hashlib
from dataclasses import dataclass
from enum import Enum

# Parts of a service's targets that change first, and next; the rest follows at the end.
# With three tenths out at a time, the others have room for what they served.
FIRST_PART = 0.3
NEXT_PART = 0.6
# Seconds for which a target finishes what it runs before it can load: nearly the
# longest generation.
DRAIN_SECONDS = 2.0
# Seconds for the first targets to load and serve again.
LOAD_SECONDS = 0.4
# Longest time since the last chunk for which the rest is expected to come as before.
FLOWING_SECONDS = 0.5
# Longest time after its chunks are whole that a target waits for the others.
MAX_TURN_SECONDS = 1.6


class Action(Enum):
    """What to do next."""

    WAIT = "wait"
    LOAD = "load"


@dataclass(frozen=True)
class Situation:
    """What is known when the loader looks.

    :param report: the :class:`~banyanshore.weights.staged.EngineReport`, or ``None``
        if there is no target.
    :param layers: layers of the model.
    :param version: version that the target is to serve.
    :param is_whole: whether all its chunks are here, verified.
    :param load_at: time from which a target that serves another version loads.
    """

    report: object
    layers: int
    version: int
    is_whole: bool
    load_at: float


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
    if not is_empty and now < situation.load_at:
        return Action.WAIT
    return Action.LOAD


class Turn(Enum):
    """When a target changes, compared with the others of its service."""

    FIRST = "first"
    NEXT = "next"
    LAST = "last"


def find_turn(instance, instances, version):
    """Return the :class:`Turn` of a loader's target.

    :param instances: all loaders of the service.
    """
    ranked = sorted({*instances, instance}, key=lambda name: _score(name, version))
    position = ranked.index(instance)
    if position < int(FIRST_PART * len(ranked)):
        return Turn.FIRST
    if position < int(NEXT_PART * len(ranked)):
        return Turn.NEXT
    return Turn.LAST


def load_time(turn, completed_at, switch_at):
    """Return the time at which a target is to load.

    Load pattern: all targets of a service change their weights within seconds at full
    load, while each first finishes what it runs.

    :param completed_at: time at which its chunks were whole.
    :param switch_at: time from which older versions get no requests any more.
    """
    if turn is Turn.FIRST:
        return completed_at
    if turn is Turn.NEXT:
        return completed_at + LOAD_SECONDS
    return max(completed_at, min(switch_at, completed_at + MAX_TURN_SECONDS))


def may_drain(turn, progress, seconds, seconds_without_chunk):
    """Tell whether a target that changes first should get no more requests.

    Load pattern: the origin goes away with a version nearly whole; the targets that
    would change first have to serve on, as long as nothing comes.

    :param progress: part of its chunks that is here.
    :param seconds: time since the transfer began.
    :param seconds_without_chunk: time since the last chunk came.
    """
    if turn is not Turn.FIRST or not progress:
        return False
    if progress < 1 and seconds_without_chunk > FLOWING_SECONDS:
        return False
    return seconds * (1 - progress) / progress <= DRAIN_SECONDS


def _score(name, version):
    data = f"{name}\0{version}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()
