"""Run a small deployment on loopback, with stand-ins for replicas and clients.

Only the standard library is used. The programs under test are started with the command
of the deploy file, as separate processes, with settings like those of the templates in
``deploy/settings``.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the site verhaegen-kiosk and mapahogar, see SYSTEM.md.
BOUNDS = {
    "contact_s": 3.0,
    "ack_s": 4.0,
    "catch_up_s": 4.0,
    "drain_s": 2.0,
    "grace_s": 8.0,
    "config_apply_s": 2.0,
    "evacuate_s": 5.0,
    "recovery_s": 12.0,
    "retry_ratio": 0.2,
    "retry_window_s": 10.0,
    "retry_burst": 104,
}
HEARTBEAT_S = 1.2


class CaseError(Exception):
    """Raised when a case can't run, for instance if a process doesn't start."""


class Record:
    """The lines of ``record.txt``, with the seconds since the start.

    :param folder: folder of the case.
    """

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text):
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Program:
    """One process of the system, signalled only by its own id."""

    def __init__(self, name, settings, folder):
        self.name = name
        self.settings = settings
        self.log_path = folder / f"{name}.log"
        self._path = folder / f"{name}.yaml"
        self._process = None

    def start(self):
        """Start the process with its settings; JSON is valid YAML."""
        self._path.write_text(json.dumps(self.settings))
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        variables = {**kept, "PYTHONPATH": str(ROOT / "target" / "deps")}
        command = [
            "python3",
            "-m",
            "banyanshore.daemon",
            "--settings",
            str(self._path),
        ]
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=variables
            )

    def signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None


class Fleet:
    """Control instances and gateways, each on a loopback address of its own.

    :param record: the :class:`Record`.
    :param zones: names of the zones; the first control instances and gateways are
        spread over them in turn.
    """

    def __init__(self, record, zones=("a", "b", "c")):
        self.record = record
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="banyanshore-review-"))
        self.programs = {}
        # Nothing else listens on these addresses, so their ports are free.
        self._network = f"127.{random.randrange(32, 250)}.{random.randrange(250)}"
        self._peer_port = random.randrange(12_000, 32_000)
        self.control = [
            f"{self._network}.{10 + number}:{self._peer_port + 1}"
            for number in range(len(zones))
        ]
        self.gateways = []

    def _common(self, name, zone, host):
        return {
            "instance": name,
            "data_centre": zone,
            "region": zone,
            "peers_bind": f"{host}:{self._peer_port}",
            "peer_port": self._peer_port,
            "metrics_bind": f"{host}:{self._peer_port + 3}",
            "seeds": self.control,
        }

    def start_control(self):
        """Start the control instances."""
        for number, address in enumerate(self.control):
            name = f"core-{self.zones[number]}-1"
            self._add(
                name,
                {
                    "role": "control",
                    **self._common(name, self.zones[number], _host(address)),
                    "control_bind": address,
                    "data_dir": str(self.folder / f"{name}.data"),
                    "target_heartbeat_ms": HEARTBEAT_S * 1000,
                    "consensus": {"tolerated_losses": 1},
                },
            )

    def start_gateway(self, zone):
        """Start a gateway; return its :class:`Program`."""
        number = len(self.gateways)
        host = f"{self._network}.{50 + number}"
        address = f"{host}:{self._peer_port + 1}"
        self.gateways.append(address)
        name = f"edge-{zone}-{number + 1}"
        settings = {
            "role": "gateway",
            **self._common(name, zone, host),
            "callers_bind": address,
            "ready_bind": f"{host}:{self._peer_port + 2}",
            "version_bound_ms": 8000,
            "key_bound_ms": 5000,
            "grace_seconds": BOUNDS["grace_s"],
            "regions": {name: name for name in self.zones},
            "retries": {
                "ratio": BOUNDS["retry_ratio"],
                "burst": BOUNDS["retry_burst"],
                "window_seconds": BOUNDS["retry_window_s"],
            },
            "cold_start": {"overage": 1.5, "margin": 5},
            "weights": {
                "grant_seconds": 1.0,
                "max_origin_fetches": 3,
                "roster_wait": 0.0,
                "stall_timeout": 1.5,
                "yield_delay_seconds": 0,
            },
        }
        return self._add(name, settings)

    def start_loader(self, zone, service, target_address):
        """Start the loader beside a replica; return its :class:`Program`."""
        name = f"side-{zone}-1"
        host = _host(target_address)
        settings = {
            "role": "loader",
            **self._common(name, zone, host),
            "service": service,
            "target_address": target_address,
            "version_bound_ms": 8000,
            "target_wait_seconds": 10.0,
            "weights": {
                "grant_seconds": 1.0,
                "max_origin_fetches": 1,
                "roster_wait": 0.0,
                "max_peer_fetches": 2,
                "max_uploads": 6,
                "neighbours": 4,
                "stall_timeout": 1.5,
                "yield_delay_seconds": 0,
            },
        }
        return self._add(name, settings)

    def replica_address(self, number):
        """Return an address for a replica."""
        return f"{self._network}.{100 + number}:{self._peer_port + 1}"

    def _add(self, name, settings):
        program = Program(name, settings, self.folder)
        self.programs[name] = program
        program.start()
        self.record.write(f"{name} is started")
        return program

    def control_program(self, number):
        """Return the :class:`Program` of a control instance."""
        return self.programs[f"core-{self.zones[number]}-1"]

    def wipe_control(self, number):
        """Kill a control instance and start it again with an empty disk."""
        program = self.control_program(number)
        program.kill()
        shutil.rmtree(program.settings["data_dir"])
        self.record.write(f"{program.name} is killed and has lost its disk")
        program.start()
        self.record.write(f"{program.name} is started again with an empty disk")

    def close(self):
        """End all processes, and remove the folder."""
        for program in self.programs.values():
            program.kill()
        if os.environ.get("KEEP_LOGS"):
            self.record.write(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _host(address):
    return address.rpartition(":")[0]


async def call(address, method, path, headers=(), body=b"", timeout=1.0):
    """Send one request on a new connection; return the status, headers and body.

    :raises OSError: there is no complete answer within the timeout.
    """
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*_split(address))
            try:
                lines = [f"{method} {path} HTTP/1.1"]
                names = {name.lower() for name, _ in headers}
                if "host" not in names:
                    lines.append(f"Host: {address}")
                lines += [f"{name}: {value}" for name, value in headers]
                lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                return await read_answer(reader)
            finally:
                writer.close()
    except (TimeoutError, asyncio.IncompleteReadError) as error:
        raise OSError(f"no complete answer: {error!r}") from None


async def read_answer(reader):
    """Return the status, headers and body of an answer.

    :raises OSError: the answer broke off.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = _parse_headers(head[1:])
    if headers.get("transfer-encoding") == "chunked":
        return status, headers, await _read_chunks(reader)
    length = int(headers.get("content-length", 0))
    return status, headers, await reader.readexactly(length)


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


