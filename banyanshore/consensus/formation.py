"""Form the log of a new deployment with its first voters.

A voter with an empty disk can't distinguish a new deployment from the loss of its disk.
It therefore doesn't vote until every voter has reported an empty log as well, or until
a member of a formed log lists it, with its current disk, among the voters.
"""

from banyanshore.consensus.messages import FormationStatus, Members, instance_of


class Formation:
    """Decide when the log can be formed, and with which voters.

    :param member: own name, ``INSTANCE/DISK``.
    :param voter_instances: instances that the settings name as voters.
    """

    def __init__(self, member, voter_instances):
        self._member = member
        self._voter_instances = frozenset(voter_instances)
        self._member_by_instance = {instance_of(member): member}

    def status(self, raft):
        """Return the :class:`FormationStatus` of this member for the other instances.

        It lists the members only while they are still the first ones: a voter that
        joins later must receive the log from the leader instead of forming its own.
        """
        if raft.log.last_index == 0:
            return FormationStatus(self._member, None)
        if raft.members_index > 1:
            return FormationStatus(self._member, Members(()))
        return FormationStatus(self._member, raft.members)

    def receive(self, status):
        """Handle the status of another member.

        :return: the :class:`Members` to form the log with, or ``None`` to keep waiting.
        """
        if status.members is not None:
            named = self._member in status.members.voters
            return status.members if named else None
        self._member_by_instance[instance_of(status.sender)] = status.sender
        return self.decide()

    def decide(self):
        """Return the members if all voters reported an empty log, else ``None``."""
        if self._voter_instances - self._member_by_instance.keys():
            return None
        chosen = (self._member_by_instance[name] for name in self._voter_instances)
        return Members(tuple(sorted(chosen)))
