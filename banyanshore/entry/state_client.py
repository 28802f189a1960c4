"""Access the replicated log from any instance."""

import logging
import time

import anyio

from banyanshore.consensus.rpc import (
    ProposalStatus,
    ProposeReply,
    ProposeRequest,
    ReadReply,
    ReadRequest,
    VersionReply,
    VersionRequest,
)
from banyanshore.core.exceptions import (
    BanyanshoreError,
    NotAcceptedError,
    OutcomeUnknownError,
    UnavailableError,
)

logger = logging.getLogger(__name__)

# Seconds between attempts while no leader answers.
RETRY_INTERVAL = 0.05


class StateClient:
    """Propose commands and read the published state, whichever instance leads.

    Commands carry ids by which the state machine recognizes duplicates, so a command
    whose reply was lost is sent again until its outcome is known or the time is up.

    :param settings: the :class:`~banyanshore.conf.EntrySettings`.
    :param links: the :class:`~banyanshore.transport.LinkPool` to other entries.
    :param node: the local :class:`~banyanshore.consensus.node.ConsensusNode`, or
        ``None``.
    :param leader_hint: callable that returns the leader named by other instances, or an
        empty string.
    """

    def __init__(self, settings, links, node, leader_hint):
        self._settings = settings
        self._links = links
        self._node = node
        self._leader_hint = leader_hint
        self._entries = None
        self._refresh_entries()

    def use_node(self, node):
        """Replace the local consensus node."""
        self._node = node

    def _refresh_entries(self):
        """Reload the entries if the settings have changed."""
        entries = self._settings.entries
        if entries is self._entries:
            return
        self._entries = entries
        self._peer_by_instance = {peer.instance: peer for peer in entries}
        self._voters = [peer.instance for peer in entries if peer.voter]

    @property
    def leader(self):
        """Return the instance of the leader, or an empty string if none is known."""
        local_leader = self._node.leader_instance if self._node else ""
        return local_leader or self._leader_hint()

    async def propose(self, command, timeout=None):
        """Propose a command and return its outcome.

        :raises NotAcceptedError: the command was certainly not accepted.
        :raises OutcomeUnknownError: the command may or may not be accepted.
        """
        deadline = time.monotonic() + (
            timeout or self._settings.consensus.proposal_timeout
        )
        was_unknown = False
        detail = "no leader is known"
        attempts = 0
        hint = ""
        while (remaining := deadline - time.monotonic()) > 0:
            instance = self._next_instance(attempts, hint)
            reply = await self._propose_once(command, instance, remaining)
            attempts += 1
            hint = reply.leader if reply.leader != instance else ""
            if reply.status == ProposalStatus.APPLIED:
                return reply.outcome
            was_unknown = was_unknown or reply.status == ProposalStatus.UNKNOWN
            detail = reply.detail or detail
            await anyio.sleep(min(RETRY_INTERVAL, max(0, remaining)))
        if was_unknown:
            raise OutcomeUnknownError(detail, step="propose", peer=self.leader)
        raise NotAcceptedError(detail, step="propose", peer=self.leader)

    async def read(self, timeout):
        """Return the published state, at least as new as when the call was made.

        :raises UnavailableError: no quorum answered in time.
        """
        reply = await self._read_until(ReadRequest(), timeout)
        return reply.published

    async def read_version(self, timeout):
        """Return the version number, at least as new as when the call was made.

        :raises UnavailableError: no quorum answered in time.
        """
        reply = await self._read_until(VersionRequest(), timeout)
        return reply.version

    async def _read_until(self, request, timeout):
        """Return the first reply to a read request that comes from a leader."""
        deadline = time.monotonic() + timeout
        attempts = 0
        hint = ""
        while (remaining := deadline - time.monotonic()) > 0:
            instance = self._next_instance(attempts, hint)
            reply = await self._read_once(request, instance, remaining)
            attempts += 1
            hint = reply.leader if reply.leader != instance else ""
            if reply not in (
                ReadReply(None, reply.leader),
                VersionReply(-1, reply.leader),
            ):
                return reply
            await anyio.sleep(RETRY_INTERVAL)
        raise UnavailableError("no quorum answers", step="read", peer=self.leader)

    async def propose_locally(self, command, timeout):
        """Return the :class:`ProposeReply` of the local consensus node."""
        if self._node is None:
            return ProposeReply(
                ProposalStatus.NOT_ACCEPTED, leader=self.leader, detail="not a voter"
            )
        try:
            outcome = await self._node.propose(command, timeout)
            return ProposeReply(ProposalStatus.APPLIED, outcome)
        except NotAcceptedError as error:
            status, detail = ProposalStatus.NOT_ACCEPTED, error.message
        except OutcomeUnknownError as error:
            status, detail = ProposalStatus.UNKNOWN, error.message
        return ProposeReply(status, None, self.leader, detail)

    async def read_locally(self, timeout):
        """Return the :class:`ReadReply` of the local consensus node."""
        if self._node is not None:
            try:
                return ReadReply(await self._node.read(timeout), self.leader)
            except BanyanshoreError:
                pass
        return ReadReply(None, self.leader)

    async def read_version_locally(self, timeout):
        """Return the :class:`VersionReply` of the local consensus node."""
        if self._node is not None:
            try:
                return VersionReply(await self._node.read_version(timeout), self.leader)
            except BanyanshoreError as error:
                logger.debug("cannot read the version from the local node: %s", error)
        return VersionReply(-1, self.leader)

    def _next_instance(self, attempts, hint):
        """Return the instance to ask next.

        The leader is asked first, then alternately a voter and the leader.

        :param attempts: number of instances asked before.
        :param hint: leader named by the instance asked last, empty for none.
        """
        self._refresh_entries()
        leader = hint or self.leader
        if leader and self._is_reachable(leader) and (hint or attempts % 2 == 0):
            return leader
        voters = [name for name in self._voters if self._is_reachable(name)]
        voters = voters or self._voters
        return voters[attempts % len(voters)]

    def _is_reachable(self, instance):
        # Instances that can't be connected to are skipped while others can be.
        if instance == self._settings.instance:
            return True
        peer = self._peer_by_instance.get(instance)
        if peer is None:
            return False
        link = self._links.get(peer.address, instance)
        return link.is_open or not link.is_failing

    async def _propose_once(self, command, instance, remaining):
        # An instance may be down or cut off, so it is given only part of the time.
        timeout = min(remaining, max(0.5, self._settings.consensus.election_timeout))
        if instance == self._settings.instance:
            return await self.propose_locally(command, timeout)
        try:
            connection = await self._connect(instance, remaining)
        except UnavailableError as error:
            return ProposeReply(ProposalStatus.NOT_ACCEPTED, detail=str(error))
        try:
            return await connection.call(
                ProposeRequest(command), timeout, in_pieces=True
            )
        except BanyanshoreError as error:
            return ProposeReply(ProposalStatus.UNKNOWN, detail=str(error))

    async def _read_once(self, request, instance, remaining):
        timeout = min(remaining, max(0.5, self._settings.consensus.election_timeout))
        if instance == self._settings.instance:
            if isinstance(request, VersionRequest):
                return await self.read_version_locally(timeout)
            return await self.read_locally(timeout)
        try:
            connection = await self._connect(instance, remaining)
            return await connection.call(request, timeout)
        except BanyanshoreError:
            return ReadReply(None, "")

    async def _connect(self, instance, remaining):
        peer = self._peer_by_instance[instance]
        link = self._links.get(peer.address, instance)
        return await link.get_connection(min(0.3, remaining))
