"""Until when targets with older weights are still used."""

import math


class VersionSwitch:
    """The versions of each model that have been named, and when that was heard.

    Load pattern: all targets of a model change their weights at full load; those with
    the older version are used as long as the rollout's time allows.

    :param seconds: time after a version is heard of until which older ones are used.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._named_by_model = {}

    def record(self, now, rollouts):
        """Take the table of rollouts in force.

        Versions that were in force before this process heard of anything count from
        then on too, since it can't tell when they were named.
        """
        for model, row in rollouts.items():
            named = self._named_by_model.setdefault(model, [])
            if not named or named[-1][0] < row["version"]:
                named.append((row["version"], now))

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
