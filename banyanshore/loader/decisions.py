"""Decide when a target drains and loads a version, without I/O."""

import hashlib
from enum import Enum
from functools import lru_cache

from banyanshore.core.values import dataclass

# Cumulative shares of a service's targets that load in the first and in the second
# wave; all others load in the last one. With three tenths of the targets out at a time,
# the others have the capacity for their requests.
FIRST_WAVE_SHARE = 0.3
SECOND_WAVE_SHARE = 0.6
# Seconds for a target to finish its requests before it can load: nearly the longest
# generation.
DRAIN_SECONDS = 2.0
# Seconds for the targets of the first wave to load and serve again.
LOAD_SECONDS = 0.4
# Seconds without a new chunk after which a transfer isn't expected to go on as before.
MAX_CHUNK_GAP_SECONDS = 0.5
# Longest time that a target with complete chunks waits for the other waves, in seconds.
MAX_WAVE_DELAY_SECONDS = 1.6


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


class Wave(Enum):
    """Part of a service's targets that load a version at the same time."""

    FIRST = "first"
    SECOND = "next"
    LAST = "last"


def find_wave(instance, instances, version):
    """Return the :class:`Wave` in which a loader's target loads a version.

    :param instance: name of the loader.
    :param instances: names of all loaders of the service.
    """
    ranked = sorted({*instances, instance}, key=lambda name: _score(name, version))
    position = ranked.index(instance)
    if position < int(FIRST_WAVE_SHARE * len(ranked)):
        return Wave.FIRST
    if position < int(SECOND_WAVE_SHARE * len(ranked)):
        return Wave.SECOND
    return Wave.LAST


def load_time(wave, completed_at, switch_at):
    """Return the time from which a target should load.

    Load pattern: all targets of a service change their weights within seconds at full
    load, and each of them finishes its requests first.

    :param completed_at: time at which the loader had all chunks.
    :param switch_at: time from which older versions get no requests.
    """
    if wave is Wave.FIRST:
        return completed_at
    if wave is Wave.SECOND:
        return completed_at + LOAD_SECONDS
    return max(completed_at, min(switch_at, completed_at + MAX_WAVE_DELAY_SECONDS))


def should_drain(wave, progress, seconds, seconds_without_chunk):
    """Return whether a target should get no more requests, since it loads soon.

    A target of the first wave drains once the transfer is expected to be complete
    within :data:`DRAIN_SECONDS`.

    Load pattern: the origin becomes unavailable when a version is nearly complete. The
    targets of the first wave have to keep serving while no chunks arrive.

    :param progress: fraction of the chunks that the loader has.
    :param seconds: seconds since the start of the transfer.
    :param seconds_without_chunk: seconds since the last new chunk.
    """
    if wave is not Wave.FIRST or not progress:
        return False
    if progress < 1 and seconds_without_chunk > MAX_CHUNK_GAP_SECONDS:
        return False
    return seconds * (1 - progress) / progress <= DRAIN_SECONDS


# A loader asks for its wave at each check, and the loaders rarely change.
@lru_cache(maxsize=10_000)
def _score(name, version):
    data = f"{name}\0{version}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()
