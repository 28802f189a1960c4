"""A fake model replica and origin of weights with the platform's HTTP API.

As a replica (with ``--control``) it registers with control, answers requests, stores
staged chunks and loads versions. As an origin it serves chunks of any version.
"""

import argparse
import hashlib
import itertools
import json
import random
import threading
import time
import urllib.error
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

CHUNKS = 12
CHUNK_BYTES = 4096
LAYERS = 4
MODEL = "m1"


def make_chunk(version, index):
    return random.Random(f"{version}/{index}").randbytes(CHUNK_BYTES)


def digests(version):
    return [
        hashlib.sha256(make_chunk(version, index)).hexdigest()
        for index in range(CHUNKS)
    ]


class Replica:
    """The state of a replica and its heartbeats to control."""

    def __init__(self, options):
        self.options = options
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.version = options.version
        self.end_layer = LAYERS
        self.staged = {i: make_chunk(1, i) for i in range(CHUNKS) if options.version}
        self.runs = []
        self.state = "ready"
        self.sequence = 0
        self.loads = []

    def layers(self):
        if not self.version:
            return {"models": []}
        return {
            "models": [{"name": MODEL, "version": self.version, "loras": []}],
            "layers": {
                "from": 0, "target": self.end_layer, "version": self.version
            },
        }  # fmt: skip

    def load(self, version, end_layer):
        """Load the staged chunks; record the version and whether it was complete."""
        end_chunk = -(-end_layer * CHUNKS // LAYERS)
        complete = all(
            hashlib.sha256(self.staged.get(index, b"")).hexdigest() == digest
            for index, digest in enumerate(digests(version)[:end_chunk])
        )
        self.loads.append((version, complete))
        self.version = version
        self.end_layer = end_layer

    def send_heartbeats(self):
        nodes = itertools.cycle(self.options.control.split(","))
        while True:
            self.sequence += 1
            body = {
                "backend": "llm", "address": f"127.0.0.1:{self.options.port}",
                "zone": self.options.zone, "version": "v1", "slots": 4,
                "state": self.state, "coldLeftMs": 0, "seq": self.sequence,
                "born": self.born, "phase": "unified", **self.layers(),
            }  # fmt: skip
            for _ in range(3):
                if self._put(next(nodes), body):
                    break
            time.sleep(0.3)

    def _put(self, node, body):
        request = urllib.request.Request(
            f"http://{node}/api/replicas/{self.id}",
            json.dumps(body).encode(),
            {"content-type": "application/json"},
            method="PUT",
        )
        try:
            with urllib.request.urlopen(request, timeout=1) as answer:
                return answer.status == 200
        except (OSError, urllib.error.URLError):
            return False


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    replica = None

    def log_message(self, *arguments):
        pass

    def do_GET(self):
        parts = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path.startswith("/api/manifest/"):
            version = int(query["version"])
            self.answer_json({
                "model": MODEL, "version": version, "blockBytes": CHUNK_BYTES,
                "layers": LAYERS, "hashes": digests(version),
            })  # fmt: skip
        elif parts.path.startswith("/api/piece/"):
            self.answer(200, make_chunk(int(query["version"]), int(query["num"])))
        elif parts.path == "/api/report":
            self.answer_json(
                {"busy": False, "queued": 0, "active": 0, **self.replica.layers()}
            )
        elif parts.path.startswith("/api/stage-get/"):
            data = self.replica.staged.get(int(query["num"]))
            self.answer(404 if data is None else 200, data or b"")
        elif parts.path == "/stats":
            replica = self.replica
            self.answer_json(
                {"runs": replica.runs, "loads": replica.loads, "id": replica.id}
            )
        else:
            self.run_request()

    def do_PUT(self):
        body = self.rfile.read(int(self.headers["content-length"]))
        index = int(parse_qs(urlsplit(self.path).query)["num"][0])
        self.replica.staged[index] = body
        self.answer(200, b"")

    def do_POST(self):
        if self.path != "/api/order":
            self.run_request()
            return
        order = json.loads(self.rfile.read(int(self.headers["content-length"])))
        self.replica.load(order["version"], order.get("target", LAYERS))
        self.answer(202, b"")

    def run_request(self):
        self.rfile.read(int(self.headers.get("content-length", 0)))
        replica = self.replica
        expected = self.headers.get("Expect-Version")
        is_other = self.headers.get("Expect-Replica") != replica.id
        is_other = is_other or replica.end_layer < LAYERS
        if is_other or (expected and int(expected) != replica.version):
            self.answer(421, b"")
            return
        request_id = self.headers["Request-Id"]
        replica.runs.append([request_id, replica.version, self.headers.get("Tenant")])
        headers = {"Replica-Signature": "s", "Request-Id": request_id}
        self.answer(200, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", headers)

    def answer_json(self, document):
        self.answer(200, json.dumps(document).encode())

    def answer(self, status, body, headers=()):
        self.send_response(status)
        for name, value in dict(headers).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int)
    parser.add_argument("--control", default="")
    parser.add_argument("--zone", default="a")
    parser.add_argument("--version", type=int, default=0)
    options = parser.parse_args()
    Handler.replica = Replica(options)
    if options.control:
        threading.Thread(target=Handler.replica.send_heartbeats, daemon=True).start()
    ThreadingHTTPServer(("127.0.0.1", options.port), Handler).serve_forever()


if __name__ == "__main__":
    main()
