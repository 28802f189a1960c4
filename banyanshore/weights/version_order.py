"""Decide which of two versions named in a row is carried and loaded first, without I/O.

Load pattern: a version is named while the one before it is still on its way, and the
origin goes away for some seconds. Targets may be used on a version for a grace period
after a newer one is known. If the older version is given up at once, nothing may be
served from the end of the grace period of the weights before it until the newer version
is whole; if it is finished first, it is served until the end of its own.

All members know the ages of the versions and the grace period, and expect the same time
for a copy, so they decide alike for the same chunks. Where chunks differ, or a member
knows less, nothing breaks: a sender sends what it has of the other version when it has
nothing of the preferred one.
"""

import math

from banyanshore.core.values import dataclass

# Expected time for one copy over the slowest link, as a fraction of the grace period.
COPY_SHARE = 0.5
# Seconds from the last chunk until a target serves the version: chunks are checked, the
# gateways are told, the load itself.
LOAD_SECONDS = 0.6
# Seconds of service that one more load of each target costs: it finishes its requests
# first, and answers share the link with the newer version. An older version that still
# leaves callers without service has to save as much.
TURN_SECONDS = 1.5
# The same for a version that is whole already.
LOADABLE_TURN_SECONDS = 0.5
# Seconds that an older version that goes first already may save less: members that
# change the order again and again finish neither version.
KEEP_SECONDS = 0.5
# Seconds by which the newer version has to be early for the older one to go first where
# callers would never be without service if it didn't: the expected times aren't exact.
SLACK_SECONDS = 0.9
# Shortest time in seconds for which an older version is worth a load at each target.
MIN_SERVING_SECONDS = 0.6


@dataclass(frozen=True)
class VersionState:
    """What a member knows of a version.

    :param known_since: time since boot at which the version became known.
    :param missing: fraction of its chunks that haven't arrived, 0 to 1.
    """

    version: int
    known_since: float
    missing: float


@dataclass(frozen=True)
class VersionPlan:
    """Order in which versions are carried.

    :param versions: numbers of the versions to carry, the preferred one first.
    :param gap_older_first: seconds for which nothing can be served if the older version
        is carried first, ``inf`` if it can't be whole in time.
    :param gap_newer_first: the same if the newer one is carried first.
    """

    versions: tuple
    gap_older_first: float = 0.0
    gap_newer_first: float = 0.0


def are_in_a_row(older_known_since, newer_known_since, switch_seconds):
    """Return whether a version was named while the one before could still be late."""
    return newer_known_since - older_known_since < switch_seconds


def plan_versions(now, older, newer, switch_seconds, copy_seconds=0.0, preferred=0):
    """Return the :class:`VersionPlan` of two versions.

    The older one goes first if callers are then never without service, since it is
    certain earlier, or for less long by more than the load costs. It is given up if it
    can't be served for :data:`MIN_SERVING_SECONDS`.

    :param now: time since boot.
    :param switch_seconds: grace period of the weights before a version.
    :param copy_seconds: seconds that a copy takes on the link, if measured; at least
        :data:`COPY_SHARE` of the grace period is expected.
    :param preferred: version that went first before, 0 for none.

    >>> older, newer = VersionState(2, 0.0, 0.3), VersionState(3, 2.0, 1.0)
    >>> plan_versions(2.5, older, newer, 9.0).versions
    (2, 3)
    >>> plan_versions(9.2, older, newer, 9.0).versions
    (3,)
    """
    copy_seconds = max(copy_seconds, COPY_SHARE * switch_seconds)
    # Times at which the weights before the older version, and the older version, may
    # no longer be used.
    before_ends = max(now, older.known_since + switch_seconds)
    older_ends = newer.known_since + switch_seconds
    older_ready = now + older.missing * copy_seconds + LOAD_SECONDS
    newer_ready = now + newer.missing * copy_seconds + LOAD_SECONDS
    gap_newer_first = max(0.0, newer_ready - before_ends)
    if older_ready > older_ends - MIN_SERVING_SECONDS:
        return VersionPlan((newer.version,), math.inf, gap_newer_first)
    late_newer = newer_ready + older.missing * copy_seconds
    gap_older_first = max(0.0, older_ready - before_ends) + max(
        0.0, late_newer - older_ends
    )
    is_kept = preferred == older.version
    slack = 0.0 if is_kept else SLACK_SECONDS
    cost = TURN_SECONDS if older.missing else LOADABLE_TURN_SECONDS
    cost -= KEEP_SECONDS * is_kept
    is_safe = not gap_older_first and late_newer + slack <= older_ends
    is_better = gap_older_first + cost <= gap_newer_first
    versions = (newer.version, older.version)
    if is_safe or is_better:
        versions = (older.version, newer.version)
    return VersionPlan(versions, gap_older_first, gap_newer_first)


def version_to_load(
    now,
    older,
    newer,
    switch_seconds,
    served_version,
    preferred=0,
    end_seconds=0.0,
):
    """Return the number of the version that a target should load next.

    Each load costs the target the time to finish its requests, so an older version is
    passed over if the newer one will be whole before it is needed, or if its requests
    end too late for it to be served.

    :param served_version: version that the target holds, 0 for none.
    :param preferred: see :func:`plan_versions`.
    :param end_seconds: seconds in which the requests of the target are expected to end.
    """
    if served_version >= older.version or not newer.missing:
        return newer.version
    plan = plan_versions(now, older, newer, switch_seconds, preferred=preferred)
    if plan.versions[0] != older.version:
        return newer.version
    arrival_seconds = older.missing * COPY_SHARE * switch_seconds
    ready = now + max(arrival_seconds, end_seconds) + LOAD_SECONDS
    if ready > newer.known_since + switch_seconds - MIN_SERVING_SECONDS:
        return newer.version
    if older.missing:
        return older.version
    is_needed = served_version == 0 or plan.gap_newer_first > 0
    return older.version if is_needed else newer.version