def _parse_headers(lines):
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


class Operator:
    """The operator, who sends each order until it is acknowledged.

    As PROTOCOL.md says, it moves on to another node after a failure, a 5xx or a second
    without a response.
    """

    def __init__(self, record, nodes):
        self._record = record
        self._nodes = nodes

    async def order(self, method, path, document=None, first=0, seconds=20.0):
        """Send an order until a 2xx acknowledges it; return the time of the ack.

        :param first: number of the node that is asked first.
        :return: the time of the ack, ``None`` without one.
        """
        body = b"" if document is None else json.dumps(document).encode()
        ends_at = time.monotonic() + seconds
        number = first
        while time.monotonic() < ends_at:
            node = number % len(self._nodes)
            what = f"operator: {method} {path} to node {node}"
            self._record.write(what)
            try:
                status, _, _ = await call(
                    self._nodes[node], method, path, body=body, timeout=1.0
                )
            except OSError as error:
                status = f"no response ({error})"
            self._record.write(f"{what}: {status}")
            if status in range(200, 300):
                return self._record.now()
            number += 1
            await asyncio.sleep(0.2)
        return None

    async def read_config(self):
        """Ask each node once for the manifest; return the versions that were read."""
        versions = []
        for node, address in enumerate(self._nodes):
            try:
                status, _, body = await call(address, "GET", "/api/config", timeout=3.0)
            except OSError as error:
                status, body = f"no response ({error})", b""
            version = json.loads(body)["version"] if status == 200 else None
            shown = f", version {version}" if version else ""
            self._record.write(
                f"operator: GET /api/config to node {node}: {status}{shown}"
            )
            if version is not None:
                versions.append(version)
        return versions


