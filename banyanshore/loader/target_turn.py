"""The turn of one target from a version to the next one, as its loader plans it."""

import logging
import math
import time
from dataclasses import replace

from banyanshore.core.clock import boottime_now
from banyanshore.loader.turning import TurnState, plan_turn, should_drain, turn_share
from banyanshore.weights.ready_time import DRAIN_SECONDS

logger = logging.getLogger(__name__)

# Longest time in seconds from the beginning of a turn until the chunks are complete;
# a target whose link turns out to be slower goes on serving, and begins anew later.
MAX_DRAIN_SECONDS = 2 * DRAIN_SECONDS


def _seconds_until_whole(desired_version, transfer):
    """Return the seconds until the chunks are expected to be complete.

    Chunks that come fast between two pauses take as long on average as before: a target
    that has begun to end its requests serves nobody while it waits.
    """
    progress = transfer.progress
    if progress in (0.0, 1.0):
        return 0.0 if progress else math.inf
    average = (boottime_now() - desired_version.known_since) / progress
    return (1.0 - progress) * max(transfer.copy_seconds(), average)


class TargetTurn:
    """Plan the turn of the target to the version that it should load next.

    :param loader: the :class:`~banyanshore.loader.process.Loader`.
    :ivar is_draining: whether the target gets no more requests, since it turns.
    """

    def __init__(self, loader):
        self._loader = loader
        self.is_draining = False
        # Version that the target has begun to turn to, and the time.
        self._begun_version = 0
        self._begun_at = 0.0

    def plan(self, desired_version, transfer):
        """Return the monotonic time from which the target turns.

        Once it has begun, it goes on although fewer requests run then, unless chunks
        stay away or come much later than expected.
        """
        now = time.monotonic()
        state = self._make_state(now, desired_version, transfer)
        turn = plan_turn(state)
        has_begun = self._begun_version == desired_version.version and (
            state.whole_at - self._begun_at <= MAX_DRAIN_SECONDS
        )
        if has_begun:
            turn = replace(turn, begins_at=self._begun_at)
        self.is_draining = self._serves_older(desired_version) and should_drain(
            now, turn, state, transfer.seconds_without_chunk(now)
        )
        if not self.is_draining:
            self._begun_version = 0
        elif not has_begun:
            self._begun_version, self._begun_at = desired_version.version, now
            self._log_begun(now, desired_version, turn, state)
        return turn.begins_at

    def _make_state(self, now, desired_version, transfer):
        report = self._loader.target.report
        names = self._loader.rosters.loaders_by_data_centre()
        whole_at = transfer.completed_at
        if not transfer.completed.is_set():
            whole_at = now + _seconds_until_whole(desired_version, transfer)
        return TurnState(
            turn_share(self._loader.settings.instance, names, desired_version.version),
            max(1, sum(map(len, names.values()))),
            whole_at,
            self._load_by(now, desired_version),
            report.active if report is not None else 0,
            self._ends_at(now, desired_version),
        )

    def _ends_at(self, now, desired_version):
        """Return the monotonic time from which the desired version isn't used."""
        newer_known_since = self._loader.versions.newer_known_since(
            desired_version.model, desired_version.version
        )
        seconds_known = boottime_now() - newer_known_since
        return now + self._loader.settings.version_switch_seconds - seconds_known

    def _serves_older(self, desired_version):
        report = self._loader.target.report
        if report is None:
            return False
        return 0 < report.model_version < desired_version.version

    def _load_by(self, now, desired_version):
        """Return the monotonic time from which the target's version isn't used.

        The version after the one that it holds may be older than the desired one.
        """
        report = self._loader.target.report
        known_since = desired_version.known_since
        if report is not None:
            newer_known_since = self._loader.versions.newer_known_since(
                report.model, report.model_version
            )
            known_since = min(known_since, newer_known_since)
        seconds_known = boottime_now() - known_since
        # The grace period also passes while the machine is suspended.
        return now + self._loader.settings.version_switch_seconds - seconds_known

    def _log_begun(self, now, desired_version, turn, state):
        cause = "planned" if state.whole_at <= state.load_by else "late"
        self._loader.metrics.turns.labels(cause).inc()
        logger.info(
            "target turns",
            extra={
                "model_version": desired_version.version,
                "cause": cause,
                "group": turn.group + 1,
                "groups": turn.groups,
                "active": state.active,
                "whole_in": round(state.whole_at - now, 2),
                "load_by_in": round(state.load_by - now, 2),
            },
        )
