"""Grace period in which targets with older weights are still used."""

import math
from dataclasses import dataclass
from types import MappingProxyType

# Seconds for which a process that has just started uses versions older than those in
# its first state. Other instances don't depend on it for as long after its start.
FIRST_STATE_SECONDS = 2.5


@dataclass(frozen=True)
class KnownVersion:
    """A version of a model that a process has learned of.

    :param age: seconds since it became known to the deployment, as far as this process
        knows.
    :param is_age_reported: whether another process reported the age.
    """

    model: str
    version: int
    age: float
    is_age_reported: bool


class VersionSwitch:
    """Track the versions of each model in rollouts, and when each became known.

    Times are seconds since boot, see :func:`~banyanshore.core.clock.boottime_now`: the
    grace period also passes while the machine is suspended.

    Load pattern: all targets of a model change their weights at full load. Targets with
    the older version are used until the grace period of the rollout has passed.

    :param seconds: grace period, from the time at which a version becomes known.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._versions_by_model = {}
        self._has_state = False

    def record(self, now, rollouts, ages=MappingProxyType({})):
        """Record the table of rollouts in force.

        A process that has just started can't know since when the versions in its first
        state have been in force. If it isn't given their ages, it shortens the grace
        period of older versions.

        :param ages: seconds since versions became known to other processes, by model
            and version.
        :return: list of a :class:`KnownVersion` for each version that is new here.
        """
        learned = []
        default_age = 0.0 if self._has_state else self._seconds - FIRST_STATE_SECONDS
        self._has_state = True
        for model, row in rollouts.items():
            version = row["version"]
            versions = self._versions_by_model.setdefault(model, [])
            if not versions or versions[-1][0] < version:
                key = model, version
                age = ages.get(key, default_age)
                versions.append((version, now - age))
                learned.append(KnownVersion(model, version, age, key in ages))
        return learned

    def ages(self, now):
        """Return the seconds since the latest versions became known.

        :return: ages by model and version.
        """
        return {
            (model, versions[-1][0]): now - versions[-1][1]
            for model, versions in self._versions_by_model.items()
        }

    def latest_version(self, model):
        """Return the latest version of a model, 0 if there is none."""
        versions = self._versions_by_model.get(model)
        return versions[-1][0] if versions else 0

    def oldest_allowed_version(self, now, model):
        """Return the oldest version that requests may still be sent to."""
        oldest = 0
        for version, known_since in self._versions_by_model.get(model, ()):
            if now - known_since >= self._seconds:
                oldest = version
        return oldest

    def known_since(self, model):
        """Return when the latest version became known, ``-inf`` if there is none."""
        versions = self._versions_by_model.get(model)
        return versions[-1][1] if versions else -math.inf
