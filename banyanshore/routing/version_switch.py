"""Until when targets with older weights are still used."""

import math
from types import MappingProxyType

# Seconds for which a process uses older versions than those it finds at its start. An
# instance is not relied on for as long after it has started.
FIRST_STATE_SECONDS = 2.5


class VersionSwitch:
    """The versions of each model that have been named, and when that was heard.

    Load pattern: all targets of a model change their weights at full load; those with
    the older version are used as long as the rollout's time allows.

    :param seconds: time after a version is heard of until which older ones are used.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._named_by_model = {}
        self._has_state = False

    def record(self, now, rollouts, ages=MappingProxyType({})):
        """Take the table of rollouts in force.

        A process that has just started can't tell when the versions that it finds were
        named. If nobody tells their ages, it gives the older ones little time.

        :param ages: seconds since versions were heard of elsewhere, by model and
            version.
        """
        default = 0.0 if self._has_state else self._seconds - FIRST_STATE_SECONDS
        self._has_state = True
        for model, row in rollouts.items():
            version = row["version"]
            named = self._named_by_model.setdefault(model, [])
            if not named or named[-1][0] < version:
                named.append((version, now - ages.get((model, version), default)))

    def ages(self, now):
        """Return the seconds since the newest versions were heard of, by both."""
        return {
            (model, named[-1][0]): now - named[-1][1]
            for model, named in self._named_by_model.items()
        }

    def newest(self, model):
        """Return the newest version named, 0 if there is none."""
        named = self._named_by_model.get(model)
        return named[-1][0] if named else 0

    def oldest_allowed(self, now, model):
        """Return the oldest version that requests may still be sent to."""
        oldest = 0
        for version, heard_at in self._named_by_model.get(model, ()):
            if now - heard_at >= self._seconds:
                oldest = version
        return oldest

    def heard_at(self, model):
        """Return when the newest version was heard of, ``-inf`` without any."""
        named = self._named_by_model.get(model)
        return named[-1][1] if named else -math.inf
