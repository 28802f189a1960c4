"""Receive the reports of agents and forward them to other entries."""

import time

from banyanshore.membership.messages import ReportsRequest
from banyanshore.membership.rendezvous import rank
from banyanshore.membership.report_forwarding import ReportReceiver, ReportSender


class AgentConnections:
    """Connections of the agents that report to this entry."""

    def __init__(self):
        self.by_instance = {}

    async def notify_all(self, message):
        """Send a notice to each agent that reports to this entry."""
        for connection in list(self.by_instance.values()):
            if connection.is_open:
                await connection.notify(message)

    def forget(self, connection):
        """Remove a closed connection."""
        for instance, known in list(self.by_instance.items()):
            if known is connection:
                del self.by_instance[instance]


class ReportExchange:
    """Receive reports from agents and siblings, and forward those of agents.

    :param targets: the :class:`~banyanshore.membership.targets.TargetTable`.
    :param entries: the :class:`~banyanshore.membership.entries.EntryTable`.
    :param neighbours: the :class:`~banyanshore.entry.neighbours.Neighbours`.
    :param agents: the :class:`AgentConnections`.
    """

    def __init__(self, settings, targets, entries, neighbours, agents):
        self._settings = settings
        self._targets = targets
        self._entries = entries
        self._neighbours = neighbours
        self._agents = agents
        expiry = settings.routing.target_expiry
        self._sender = ReportSender(settings.instance, expiry)
        self._receiver = ReportReceiver(targets)

    async def on_report(self, connection, report):
        """Record an agent's report; return whether it is newer than the last one."""
        now = time.monotonic()
        if not self._targets.record(now, report):
            return False
        self._agents.by_instance[report.instance] = connection
        if not self._forwards_reports_of(now, report.instance):
            self._sender.forget(report.instance)
        elif self._sender.record(now, report):
            await self._neighbours.notify_siblings(self._sender.build_urgent(report))
        return True

    async def forward_reports(self, now):
        """Send a batch of reports to siblings, if agents don't report to them all."""
        if self._needs_forwarding():
            await self._neighbours.notify_siblings(self._sender.build_batch(now))

    async def on_passed_reports(self, batch):
        """Process a sibling's batch; request a complete one if something was missed."""
        if not self._receiver.receive(time.monotonic(), batch):
            await self._neighbours.notify(batch.sender, ReportsRequest())

    def on_reports_request(self):
        """Include all reports in the next batch."""
        self._sender.request_complete_batch()

    def _needs_forwarding(self):
        return len(self._neighbours.siblings) >= self._settings.announce_fanout

    def _forwards_reports_of(self, now, agent):
        """Return whether this entry ranks first for an agent among the live entries."""
        if not self._needs_forwarding():
            return False
        siblings = self._neighbours.siblings
        names = [self._settings.instance, *(peer.instance for peer in siblings)]
        for name in rank(agent, names):
            if self._entries.is_live(now, name):
                return name == self._settings.instance
        return False
