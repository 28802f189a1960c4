"""Measure what a change of one route costs, by the routes held and by the followers.

All parts run in this process, one after another: an operator's call to one control
instance, the send to its followers, and the change at one gateway.
"""

import json
import random
import time
from types import SimpleNamespace

import anyio

from banyanshore.control.feed import FeedServer
from banyanshore.control.orders import Orders
from banyanshore.gateway.screening import Screening
from banyanshore.membership.feed import ConfirmRequest, MemberRow, Registry
from banyanshore.membership.messages import StateChange
from banyanshore.platform.control_api import Call, ControlApi
from banyanshore.state import StateHolder, StateMachine
from banyanshore.telemetry.control import ControlMetrics
from banyanshore.transport import decode
from benchmarks.report import Report, fit_slope

ROUTE_COUNTS = (240, 1_040, 1_640, 3_040, 6_000)
FOLLOWER_COUNTS = (10, 40, 80)
ROUTES_AT_SCALE = 3_040
# Followers of one of 7 instances that 400 gateways and 600 loaders share.
FOLLOWERS_AT_SCALE = 143
CHANGES = 5
# Share of a core, and seconds between changes, of the users' control instances.
CORE = 0.645
CHANGE_INTERVAL = 0.33


class RecordingConnection:
    """A follower's connection that keeps the last encoded notice."""

    peer = "follower"
    pending_bytes = 0

    def __init__(self):
        self.data = b""

    async def notify(self, body):
        """Discard rows and ages."""

    async def notify_encoded(self, data):
        """Keep a notice."""
        self.data = data


class LocalLog:
    """Apply commands at once, in place of the replicated log."""

    def __init__(self, state):
        self.machine = StateMachine()
        self._state = state

    async def read_version(self, timeout):
        """Return the number of the latest version."""
        return self.machine.version

    async def propose(self, command, timeout):
        """Apply a command and return its outcome."""
        outcome = self.machine.apply(self.machine.version + 1, 1, command)
        self._state.apply_desired(self.machine.desired_state())
        return outcome


class Bench:
    """One control instance with followers, and one gateway."""

    def __init__(self, routes, followers):
        self._random = random.Random(routes)
        self.state = StateHolder(keep_previous=True)
        log = LocalLog(self.state)
        metrics = ControlMetrics()
        member = MemberRow("x", "control", "dc", "r", "10.0.0.1:7700", 1, 1)
        settings = SimpleNamespace(seeds=(), peer_port=7700)
        self.feed = FeedServer(
            settings, member, self.state, Registry(), None, metrics, None
        )
        self.api = ControlApi(Orders(self.state, log, metrics), self.feed)
        self.gateway = StateHolder()
        self.screening = Screening(0.0, 2.25)
        self.gateway.on_change.append(
            lambda desired: self.screening.use(desired.document)
        )
        self.connections = [RecordingConnection() for _ in range(followers)]
        self.declaration = {
            "version": 1,
            "routes": [self._make_route() for _ in range(routes)],
            "backends": [{"name": "desk", "healthPath": "/healthz", "maxConns": 110}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304},
            "tenants": [{"name": "w", "apiKeys": ["k"], "priority": 1}],
        }

    def _name(self):
        return f"{self._random.getrandbits(40):010x}"

    def _make_route(self):
        return {
            "name": self._name(), "hostname": f"{self._name()[:4]}.example",
            "pathPrefix": f"/{self._name()}/{self._name()[:4]}/",
            "routeType": "idempotent", "timeoutMs": 1500, "sloMs": 130, "priority": 1,
            "backend": "desk", "maxAttempts": 2, "public": False, "sticky": False,
            "resumable": False, "allowedRegions": [],
        }  # fmt: skip

    async def put(self):
        """Put the declaration under the next number; return the CPU seconds."""
        self.declaration["version"] += 1
        call = Call("", json.dumps(self.declaration).encode(), 0.0)
        return await cpu_seconds(self.api._put_config(call))

    async def send(self):
        """Send the newest version to all followers; return the CPU seconds."""

        async def send_all():
            for number, connection in enumerate(self.connections):
                name = f"10.0.{number}.1:80"
                row = MemberRow(name, "gateway", "dc", "r", name, 1, 1)
                follower = self.feed._follower_by_connection.get(connection)
                if follower is None:
                    request = ConfirmRequest(row, self.state.version, 0, True)
                    await self.feed.on_confirm_request(connection, request)
                else:
                    await self.feed._send_version(connection, follower)

        return await cpu_seconds(send_all())

    async def apply(self):
        """Apply the change at the gateway; return the CPU seconds."""
        data = self.connections[0].data
        started_at = time.process_time()
        body = decode(data).body
        if isinstance(body, StateChange) and self.gateway.apply_delta(body.delta):
            return time.process_time() - started_at
        raise RuntimeError("the gateway was not sent a change that applies")


async def cpu_seconds(awaitable):
    """Await something; return the CPU seconds that it took."""
    started_at = time.process_time()
    await awaitable
    return time.process_time() - started_at


async def measure(routes, followers):
    """Return the best times of a change in ms: put, send and apply; and its bytes."""
    bench = Bench(routes, followers)
    await bench.put()
    await bench.send()
    document = bench.feed.followed_version.published
    bench.gateway.apply(document)
    rows = []
    for number in range(CHANGES):
        bench.declaration["routes"][number]["timeoutMs"] += 1
        put, send = await bench.put(), await bench.send()
        rows.append((put, send, await bench.apply()))
    best = [1000 * min(column) for column in zip(*rows, strict=True)]
    return (*best, len(bench.connections[0].data))


def run():
    """Return the report."""
    report = Report("declarations")
    heads = ["routes", "call ms", "send ms", "gateway ms", "bytes to each"]
    by_routes = {}
    for routes in ROUTE_COUNTS:
        by_routes[routes] = anyio.run(measure, routes, 12)
        report.add_row(
            "One route changed, 12 followers", heads, routes, *by_routes[routes]
        )
    for position, name in ((1, "send"), (2, "gateway")):
        values = [row[position] for row in by_routes.values()]
        line = fit_slope([count / 1000 for count in ROUTE_COUNTS], values)
        report.add_row(
            "Slopes in thousands of routes",
            ["part", "ms for each thousand", "standard error", "at none"],
            name, line.slope, line.spread, line.intercept,
        )  # fmt: skip
    for followers in (*FOLLOWER_COUNTS, FOLLOWERS_AT_SCALE):
        row = anyio.run(measure, ROUTES_AT_SCALE, followers)
        title = f"One of {ROUTES_AT_SCALE} routes changed, by followers"
        report.add_row(title, ["followers", *heads[1:]], followers, *row)
    call, send, _, _ = anyio.run(measure, ROUTES_AT_SCALE, FOLLOWERS_AT_SCALE)
    report.add_bound(
        f"ms of a core for a change, {ROUTES_AT_SCALE} routes",
        call + send,
        1000 * CORE * CHANGE_INTERVAL / 2,
        "half of a control instance, with changes 0.33 s apart",
    )
    return report
