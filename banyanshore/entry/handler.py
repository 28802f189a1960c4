"""Handle the calls and notices that agents and other entries send to an entry."""

import time

from banyanshore.consensus.rpc import ProposeRequest, RaftMessage, ReadRequest
from banyanshore.membership.messages import (
    AgentReport,
    DataCentreDigest,
    DigestRequest,
    EntryDigest,
    ForwardedReports,
    ReportsRequest,
    Roster,
    RosterRequest,
    StateChange,
    StateUpdate,
    SuspectUpdate,
)
from banyanshore.routing.messages import (
    AnswerQuery,
    AnswerReply,
    Dispatch,
    Failed,
    FailureReason,
    Resume,
)
from banyanshore.state.rollouts import LoadPermitRequest
from banyanshore.transport import TableHandler


class EntryHandler(TableHandler):
    """Pass each message to the component of the entry that handles it.

    The subclass :class:`~banyanshore.entry.process.Entry` builds the components.
    """

    async def handle_open(self, connection):
        """Send to an entry over the connection that it opened, if one is enough."""
        peer = self.entries.peer_by_instance.get(connection.peer)
        if peer is None:
            return
        if self.entries.expects_connection_from(peer.instance):
            self.links.get(peer.address, peer.instance).accept(connection)
        elif peer.address in self.links.by_address:
            self.links.by_address[peer.address].accept(connection)

    async def handle_close(self, connection):
        """Drop the connection of an agent."""
        self.agents.forget(connection)

    async def _on_propose(self, body, responder):
        timeout = self.settings.consensus.proposal_timeout
        await responder.finish(await self.client.propose_locally(body.command, timeout))

    async def _on_read(self, body, responder):
        timeout = self.settings.consensus.proposal_timeout
        await responder.finish(await self.client.read_locally(timeout))

    async def _on_dispatch(self, body, responder):
        await self.proxy.handle_forwarded(body, responder)

    async def _on_resume(self, body, responder):
        # An entry keeps no replies of a forwarded call, which may have run on a target.
        await responder.finish(Failed(FailureReason.CONNECTION_LOST))

    async def _on_answer_query(self, body, responder):
        answer = await self.recovery.find_locally(body.service, body.attempt)
        await responder.finish(AnswerReply(answer))

    async def _on_load_permit_request(self, body, responder):
        command = self.load_permits.build_command(time.monotonic(), body)
        await responder.finish(await self.client.propose(command))

    async def _on_raft(self, connection, body):
        if self.node is not None:
            await self.node.receive(body)

    async def _on_report(self, connection, body):
        await self.dissemination.on_report(connection, body)

    async def _on_passed_reports(self, connection, body):
        await self.reports.on_passed_reports(body)

    async def _on_reports_request(self, connection, body):
        self.reports.on_reports_request()

    async def _on_digest_request(self, connection, body):
        await self.dissemination.on_digest_request(connection, body)

    async def _on_entry_digest(self, connection, body):
        await self.dissemination.on_entry_digest(body)

    async def _on_data_centre_digest(self, connection, body):
        await self.dissemination.on_data_centre_digest(connection, body)

    async def _on_state_update(self, connection, body):
        await self.versions.on_update(connection, body)
        self.metrics.state_version.set(self.state.version)

    async def _on_state_change(self, connection, body):
        await self.versions.on_change(connection, body)
        self.metrics.state_version.set(self.state.version)

    async def _on_roster(self, connection, body):
        await self.dissemination.on_roster(body)

    async def _on_roster_request(self, connection, body):
        await self.dissemination.on_roster_request(connection, body)

    async def _on_suspect_update(self, connection, body):
        self.quarantine.record_update(time.monotonic(), body)
        self.metrics.suspects.set(len(self.quarantine))
        peer = self.entries.peer_by_instance.get(connection.peer)
        if peer is None or peer.data_centre == self.settings.data_centre:
            return
        for sibling in self.entries.siblings():
            link = self.links.get(sibling.address, sibling.instance)
            await link.notify_or_drop(body)


EntryHandler.call_by_type = {
    ProposeRequest: EntryHandler._on_propose,
    ReadRequest: EntryHandler._on_read,
    Dispatch: EntryHandler._on_dispatch,
    Resume: EntryHandler._on_resume,
    AnswerQuery: EntryHandler._on_answer_query,
    LoadPermitRequest: EntryHandler._on_load_permit_request,
}
EntryHandler.notice_by_type = {
    RaftMessage: EntryHandler._on_raft,
    AgentReport: EntryHandler._on_report,
    ForwardedReports: EntryHandler._on_passed_reports,
    ReportsRequest: EntryHandler._on_reports_request,
    DigestRequest: EntryHandler._on_digest_request,
    EntryDigest: EntryHandler._on_entry_digest,
    DataCentreDigest: EntryHandler._on_data_centre_digest,
    StateUpdate: EntryHandler._on_state_update,
    StateChange: EntryHandler._on_state_change,
    Roster: EntryHandler._on_roster,
    RosterRequest: EntryHandler._on_roster_request,
    SuspectUpdate: EntryHandler._on_suspect_update,
}
