"""Grace period in which targets with older weights are still used."""

import math

from banyanshore.core.values import dataclass

# Seconds for which a process that has just started uses versions older than those in
# its first state. Other instances don't depend on it for as long after its start.
FIRST_STATE_SECONDS = 2.5
# Assumed age in seconds from which a version is reported like one whose age is known:
# longer than any grace period, so that a larger age would make no difference.
SETTLED_SECONDS = 600.0
# Number of versions of a model whose ages are kept.
KEPT_VERSIONS = 8


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


@dataclass(frozen=True)
class CorrectedAge:
    """An age for which another process reported a larger one.

    :param age: reported age in seconds.
    :param earlier_by: seconds by which the version became known earlier.
    """

    model: str
    version: int
    age: float
    earlier_by: float


class VersionSwitch:
    """Track the versions of each model in rollouts, and when each became known.

    Times are seconds since boot, see :func:`~banyanshore.core.clock.boottime_now`: the
    grace period also passes while the machine is suspended.

    Load pattern: all targets of a model change their weights at full load. Targets with
    the older version are used until the grace period of the rollout has passed.

    Load pattern: processes start, or are out of touch, while a version is named. The
    time at which a version became known is only ever moved earlier.

    :param seconds: grace period, from the time at which a version becomes known.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._latest_by_model = {}
        # When each version became known, by model and by version.
        self._times_by_model = {}
        # Models and versions whose age is only assumed.
        self._assumed = set()
        self._has_state = False

    def record(self, now, rollouts, unconfirmed_seconds=0.0):
        """Record the table of rollouts in force.

        A process can't know since when the versions in its first state have been in
        force, or those that were named while it was out of touch. If it isn't given
        their ages, it shortens the grace period of older versions.

        :param unconfirmed_seconds: seconds since the state that was held before was
            last known to be current.
        :return: list of a :class:`KnownVersion` for each version that is new here.
        """
        learned = []
        default_age = self._default_age(unconfirmed_seconds)
        is_assumed = not self._has_state or unconfirmed_seconds > 0
        self._has_state = True
        for model, row in rollouts.items():
            version = row["version"]
            if self.latest_version(model) >= version:
                continue
            self._latest_by_model[model] = version
            times = self._times_by_model.setdefault(model, {})
            is_reported = version in times
            if not is_reported:
                times[version] = now - default_age
                if is_assumed:
                    self._assumed.add((model, version))
            age = now - times[version]
            learned.append(KnownVersion(model, version, age, is_reported))
            self._forget_old(model)
        return learned

    def _default_age(self, unconfirmed_seconds):
        cautious_age = max(0.0, self._seconds - FIRST_STATE_SECONDS)
        if not self._has_state:
            return cautious_age
        return min(unconfirmed_seconds, cautious_age)

    def record_ages(self, now, ages):
        """Record the ages of versions that another process reports.

        They may arrive before the rollouts that name the versions, or long after.

        :param ages: seconds since versions became known, by model and version.
        :return: list of a :class:`CorrectedAge` for each version that was known here
            for a shorter time.
        """
        corrected = []
        for (model, version), age in ages.items():
            times = self._times_by_model.setdefault(model, {})
            self._assumed.discard((model, version))
            known_since = times.get(version, math.inf)
            if now - age >= known_since:
                continue
            times[version] = now - age
            if known_since < math.inf:
                earlier_by = known_since - times[version]
                corrected.append(CorrectedAge(model, version, age, earlier_by))
            self._forget_old(model)
        return corrected

    def _forget_old(self, model):
        times = self._times_by_model[model]
        for version in sorted(times)[:-KEPT_VERSIONS]:
            del times[version]
            self._assumed.discard((model, version))

    def ages(self, now):
        """Return the seconds since versions became known, without those assumed.

        Versions after one whose age is assumed are left out, too: a process that is
        told only their ages would use the versions before that one for too long.

        :return: ages by model and version.
        """
        ages = {}
        for model, times in self._times_by_model.items():
            for version, known_since in sorted(times.items()):
                age = now - known_since
                is_assumed = (model, version) in self._assumed
                if is_assumed and age < SETTLED_SECONDS:
                    break
                ages[model, version] = age
        return ages

    def latest_version(self, model):
        """Return the latest version of a model, 0 if there is none."""
        return self._latest_by_model.get(model, 0)

    def version_before(self, model):
        """Return the version before the latest one, and when it became known.

        :return: version and time, ``None`` if its time isn't known.
        """
        latest = self.latest_version(model)
        times = self._times_by_model.get(model, {})
        earlier = [version for version in times if version < latest]
        return (max(earlier), times[max(earlier)]) if earlier else None

    def oldest_allowed_version(self, now, model):
        """Return the oldest version that requests may still be sent to."""
        times = self._times_by_model.get(model, {})
        return max(
            (
                version
                for version, known_since in times.items()
                if now - known_since >= self._seconds
            ),
            default=0,
        )

    def newer_known_since(self, model, version):
        """Return when a newer version became known, ``inf`` if there is none."""
        newer = (
            known_since
            for other, known_since in self._times_by_model.get(model, {}).items()
            if other > version
        )
        return min(newer, default=math.inf)

    def known_since(self, model):
        """Return when the latest version became known, ``-inf`` if there is none."""
        times = self._times_by_model.get(model, {})
        return times.get(self.latest_version(model), -math.inf)
