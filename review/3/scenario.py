"""A loader orders a load of staged weights that it checked before it was frozen."""

import asyncio
import hashlib
import json
import random
import signal
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

from review.harness import (
    CaseError,
    Operator,
    Replica,
    call,
    is_troubled,
    make_manifest,
    play,
)

SERVICE, ORIGIN, MODEL, ZONE = "llm", "store", "m1", "a"
# As on the sites: 96 pieces of 24,576 bytes, 16 layers, loaded in 0.3 s.
PIECES, PIECE_BYTES, LAYERS, WARMUP_SECONDS = 96, 24_576, 16, 0.3
# Seconds for which the loader's machine is frozen; mapahogar freezes them for 4 s.
FREEZE_SECONDS = 4.0
# The freeze begins this many seconds after the loader has read the last piece; it sends
# its order 0.08 s after that (NOTICE_SECONDS in loader/driver.py).
FREEZE_AFTER_SECONDS = 0.03
# The piece that turns bad, and seconds from the start of the freeze until it does.
BAD_PIECE, BAD_AFTER_SECONDS = 5, 0.3
# A layer may hold a piece that has turned bad in the last 3 s (rule WHOLE).
EXCUSED_SECONDS = 3.0
TRAFFIC_SECONDS = 30.0


def make_piece(version, number):
    """Return the bytes of a piece."""
    return random.Random(f"{version}/{number}").randbytes(PIECE_BYTES)


def digest(data):
    """Return the digest of a piece as in the origin's manifest."""
    return hashlib.sha256(data).hexdigest()


class Origin(Replica):
    """The service that stores the weights; it doesn't register."""

    async def start(self):
        """Listen only."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def answer(self, writer, line, headers, body):
        """Answer a request for digests or for a piece."""
        parts = urlsplit(line.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        version = int(query.get("version", 1))
        if parts.path.startswith("/api/manifest/"):
            hashes = [digest(make_piece(version, n)) for n in range(PIECES)]
            document = {
                "model": MODEL,
                "version": version,
                "blockBytes": PIECE_BYTES,
                "layers": LAYERS,
                "hashes": hashes,
            }
            self.send(writer, 200, (), json.dumps(document).encode())
        else:
            self.send(writer, 200, (), make_piece(version, int(query["num"])))


class ModelReplica(Replica):
    """A sound model replica with a staging area.

    :ivar loader: the :class:`~review.harness.Program` of its loader.
    :ivar spoilt_tokens: descriptions of tokens made with a spoilt layer.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments, slots=16)
        self.loader = None
        self.spoilt_tokens = []
        self.version = 1
        self.staged = {n: make_piece(1, n) for n in range(PIECES)}
        self.digests = {2: [digest(make_piece(2, n)) for n in range(PIECES)]}
        self.busy_until = 0.0
        self.bad_layers = ""
        self._spoilt_at = {}
        self._has_frozen = False
        self._orders = 0

    def more_of_beat(self):
        """Return the fields about the weights."""
        layers = {"from": 0, "target": LAYERS, "version": self.version}
        models = [{"name": MODEL, "version": self.version, "loras": []}]
        return {"phase": "unified", "models": models, "layers": layers}

    async def answer(self, writer, line, headers, body):
        """Answer a call of the loader, or run a request."""
        _, target, _ = line.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/report":
            document = {
                **self.more_of_beat(),
                "busy": self.record.now() < self.busy_until,
                "seq": self._orders,
                "queued": 0,
                "active": 0,
                "pace": 1.0,
            }
            self.send(writer, 200, (), json.dumps(document).encode())
        elif parts.path.startswith("/api/stage-put/"):
            self.staged[int(query["num"])] = body
            self._spoilt_at.pop(int(query["num"]), None)
            self.send(writer, 200, ())
        elif parts.path.startswith("/api/stage-get/"):
            await self._send_staged(writer, int(query["num"]))
        elif parts.path == "/api/order":
            self._load(writer, json.loads(body))
        else:
            await self._run(writer, headers)

    async def _send_staged(self, writer, number):
        data = self.staged[number]
        self.send(writer, 200, (), data)
        if number != PIECES - 1 or self._has_frozen or not self._is_complete():
            return
        self._has_frozen = True
        self.record.write(f"the loader has checked staged pieces 0 to {number}")
        if is_troubled():
            asyncio.get_running_loop().create_task(self._disturb())

    def _is_complete(self):
        return all(digest(self.staged[n]) == self.digests[2][n] for n in range(PIECES))

    async def _disturb(self):
        await asyncio.sleep(FREEZE_AFTER_SECONDS)
        self.loader.signal(signal.SIGSTOP)
        self.record.write(f"{self.loader.name} freezes")
        await asyncio.sleep(BAD_AFTER_SECONDS)
        piece = bytearray(self.staged[BAD_PIECE])
        piece[0] ^= 0xFF
        self.staged[BAD_PIECE] = bytes(piece)
        self._spoilt_at[BAD_PIECE] = self.record.now()
        self.record.write(f"staged piece {BAD_PIECE} turns bad")
        await asyncio.sleep(FREEZE_SECONDS - BAD_AFTER_SECONDS)
        self.loader.signal(signal.SIGCONT)
        self.record.write(f"{self.loader.name} is awake again")

    def _load(self, writer, order):
        """Accept an order, and take the staged pieces as they are now."""
        self.record.write(f"replica {self.id} accepts the order {json.dumps(order)}")
        self._orders += 1
        version, now = order["version"], self.record.now()
        bad = []
        for number in range(PIECES):
            is_good = digest(self.staged[number]) == self.digests[version][number]
            since = now - self._spoilt_at.get(number, now)
            if not is_good and (
                since > EXCUSED_SECONDS or number not in self._spoilt_at
            ):
                bad.append(f"piece {number}, bad for {since:.2f} s")
        self.bad_layers = "; ".join(bad)
        self.busy_until = now + WARMUP_SECONDS
        self.version = version
        self.send(writer, 202, ())

    async def _run(self, writer, headers):
        request_id = headers.get("request-id", "")
        expected = headers.get("expect-version", str(self.version))
        is_other = headers.get("expect-replica", self.id) != self.id
        if is_other or expected != str(self.version):
            self.send(writer, 421, (("Request-Id", request_id),))
            return
        await asyncio.sleep(max(0.0, self.busy_until - self.record.now()))
        self.record_run(request_id)
        if self.bad_layers:
            text = f"token of {request_id} made with version {self.version}, of which "
            self.spoilt_tokens.append(text + self.bad_layers)
            self.record.write(self.spoilt_tokens[-1])
        head = (
            ("Request-Id", request_id),
            ("Replica-Signature", self.id),
            ("Weight-Versions", str(self.version)),
            ("Content-Type", "text/event-stream"),
        )
        self.send(writer, 200, head, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")


def model_manifest(origin_address):
    """Return the manifest with a model service and the origin of its weights."""
    route = {
        "routeType": "streaming",
        "timeoutMs": 6000,
        "sloMs": 405,
        "itlTargetMs": 400,
        "sticky": True,
        "resumable": True,
    }
    manifest = make_manifest(1, [SERVICE], [route])
    manifest["backends"][0]["runtime"] = {
        "slots": 16,
        "kvCapacity": 317000,
        "stride": 5,
        "models": [{"name": MODEL, "pace": 1.0, "loadS": 4.0, "warmupS": 0.3}],
        "step_ms": 9.27,
        "per_seq_ms": 0.0232,
        "context_per_k": 0.0322,
        "read_per_s": 20700.0,
        "pairs_per_m": 1.18,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 979, "answer": 92},
        "layers": LAYERS,
        "layer_mb": 4090.0,
        "chunkCount": PIECES,
        "blockBytes": PIECE_BYTES,
    }
    manifest["backends"].append(
        {
            "name": ORIGIN,
            "upstream": origin_address,
            "zone": ZONE,
            "linkMbps": 7.3,
            "maxConns": 48,
        }
    )
    return manifest


