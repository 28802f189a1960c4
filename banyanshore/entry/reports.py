"""Take the reports of agents, answer with what they lack, and pass them on."""

import time

from banyanshore.membership.messages import ReportsRequest
from banyanshore.membership.rendezvous import rank
from banyanshore.membership.report_forwarding import ReportReceiver, ReportSender


class AgentConnections:
    """The connections over which agents report here."""

    def __init__(self):
        self.by_instance = {}

    async def notify_all(self, message):
        """Send a notice to each agent that reports here."""
        for connection in list(self.by_instance.values()):
            if connection.is_open:
                await connection.notify(message)

    def forget(self, connection):
        """Drop a connection that was closed."""
        for instance, known in list(self.by_instance.items()):
            if known is connection:
                del self.by_instance[instance]


class ReportExchange:
    """The reports that this entry takes from agents and from its siblings.

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
        """Take an agent's report; tell whether it is news."""
        now = time.monotonic()
        if not self._targets.record(now, report):
            return False
        self._agents.by_instance[report.instance] = connection
        if not self._is_passed_on_here(now, report.instance):
            self._sender.forget(report.instance)
        elif self._sender.record(now, report):
            await self._neighbours.notify_siblings(self._sender.build_urgent(report))
        return True

    async def pass_on(self, now):
        """Send a batch to the siblings, if there are agents that don't reach them."""
        if self._has_gaps():
            await self._neighbours.notify_siblings(self._sender.build_batch(now))

    async def on_passed_reports(self, batch):
        """Take a batch of a sibling; ask for all of it if something was missed."""
        if not self._receiver.receive(time.monotonic(), batch):
            await self._neighbours.notify(batch.sender, ReportsRequest())

    def on_reports_request(self):
        """Send the next batch whole."""
        self._sender.request_complete_batch()

    def _has_gaps(self):
        return len(self._neighbours.siblings) >= self._settings.announce_fanout

    def _is_passed_on_here(self, now, agent):
        """Tell whether this entry is the first live one in an agent's order."""
        if not self._has_gaps():
            return False
        siblings = self._neighbours.siblings
        names = [self._settings.instance, *(peer.instance for peer in siblings)]
        for name in rank(agent, names):
            if self._entries.is_live(now, name):
                return name == self._settings.instance
        return False
