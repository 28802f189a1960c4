"""A wrong digit in a list of hashes ends the service of a model for good."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.fleet.models import (
    MODEL,
    ModelReplica,
    Origin,
    make_model_service,
)
from review.fleet.outside import Consumer, make_manifest, make_route
from review.fleet.play import HAS_TROUBLE, CannotRunError, Deployment, play

RECOVERY_SECONDS = 12.0
DOWN_SECONDS = 0.8
# Seconds for which requests are counted before the final fault, and after recoveryS.
COUNTED_BEFORE = 5.0
COUNTED_AFTER = 30.0
HEADERS = [("Model", MODEL), ("Token-Usage", "600,90"), ("Prefix-Hash", "5c1e:600")]


async def run(record, fleet):
    """Return whether the rule held."""
    deployment = Deployment(record, fleet, "ab")
    replica = ModelReplica(
        record, fleet.next_ip(), fleet.port + 5, "llm", fleet.controls
    )
    origin = Origin(record, fleet.next_ip(), fleet.port + 6)
    fleet.add_loader(0, replica.address, "llm")
    await origin.start()
    await replica.start()
    deployment.start()
    route = make_route(
        "r", "shop.example", "/chat/", "llm", "streaming", resumable=True, public=True
    )
    services = [make_model_service("llm"), origin.describe("weights", "a")]
    await deployment.declare(make_manifest(1, [route], services))
    await deployment.wait_until_ready()
    await asyncio.sleep(4.0)
    consumer = Consumer(record, "shop.example")
    before = await count(consumer, deployment.callers, COUNTED_BEFORE)
    if not all(before):
        raise CannotRunError("not all requests were served before the final fault")
    answers_before = origin.answers
    order = {"model": MODEL, "version": 2}
    if await deployment.operator.order("POST", "/api/version-put", order) is None:
        raise CannotRunError("the version has no ack")
    if HAS_TROUBLE:
        record.write("all processes are killed")
        await deployment.restart(fleet.processes, DOWN_SECONDS)
        record.write("all processes are started again")
        # The first list that the loader asks for, and that of the gateway that passes
        # weights on; nothing else, before or after.
        origin.spoils = (origin.manifests + 1, origin.manifests + 2)
    back_at = record.now
    await asyncio.sleep(RECOVERY_SECONDS)
    after = await count(consumer, deployment.callers, COUNTED_AFTER)
    deployment.check_running()
    record.write(
        f"{sum(before)} of {len(before)} requests were served before the version was "
        f"named, {sum(after)} of {len(after)} after {back_at + RECOVERY_SECONDS:.3f}; "
        f"{origin.spoilt} of {origin.answers - answers_before} answers of the origin "
        f"were spoilt"
    )
    return 4 * sum(after) >= len(after)


async def count(consumer, callers, seconds):
    """Send 2 requests a second to each gateway; return which ones were served."""
    tasks = []
    for _ in range(int(2 * seconds)):
        for caller in callers:
            sending = consumer.send(caller, "/chat/1", "POST", b"prompt", HEADERS)
            tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(0.5)
    return [status == 200 for _, status in await asyncio.gather(*tasks)]


play(__file__, run)
