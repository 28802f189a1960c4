"""Stand-ins for replicas, the operator and consumers, as the pages describe them."""

import asyncio
import itertools
import random
import time

from review.fleet import http

HEARTBEAT_SECONDS = 1.2


class Record:
    """What was sent, answered and run, with the seconds since the start.

    :param path: the file that it is written to.
    """

    def __init__(self, path):
        self.path = path
        self._started_at = time.monotonic()
        self._file = open(path, "w", buffering=1)  # noqa: SIM115

    @property
    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write a line; return its time."""
        now = self.now
        self._file.write(f"{now:8.3f} {text}\n")
        return now


class Replica:
    """A plain replica, which registers itself and answers at once.

    :param controls: addresses that it registers at.
    :ivar arrivals: times and ids of the requests that it has run.
    """

    def __init__(self, record, ip, port, service, controls, zone="a", slots=8):
        self.record = record
        self.address = f"{ip}:{port}"
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.arrivals = []
        self.work_seconds = 0.005
        self.controls = controls
        self._server = None
        self._beats = None

    async def start(self):
        """Serve and register."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._beat_forever())

    def stop_beats(self):
        """Send no further heartbeats."""
        self._beats.cancel()

    def describe(self):
        """Return the body of a heartbeat."""
        self.sequence += 1
        return {
            "backend": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
            "seq": self.sequence, "born": self.born,
        }  # fmt: skip

    async def _beat_forever(self):
        nodes = itertools.cycle(random.sample(self.controls, len(self.controls)))
        while True:
            body = self.describe()
            for _ in self.controls:
                if await self.tell(next(nodes), "PUT", body):
                    break
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def tell(self, node, method, body=None):
        """Send a heartbeat, or the last call; return whether it was acknowledged."""
        path = f"/api/replicas/{self.id}"
        try:
            status, _ = await http.call_json(node, method, path, body)
        except (OSError, TimeoutError):
            return False
        return 200 <= status < 300

    async def _serve(self, reader, writer):
        try:
            while (request := await http.read_message(reader)) is not None:
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def handle(self, request, writer):
        """Answer a request."""
        request_id = request.get("request-id")
        if request.get("expect-replica") != self.id:
            headers = [("Request-Id", request_id), ("Not-Executed", "1")]
            writer.write(http.encode("HTTP/1.1 421 Misdirected", headers))
            return
        self.arrivals.append((self.record.now, request_id))
        self.record.write(f"replica {self.id} runs {request_id}")
        await asyncio.sleep(self.work_seconds)
        body = f"answer to {request_id}".encode()
        headers = [("Request-Id", request_id), ("Replica-Signature", f"{self.id}.1")]
        writer.write(http.encode("HTTP/1.1 200 OK", headers, body))


class Operator:
    """The operator, who sends an order again until it has a clear answer."""

    def __init__(self, record, controls):
        self.record = record
        self.controls = controls

    async def order(self, method, path, document=None, seconds=20.0):
        """Send an order; return the time of its ack, ``None`` without one."""
        nodes = itertools.cycle(random.sample(self.controls, len(self.controls)))
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            node = next(nodes)
            try:
                status, _ = await http.call_json(node, method, path, document)
            except (OSError, TimeoutError):
                status = 0
            if 200 <= status < 300:
                return self.record.write(
                    f"operator: {method} {path} acknowledged by {node}"
                )
            if status in (400, 409, 412, 413, 422):
                self.record.write(f"operator: {method} {path} refused with {status}")
                return None
            await asyncio.sleep(0.2)
        self.record.write(f"operator: {method} {path} has no ack")
        return None


def make_manifest(version, routes, services, tenants=()):
    """Return a manifest."""
    return {
        "version": version,
        "routes": list(routes),
        "backends": list(services),
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
        "tenants": list(tenants),
    }  # fmt: skip


def make_route(name, host, prefix, service, kind="idempotent", **fields):
    """Return a route of a manifest."""
    return {
        "name": name, "hostname": host, "pathPrefix": prefix, "routeType": kind,
        "timeoutMs": 2000, "sloMs": 500, "priority": 1, "backend": service,
        "maxAttempts": 2, "public": False, "sticky": False, "resumable": False,
        "allowedRegions": [], **fields,
    }  # fmt: skip


def make_service(name, **fields):
    """Return a plain service of a manifest."""
    return {
        "name": name, "healthPath": "/healthz", "maxConns": 200, "protocol": "h1",
        "tls": False, "coldStartS": 0.0, "coldPerS": 0.0, **fields,
    }  # fmt: skip


class Consumer:
    """Send requests, each one over a channel of its own, and note the answers."""

    def __init__(self, record, host, key="", deadline_ms=2000):
        self.record = record
        self.host = host
        self.key = key
        self.deadline_ms = deadline_ms
        self._ids = (f"{random.getrandbits(64):016x}" for _ in itertools.count())

    async def send(self, gateway, path, method="GET", body=b"", headers=()):
        """Send a request; return its id and the status, 0 without an answer."""
        request_id = next(self._ids)
        lines = [("Host", self.host), ("Request-Id", request_id)]
        lines.append(("Deadline-Ms", str(self.deadline_ms)))
        if self.key:
            lines.append(("Authorization", f"Bearer {self.key}"))
        lines += headers
        self.record.write(f"consumer sends {request_id} to {gateway}")
        try:
            answer = await http.call(
                gateway, method, path, lines, body, self.deadline_ms / 1000
            )
            status = answer.status
        except (OSError, TimeoutError) as error:
            self.record.write(f"consumer has no answer to {request_id}: {error!r}")
            return request_id, 0
        self.record.write(f"consumer gets {status} for {request_id}")
        return request_id, status


async def wait_until_ready(addresses, seconds=25.0):
    """Wait until all gateways say that they are ready; return whether they do."""
    ends_at = time.monotonic() + seconds
    for address in addresses:
        while True:
            try:
                answer = await http.call(address, "GET", "/api/readyz")
                if answer.status == 200:
                    break
            except (OSError, TimeoutError):
                pass
            if time.monotonic() > ends_at:
                return False
            await asyncio.sleep(0.1)
    return True
