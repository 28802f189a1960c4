"""Gateways in this process that know each other and the same targets."""

import contextlib
import itertools
import time

from banyanshore.conf.loader import parse_settings
from banyanshore.core.clock import boottime_now
from banyanshore.gateway.process import Gateway
from banyanshore.http.listener import Listener
from banyanshore.platform.caller_dialect import PlatformDialect
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import to_json
from banyanshore.transport import serve_peers
from tests.gateway.deployment import SETTINGS, ask, make_document
from tests.http.raw import running_listener
from tests.ports import free_ports


class GatewayFleet:
    """Gateways that know each other and all registered targets.

    :param stack: async exit stack that closes the listeners for callers.
    :param tasks: task group that the gateways run in.
    :param route: fields of the route that differ from the usual ones.
    :ivar caller_addresses: addresses of the gateways for callers.
    :ivar statuses: statuses of the answers to callers so far.
    """

    def __init__(self, stack, tasks, route):
        self.gateways = []
        self.caller_addresses = []
        self.statuses = []
        self._rows_by_address = {}
        self._stack = stack
        self._tasks = tasks
        self._route = route

    def register(self, row):
        """Register a target at all gateways, as control does.

        It replaces the target that was registered at its address.
        """
        self._rows_by_address[row.address] = row
        for gateway in self.gateways:
            gateway.registry.record(time.monotonic(), row)

    async def add_gateway(self, data_centre="dc"):
        """Start a gateway that knows all targets and gateways; return it."""
        number = len(self.gateways)
        (peers_port,) = free_ports(1)
        tasks = self._tasks
        settings = {
            **SETTINGS,
            "instance": f"edge-{number}",
            "data_centre": data_centre,
            "peers_bind": f"127.0.0.1:{peers_port}",
        }
        gateway = Gateway(parse_settings(settings), PlatformDialect(), None)
        document = make_document(**self._route)
        document["services"]["t"] = {"kind": "direct"}
        gateway.state.apply(PublishedState(1, Fence(1, 1), to_json(document)))
        gateway.feed.lease.confirmed_at = boottime_now() + 1000
        for row in self._rows_by_address.values():
            gateway.registry.record(time.monotonic(), row)
        self.gateways.append(gateway)
        for one, other in itertools.product(self.gateways, self.gateways):
            one.registry.record(time.monotonic(), other._member())
        for known in self.gateways:
            known.updates.refresh()
        await tasks.start(
            serve_peers,
            gateway.settings.peers_bind,
            gateway,
            gateway.settings.instance,
            gateway.link_options,
        )
        tasks.start_soon(gateway.link_options.ticker.run)
        tasks.start_soon(gateway.updates.run, gateway.link_options, gateway)
        tasks.start_soon(gateway.suspects.run)
        tasks.start_soon(gateway.limits.run)
        gateway.caller_listener = Listener(
            gateway.request_handler.handle, gateway._limits
        )
        self.caller_addresses.append(
            await self._stack.enter_async_context(
                running_listener(gateway.caller_listener)
            )
        )
        return gateway

    async def send(self, request, gateway_number):
        """Send a request to a gateway, and ignore connection errors."""
        with contextlib.suppress(OSError, TimeoutError):
            status, _ = await ask(self.caller_addresses[gateway_number], request)
            self.statuses.append(status)