async def send_requests(record, gateway, seconds):
    """Send a request each 0.25 s for some seconds."""
    for number in range(int(seconds / 0.25)):
        headers = (
            ("Host", "dock.example"),
            ("Request-Id", f"{number:016x}"),
            ("Deadline-Ms", "6080"),
            ("Model", MODEL),
            ("Token-Usage", "607,80"),
        )
        try:
            status, answer, _ = await call(
                gateway, "POST", "/p/x", headers, b"{}", timeout=6.5
            )
            version = answer.get("weight-versions", "none")
        except OSError as error:
            status, version = f"no answer ({error})", "none"
        record.write(f"client: request {number:016x}: {status}, weights {version}")
        await asyncio.sleep(0.25)


async def scenario(record, fleet):
    """Return whether a token was made with a layer that was taken spoilt."""
    fleet.start_control()
    fleet.start_gateway(ZONE)
    origin_address = fleet.replica_address(9)
    origin = Origin(record, "origin", origin_address, ZONE, ORIGIN, fleet.control)
    await origin.start()
    operator = Operator(record, fleet.control)
    manifest = model_manifest(origin_address)
    if await operator.order("PUT", "/api/config", manifest) is None:
        raise CaseError("the manifest was not acknowledged")
    address = fleet.replica_address(0)
    replica = ModelReplica(record, "i-1", address, ZONE, SERVICE, fleet.control)
    await replica.start()
    replica.loader = fleet.start_loader(ZONE, SERVICE, address)
    await asyncio.sleep(6.0)
    document = {"model": MODEL, "version": 2}
    if await operator.order("POST", "/api/version-put", document) is None:
        raise CaseError("the version was not acknowledged")
    await send_requests(record, fleet.gateways[0], TRAFFIC_SECONDS)
    if replica.version != 2:
        raise CaseError("version 2 was not loaded")
    record.write(f"{len(replica.spoilt_tokens)} tokens were made with a spoilt layer")
    return bool(replica.spoilt_tokens)


if __name__ == "__main__":
    play(Path(__file__).parent, scenario)
