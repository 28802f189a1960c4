"""Which control instances can read what a newer build puts into the log.

Load pattern: control instances are exchanged for those of a newer build one after the
other, while operators go on to declare. A voter that can't read an entry stops.
"""

from banyanshore.membership.feed import CONTROL_ROLE


class LogReaders:
    """The voters that read compressed commands, as told by their rows.

    An instance that is away is known from its last row. One that has told nothing yet
    may be of an earlier build.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param find_voters: callable that returns the names of the instances that vote.
    """

    def __init__(self, registry, find_voters):
        self._registry = registry
        self._find_voters = find_voters
        self._decompresses_by_instance = {}

    def all_decompress(self):
        """Return whether all voters read compressed commands."""
        for row in self._registry.members_of(CONTROL_ROLE):
            self._decompresses_by_instance[row.instance] = row.decompresses
        voters = self._find_voters()
        return bool(voters) and all(
            self._decompresses_by_instance.get(voter, False) for voter in voters
        )
