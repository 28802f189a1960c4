"""A fake plain service with requests that aren't idempotent."""

import json
from collections import Counter

import anyio
from absl import flags

from tests.fakes.common import break_off, parse_flags, serve

MAX_BODY_BYTES = 16 * 1024 * 1024
LARGE_MEGABYTES = 200


class FakeService:
    """Accept orders and count how often each one is run."""

    def __init__(self, options):
        self.options = options
        self.runs = Counter()
        self.actions = {
            "/orders": self.order,
            "/health": self.health,
            "/items": self.item,
            "/fake/stats": self.stats,
        }

    async def health(self, request):
        await request.respond_json(200, {"incarnation": "plain"})

    async def order(self, request):
        body = await request.read_body(MAX_BODY_BYTES)
        name = json.loads(body).get("name", "")
        self.runs[name] += 1
        await anyio.sleep(json.loads(body).get("seconds", self.options.seconds))
        if "BREAK" in name:
            await break_off(request)
        document = {"order": name, "run": self.runs[name]}
        if length := json.loads(body).get("padding"):
            document["padding"] = "x" * length
        await request.respond_json(201, document)

    async def item(self, request):
        await anyio.sleep(self.options.seconds)
        if request.path.endswith("/broken-off"):
            # Send more than an entry buffers, then abort the response.
            await request.start(200, [(b"content-type", b"text/plain")])
            for _ in range(6):
                await request.send_body(b"x" * 1024 * 1024)
            await break_off(request)
        if request.path.endswith("/large"):
            await request.start(200, [(b"content-type", b"application/octet-stream")])
            for _ in range(LARGE_MEGABYTES):
                await request.send_body(b"x" * 1024 * 1024)
            await request.send_body(b"", more=False)
            return
        document = {"path": request.path}
        if length := request.get_header("x-padding"):
            document["padding"] = "x" * int(length)
        await request.respond_json(200, document)

    async def stats(self, request):
        await request.respond_json(200, {"runs": self.runs})


def define(values):
    flags.DEFINE_float("seconds", 0.02, "Time per call.", flag_values=values)


if __name__ == "__main__":
    options = parse_flags(define)
    serve(FakeService(options), options.port)
