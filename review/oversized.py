"""One request that is too large closes all replicas of a model for minutes; no case.

No rule in capitals is broken, since all refusals are honest 503s; see REPORT.md. Run it
with ``python3 -m review.oversized FOLDER``; it writes ``record.txt`` there, and exits
with 1 if requests of usual size are refused.
"""

import asyncio
import importlib
import sys

from review.harness import Operator, call, play

weights = importlib.import_module("review.3.scenario")
# PROTOCOL.md: "A request that is larger than a replica's memory is rejected as if it
# were full." The memory holds 317,000 tokens.
CAPACITY_TOKENS = 317_000
USUAL, TOO_LARGE = "607,80", "400000,80"
WATCH_SECONDS = 100


class SmallReplica(weights.ModelReplica):
    """A sound replica that rejects requests larger than its memory."""

    async def answer(self, writer, line, headers, body):
        """Reject a request that is too large, and handle any other."""
        tokens = int(headers.get("token-usage", "0,0").partition(",")[0])
        if tokens <= CAPACITY_TOKENS:
            await super().answer(writer, line, headers, body)
            return
        request_id = headers["request-id"]
        self.record.write(f"replica {self.id} rejects {request_id}")
        self.send(writer, 503, (("Request-Id", request_id), ("Not-Executed", "1")))


async def send(record, gateway, request_id, usage):
    """Send a request; return the status of its answer."""
    headers = (
        ("Host", "dock.example"),
        ("Request-Id", request_id),
        ("Deadline-Ms", "6080"),
        ("Model", weights.MODEL),
        ("Token-Usage", usage),
    )
    status, _, _ = await call(gateway, "POST", "/p/x", headers, b"{}", timeout=6.5)
    record.write(f"client: request {request_id} of {usage} tokens: {status}")
    return status


async def scenario(record, fleet):
    """Return whether requests of usual size are refused after one too large."""
    fleet.start_control()
    fleet.start_gateway(weights.ZONE)
    address = fleet.replica_address(9)
    origin = weights.Origin(record, "origin", address, "a", "store", fleet.control)
    await origin.start()
    operator = Operator(record, fleet.control)
    await operator.order("PUT", "/api/config", weights.model_manifest(address))
    for number in range(2):
        replica = SmallReplica(
            record,
            f"i-{number}",
            fleet.replica_address(number),
            weights.ZONE,
            weights.SERVICE,
            fleet.control,
        )
        await replica.start()
    await asyncio.sleep(5.0)
    gateway = fleet.gateways[0]
    before = [await send(record, gateway, f"before-{n}", USUAL) for n in range(4)]
    await send(record, gateway, "too-large", TOO_LARGE)
    after = []
    for number in range(WATCH_SECONDS):
        after.append(await send(record, gateway, f"after-{number}", USUAL))
        await asyncio.sleep(1.0)
    served = after.count(200)
    record.write(f"before: {before}; after: {served} of {len(after)} served")
    return served < len(after) / 2


if __name__ == "__main__":
    play(sys.argv[1], scenario)
