"""Which gateways a limit is shared among, as one of them believes.

Load pattern: gateways that are cut off, or have just started, send to the same cold
target as those that don't hear of them. One that is no longer heard of is counted on
for a while, since it may be cut off and use its share. One that has just started has
not heard of those that were cut off before, and counts on more.
"""

# Seconds for which a gateway that is no longer heard of keeps its share of limits; cuts
# between data centres rarely last longer, and those that do leave room for it.
MEMORY_SECONDS = 60.0
# Gateways that one counts on for that time after its own start, since it can't have
# heard of those that were cut off before: more than most deployments have.
START_GATEWAYS = 16
# Stand for gateways that are counted on and not known.
_UNHEARD_NAMES = tuple(f"not heard of {number}" for number in range(START_GATEWAYS))


class GatewayRoster:
    """The gateways that limits are shared among.

    :param instance: name of this gateway.
    :param started_at: monotonic time of its start.
    """

    def __init__(self, instance, started_at):
        self._instance = instance
        self._started_at = started_at
        self._seen_at = {}

    def names(self, now, heard):
        """Return the names of the gateways that are counted on, this one included.

        :param heard: names of the gateways that are heard of now.
        """
        for name in (self._instance, *heard):
            self._seen_at[name] = now
        for name, at in list(self._seen_at.items()):
            if now - at > MEMORY_SECONDS:
                del self._seen_at[name]
        return self._seen_at.keys()

    def cautious_names(self, now, names):
        """Return as many names as a limit needs that targets break down beyond.

        :param names: what :meth:`names` has returned.
        """
        missing = START_GATEWAYS - len(names)
        if now - self._started_at > MEMORY_SECONDS or missing <= 0:
            return names
        return {*names, *_UNHEARD_NAMES[:missing]}
