"""A fake origin with a rate limit that can corrupt, stall and replace weights."""

import json
import random
import time

import anyio
from absl import flags

from banyanshore.http.asgi import Problem
from banyanshore.weights.manifest import make_manifest
from tests.fakes.common import parse_flags, serve

PIECE_BYTES = 32 * 1024


def make_weights(model, version, size):
    """Return weights that depend only on the model, version and size."""
    return random.Random(f"{model}/{version}").randbytes(size)


class FakeOrigin:
    """Serve ``/models/NAME/VERSION/manifest`` and ``.../weights``."""

    def __init__(self, options):
        self.options = options
        self.sent = 0
        self.requests = 0
        self.next_send_at = 0.0
        self.corrupt_every = options.corrupt_every
        self.stall_every = options.stall_every
        self.replaced = {}
        self.actions = {
            "/models/": self.serve_model,
            "/fake/stats": self.stats,
            "/fake/control": self.control,
        }

    async def serve_model(self, request):
        _, _, model, version, kind = request.path.split("/")
        data = make_weights(model, version, self.options.size)
        if kind == "manifest":
            manifest = make_manifest(model, version, data, self.options.chunk_bytes)
            await request.respond(200, manifest.content, "application/json")
            return
        if version in self.replaced:
            data = make_weights(model, self.replaced[version], self.options.size)
        await self.serve_range(request, data)

    async def serve_range(self, request, data):
        first, _, last = (
            request.get_header("range").removeprefix("bytes=").partition("-")
        )
        if not first:
            await request.respond_problem(Problem(400, "Range required"))
            return
        piece = bytearray(data[int(first) : int(last) + 1])
        self.requests += 1
        if self.corrupt_every and self.requests % self.corrupt_every == 0:
            piece[len(piece) // 2] ^= 0xFF
        headers = [(b"content-length", str(len(piece)).encode())]
        await request.start(206, headers)
        if self.stall_every and self.requests % self.stall_every == 0:
            await anyio.sleep(3600)
        for start in range(0, len(piece), PIECE_BYTES):
            part = bytes(piece[start : start + PIECE_BYTES])
            await self.pace(len(part))
            await request.send_body(part)
        await request.send_body(b"", more=False)

    async def pace(self, count):
        now = time.monotonic()
        self.next_send_at = max(now, self.next_send_at)
        self.next_send_at += count / self.options.bytes_per_second
        self.sent += count
        await anyio.sleep(self.next_send_at - now)

    async def stats(self, request):
        await request.respond_json(200, {"sent": self.sent, "requests": self.requests})

    async def control(self, request):
        order = json.loads(await request.read_body(PIECE_BYTES))
        self.corrupt_every = order.get("corrupt_every", self.corrupt_every)
        self.stall_every = order.get("stall_every", self.stall_every)
        self.replaced.update(order.get("replace", {}))
        await request.respond_json(200, {})


def define(values):
    flags.DEFINE_integer("size", 2_000_000, "Bytes of weights.", flag_values=values)
    flags.DEFINE_integer("chunk_bytes", 65_536, "Bytes per chunk.", flag_values=values)
    flags.DEFINE_float("bytes_per_second", 4e6, "Link rate.", flag_values=values)
    flags.DEFINE_integer("corrupt_every", 0, "Corrupt every nth.", flag_values=values)
    flags.DEFINE_integer("stall_every", 0, "Stall every nth.", flag_values=values)


if __name__ == "__main__":
    options = parse_flags(define)
    serve(FakeOrigin(options), options.port)