class Replica:
    """A sound plain replica that registers itself, on asyncio.

    :param zone: its zone.
    :param service: name of its service.
    :ivar runs: pairs of the time and the id of each request that it ran.
    """

    def __init__(self, record, name, address, zone, service, nodes, slots=6):
        self.record = record
        self.id = name
        self.address = address
        self.zone = zone
        self.service = service
        self.slots = slots
        self.runs = []
        self.state = "ready"
        self._nodes = nodes
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._tasks = []
        self._server = None

    async def start(self):
        """Listen, and send heartbeats."""
        host, port = _split(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)
        self._tasks.append(asyncio.create_task(self._beat()))

    async def stop(self):
        """Close the listener, and stop the heartbeats."""
        for task in self._tasks:
            task.cancel()
        self._server.close()

    async def _beat(self):
        while True:
            self._sequence += 1
            beat = {
                "backend": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldLeftMs": 0,
                "born": self._born,
                "seq": self._sequence,
                **self.more_of_beat(),
            }
            body = json.dumps(beat).encode()
            for node in random.sample(self._nodes, len(self._nodes)):
                with contextlib.suppress(OSError):
                    path = f"/api/replicas/{self.id}"
                    status, _, _ = await call(node, "PUT", path, body=body)
                    if status in range(200, 300):
                        break
            await asyncio.sleep(HEARTBEAT_S)

    def more_of_beat(self):
        """Return further fields of heartbeats."""
        return {}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = _parse_headers(lines[1:])
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                await self.answer(writer, lines[0], headers, body)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def answer(self, writer, line, headers, body):
        """Run a request and answer it, or reject it if it is for another replica."""
        request_id = headers.get("request-id", "")
        if headers.get("expect-replica", self.id) != self.id:
            self.send(writer, 421, (("Request-Id", request_id),))
            return
        self.record_run(request_id)
        await asyncio.sleep(0.015)
        self.send_success(writer, request_id)

    def record_run(self, request_id):
        """Record that a request begins to run."""
        self.runs.append((self.record.now(), request_id))
        self.record.write(f"replica {self.id} (zone {self.zone}) runs {request_id}")

    def send_success(self, writer, request_id):
        """Send the whole answer to a request."""
        headers = (("Request-Id", request_id), ("Replica-Signature", self.id))
        self.send(writer, 200, headers, b"done")

    def send(self, writer, status, headers, body=b""):
        """Send an answer."""
        lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)


def make_manifest(version, services, routes, tenants=()):
    """Return a manifest.

    :param services: names of plain services.
    :param routes: dictionaries with the fields that differ from the defaults.
    """
    rows = [
        {
            "name": f"r{number}",
            "hostname": "dock.example",
            "pathPrefix": "/p/",
            "routeType": "idempotent",
            "timeoutMs": 600,
            "sloMs": 100,
            "priority": 2,
            "backend": services[0],
            "maxAttempts": 2,
            "public": False,
            "sticky": False,
            "resumable": False,
            "allowedRegions": [],
            **route,
        }
        for number, route in enumerate(routes)
    ]
    return {
        "version": version,
        "routes": rows,
        "backends": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 51,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 0.0,
                "coldPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": list(tenants),
    }


def is_troubled():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder, scenario):
    """Play a scenario, and exit with its result.

    :param folder: folder of the case.
    :param scenario: coroutine function that is given the :class:`Record` and the
        :class:`Fleet`, and returns whether the rule was broken.
    """
    # A shell may have had this process ignore it, which its children would inherit.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    # All processes are ended also if this one is.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    record = Record(folder)
    fleet = Fleet(record)
    code = NOT_RUN
    try:
        is_broken = asyncio.run(scenario(record, fleet))
        code = BROKEN if is_broken else HELD
    except (CaseError, OSError) as error:
        record.write(f"the case couldn't run: {error!r}")
    finally:
        fleet.close()
        words = {HELD: "the rule held", BROKEN: "the rule was broken"}
        record.write(f"result: {words.get(code, 'not run')}")
        record.close()
    sys.exit(code)
