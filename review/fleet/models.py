"""Stand-ins for a model replica and for the origin of its weights."""

import asyncio
import hashlib
import json
import random
from urllib.parse import parse_qs, urlsplit

from review.fleet import http
from review.fleet.outside import Replica, make_service

MODEL = "m1"
LAYERS = 16
CHUNKS = 96
CHUNK_BYTES = 4096
LOAD_SECONDS = 0.3


def make_chunk(version, index):
    """Return the bytes of a piece."""
    return random.Random(f"{version}/{index}").randbytes(CHUNK_BYTES)


def make_digests(version):
    """Return the hashes of all pieces of a version."""
    chunks = (make_chunk(version, index) for index in range(CHUNKS))
    return [hashlib.sha256(chunk).hexdigest() for chunk in chunks]


def make_model_service(name):
    """Return the service of the model replicas in a manifest."""
    runtime = {
        "slots": 16, "kvCapacity": 317000, "kvTokenBytes": 262144, "linkMbps": 400000.0,
        "stride": 5, "models": [{"name": MODEL, "pace": 1.0, "warmupS": 0.3}],
        "sizeMb": 149000.0, "loraSlots": 8, "loadsPerS": 0.0, "step_ms": 9.27,
        "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0,
        "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0, "loads_at_once": 8,
        "delays": [], "usual": {"prompt": 979, "answer": 92}, "layers": LAYERS,
        "layer_mb": 4090.0, "act_bytes": 16384, "pipe_mbps": 0.0,
        "chunkCount": CHUNKS, "blockBytes": CHUNK_BYTES,
    }  # fmt: skip
    return make_service(name, runtime=runtime)


class ModelReplica(Replica):
    """A model replica that holds version 1, staged and loaded, at its start."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.version = 1
        self.end_layer = LAYERS
        self.loaded_at = {}
        self.staged = {index: make_chunk(1, index) for index in range(CHUNKS)}
        self.is_busy = False
        self._tasks = set()

    def _layers(self):
        return {
            "phase": "unified",
            "models": [{"name": MODEL, "version": self.version, "loras": []}],
            "layers": {"from": 0, "target": self.end_layer, "version": self.version},
        }

    def describe(self):
        """Return the body of a heartbeat."""
        return {**super().describe(), **self._layers()}

    async def handle(self, request, writer):
        """Answer a call of the loader, or a request."""
        target = request.first[1]
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/report":
            self._answer_json(writer, 200, self._report())
        elif parts.path.startswith("/api/stage-get/"):
            data = self.staged.get(int(query["num"]))
            status = "404 Not Found" if data is None else "200 OK"
            writer.write(http.encode(f"HTTP/1.1 {status}", [], data or b""))
        elif parts.path.startswith("/api/stage-put/"):
            self.staged[int(query["num"])] = request.body
            writer.write(http.encode("HTTP/1.1 200 OK", []))
        elif parts.path == "/api/order":
            self._answer_json(writer, self._take_order(json.loads(request.body)), {})
        elif self._must_reject(request):
            headers = [("Request-Id", request.get("request-id")), ("Not-Executed", "1")]
            writer.write(http.encode("HTTP/1.1 421 Misdirected", headers))
        else:
            await self._generate(request, writer)

    async def _generate(self, request, writer):
        """Run a request whose answer is a stream of two events."""
        request_id = request.get("request-id")
        if request.get("expect-replica") != self.id:
            headers = [("Request-Id", request_id), ("Not-Executed", "1")]
            writer.write(http.encode("HTTP/1.1 421 Misdirected", headers))
            return
        self.arrivals.append((self.record.now, request_id))
        self.record.write(
            f"replica {self.id} runs {request_id} on version {self.version}"
        )
        await asyncio.sleep(self.work_seconds)
        headers = [
            ("Request-Id", request_id),
            ("Replica-Signature", f"{self.id}.1"),
            ("Weight-Versions", str(self.version)),
            ("Content-Type", "text/event-stream"),
        ]
        body = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        writer.write(http.encode("HTTP/1.1 200 OK", headers, body))

    def _report(self):
        return {
            "busy": self.is_busy, "seq": 0, "queued": 0, "active": 0, "kvInUse": 0,
            "kvSize": 317000, "kvHandles": 0, "pace": 1.0, **self._layers(),
        }  # fmt: skip

    def _must_reject(self, request):
        expected = request.get("expect-version")
        is_other = expected and int(expected) != self.version
        return self.is_busy or self.end_layer < LAYERS or is_other

    def _take_order(self, order):
        if self.is_busy:
            return 409
        end_layer = order.get("target", LAYERS)
        if order["version"] == self.version and end_layer <= self.end_layer:
            return 200
        self.is_busy = True
        staged = dict(self.staged)
        task = asyncio.create_task(self._load(order["version"], end_layer, staged))
        self._tasks.add(task)
        return 202

    async def _load(self, version, end_layer, staged):
        await asyncio.sleep(LOAD_SECONDS)
        digests = make_digests(version)[: -(-end_layer * CHUNKS // LAYERS)]
        is_whole = all(
            hashlib.sha256(staged.get(index, b"")).hexdigest() == digest
            for index, digest in enumerate(digests)
        )
        self.version, self.end_layer = version, end_layer
        self.is_busy = False
        at = self.record.write(
            f"replica {self.id} has loaded version {version} up to layer {end_layer}, "
            f"whole: {is_whole}"
        )
        if end_layer == LAYERS:
            self.loaded_at[version] = at

    def _answer_json(self, writer, status, document):
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json")]
        writer.write(http.encode(f"HTTP/1.1 {status} OK", headers, body))


class Origin:
    """The service that hands out the weights.

    :ivar spoils: which of its answers with hashes have a wrong digit, from 1.
    :ivar manifests: number of its answers with hashes.
    :ivar answers: number of its answers.
    :ivar spoilt: number of those that were spoilt.
    """

    def __init__(self, record, ip, port):
        self.record = record
        self.address = f"{ip}:{port}"
        self.spoils = ()
        self.manifests = 0
        self.answers = 0
        self.spoilt = 0

    def describe(self, name, zone):
        """Return its service in a manifest."""
        return {
            "name": name, "upstream": self.address, "zone": zone, "linkMbps": 100.0,
            "maxConns": 48,
        }  # fmt: skip

    async def start(self):
        """Serve."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        try:
            while (request := await http.read_message(reader)) is not None:
                writer.write(self._answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    def _answer(self, request):
        self.answers += 1
        parts = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        version = int(query["version"])
        if parts.path.startswith("/api/piece/"):
            return http.encode(
                "HTTP/1.1 200 OK", [], make_chunk(version, int(query["num"]))
            )
        digests = make_digests(version)
        self.manifests += 1
        if self.manifests in self.spoils:
            self.spoilt += 1
            index = random.randrange(CHUNKS)
            digit = "0" if digests[index][7] != "0" else "1"
            digests[index] = f"{digests[index][:7]}{digit}{digests[index][8:]}"
            self.record.write(
                f"origin spoils a digit of hash {index} of version {version}"
            )
        else:
            self.record.write(f"origin hands out the hashes of version {version}")
        document = {
            "model": MODEL, "version": version, "blockBytes": CHUNK_BYTES,
            "layers": LAYERS, "hashes": digests,
        }  # fmt: skip
        headers = [("Content-Type", "application/json")]
        return http.encode("HTTP/1.1 200 OK", headers, json.dumps(document).encode())
