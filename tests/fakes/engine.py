"""A fake model engine that crashes under overload and reports its load late.

It is cold after each start and then has a lower capacity.
"""

import hashlib
import json
import time
import uuid
from collections import Counter, deque

import anyio
from absl import flags

from banyanshore.http.asgi import Problem
from tests.fakes.common import break_off, parse_flags, serve

MAX_BODY_BYTES = 256 * 1024 * 1024


class FakeEngine:
    """Serve one model version; each token names the version that generated it."""

    def __init__(self, options):
        self.options = options
        self.chunks = {}
        self.crashes = 0
        self.causes = []
        self.refused_orders = 0
        self.highest_fence = (0, 0)
        self.runs = Counter()
        self.running = {}
        self.max_cold = 0
        self.peak = 0
        self.loads = []
        self.history = deque([(0.0, 0)])
        self.hang = False
        self.restart()
        self.actions = {
            "/v1/chat/completions": self.chat,
            "/health": self.health,
            "/admin/chunks/": self.put_chunk,
            "/admin/load": self.load,
            "/fake/stats": self.stats,
            "/fake/control": self.control,
        }

    def restart(self):
        self.incarnation = uuid.uuid4().hex[:8]
        self.model = ""
        self.version = ""
        self.down_until = 0.0
        self.completed = 0
        self.set_in_flight(0)

    def crash(self, cause):
        self.crashes += 1
        self.causes.append(cause)
        self.restart()
        self.down_until = time.monotonic() + self.options.down_seconds

    @property
    def is_cold(self):
        return self.completed < self.options.warm_after

    def set_in_flight(self, count):
        self.in_flight = count
        self.history.append((time.monotonic(), count))
        if len(self.history) > 10_000:
            self.history.popleft()

    def reported_in_flight(self):
        cutoff = time.monotonic() - self.options.report_lag
        return next((n for at, n in reversed(self.history) if at <= cutoff), 0)

    async def wait_until_available(self, request):
        if self.hang:
            await anyio.sleep(3600)
        if time.monotonic() < self.down_until:
            await break_off(request)

    async def health(self, request):
        await self.wait_until_available(request)
        await request.respond_json(
            200,
            {
                "incarnation": self.incarnation,
                "model": self.model,
                "model_version": self.version,
                "in_flight": self.reported_in_flight(),
            },
        )

    async def put_chunk(self, request):
        await self.wait_until_available(request)
        _, _, _, model, version, index = request.path.split("/")
        data = await request.read_body(MAX_BODY_BYTES)
        self.chunks[(model, version, int(index))] = data
        await request.respond_json(200, {})

    async def load(self, request):
        await self.wait_until_available(request)
        order = json.loads(await request.read_body(MAX_BODY_BYTES))
        fence = tuple(order["fence"])
        if self.options.checks_fence and fence < self.highest_fence:
            self.refused_orders += 1
            problem = Problem(409, "Old fence", f"{fence} < {self.highest_fence}")
            await request.respond_problem(problem)
            return
        self.highest_fence = max(fence, self.highest_fence)
        model, version = order["model"], order["version"]
        self.loads.append([model, version, list(fence)])
        for index, digest in enumerate(order["chunk_digests"]):
            data = self.chunks.get((model, version, index), b"")
            if hashlib.sha256(data).hexdigest() != digest:
                problem = Problem(422, "Wrong chunk", f"chunk {index}")
                await request.respond_problem(problem)
                return
        if version in self.options.bad_versions:
            await request.respond_problem(Problem(422, "Bad weights", version))
            return
        await anyio.sleep(self.options.load_seconds)
        await self.wait_until_available(request)
        self.model, self.version = model, version
        self.completed = 0
        self.chunks = {key: v for key, v in self.chunks.items() if key[1] == version}
        await request.respond_json(200, {"model": model, "model_version": version})

    async def chat(self, request):
        body = await request.read_body(MAX_BODY_BYTES)
        await self.wait_until_available(request)
        document = json.loads(body)
        echo = document["messages"][-1]["content"]
        if not self.version:
            await request.respond_problem(Problem(503, "No model loaded"))
            return
        self.runs[echo[:60]] += 1
        limit = self.options.capacity
        if self.is_cold:
            limit = self.options.cold_capacity
            self.max_cold = max(self.max_cold, self.in_flight + 1)
        if self.in_flight + 1 > limit or b"POISON" in body:
            # A poisoned request crashes the engine shortly after it starts. If another
            # crash ended this one meanwhile, it doesn't cause a second crash.
            incarnation = self.incarnation
            await anyio.sleep(0.05 if b"POISON" in body else 0)
            if incarnation != self.incarnation:
                await break_off(request)
            cause = "poison" if b"POISON" in body else f"{self.in_flight}/{limit}"
            self.crash(f"{cause} at {time.monotonic():.2f}")
            await break_off(request)
        incarnation = self.incarnation
        self.set_in_flight(self.in_flight + 1)
        self.peak = max(self.peak, self.in_flight)
        try:
            await self.generate(request, document, echo, incarnation)
        finally:
            if incarnation == self.incarnation:
                self.set_in_flight(self.in_flight - 1)

    async def generate(self, request, document, echo, incarnation):
        options = self.options
        count = document.get("max_tokens", options.tokens)
        streamed = document.get("stream", False)
        slowdown = options.cold_factor if self.is_cold else 1.0
        tokens = []
        started_version = self.version
        for index in range(count):
            delay = options.ttft * slowdown if index == 0 else options.token_seconds
            await anyio.sleep(delay)
            if incarnation != self.incarnation:
                await break_off(request)
            token = f"{self.version}|{echo}|{index} "
            tokens.append(token)
            if streamed:
                await self.send_event(request, token, started_version)
        self.completed += 1
        if streamed:
            await request.send_body(b"data: [DONE]\n\n", more=False)
            return
        document = {
            "model": self.model,
            "choices": [{"message": {"role": "assistant", "content": "".join(tokens)}}],
        }
        headers = [(b"x-model-version", started_version.encode())]
        await request.respond_json(200, document, headers)

    async def send_event(self, request, token, version):
        if not request.response_started:
            headers = [
                (b"content-type", b"text/event-stream"),
                (b"x-model-version", version.encode()),
            ]
            await request.start(200, headers)
        event = json.dumps({"choices": [{"delta": {"content": token}}]})
        await request.send_body(f"data: {event}\n\n".encode())

    async def stats(self, request):
        await request.respond_json(
            200,
            {
                "falls": self.crashes,
                "causes": self.causes,
                "refused_orders": self.refused_orders,
                "max_cold": self.max_cold,
                "peak": self.peak,
                "in_flight": self.in_flight,
                "version": self.version,
                "runs": self.runs,
                "loads": self.loads,
                "completed": self.completed,
            },
        )

    async def control(self, request):
        order = json.loads(await request.read_body(MAX_BODY_BYTES))
        if order["action"] == "crash":
            self.crash("ordered")
        elif order["action"] == "cold":
            self.completed = 0
        elif order["action"] == "hang":
            self.hang = order["on"]
        await request.respond_json(200, {})


def define(values):
    flags.DEFINE_integer("capacity", 8, "Capacity when warm.", flag_values=values)
    flags.DEFINE_integer("cold_capacity", 1, "Capacity when cold.", flag_values=values)
    flags.DEFINE_integer("warm_after", 3, "Requests until warm.", flag_values=values)
    flags.DEFINE_float("cold_factor", 3.0, "Cold slowdown.", flag_values=values)
    flags.DEFINE_float("ttft", 0.05, "Time to first token.", flag_values=values)
    flags.DEFINE_float("token_seconds", 0.01, "Time per token.", flag_values=values)
    flags.DEFINE_integer("tokens", 10, "Tokens per answer.", flag_values=values)
    flags.DEFINE_float("load_seconds", 0.2, "Time to load.", flag_values=values)
    flags.DEFINE_float("down_seconds", 1.0, "Time down.", flag_values=values)
    flags.DEFINE_float("report_lag", 0.5, "Lag of reports.", flag_values=values)
    flags.DEFINE_bool("checks_fence", True, "Refuse stale loads.", flag_values=values)
    flags.DEFINE_list("bad_versions", [], "Fail to load.", flag_values=values)


if __name__ == "__main__":
    options = parse_flags(define)
    serve(FakeEngine(options), options.port)
