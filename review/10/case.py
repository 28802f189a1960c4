"""A report that names no replica puts a real one out of use, as long as it comes."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.fleet import http
from review.fleet.outside import (
    HEARTBEAT_SECONDS,
    Consumer,
    Replica,
    make_manifest,
    make_route,
    make_service,
)
from review.fleet.play import HAS_TROUBLE, CannotRunError, Deployment, play

RECOVERY_SECONDS = 12.0
DOWN_SECONDS = 0.8
COUNTED_BEFORE = 5.0
COUNTED_AFTER = 20.0


async def run(record, fleet):
    """Return whether the rule held."""
    deployment = Deployment(record, fleet)
    replica = Replica(record, fleet.next_ip(), fleet.port + 5, "desk", fleet.controls)
    deployment.start()
    routes = [make_route("r", "shop.example", "/orders/", "desk", public=True)]
    manifest = make_manifest(1, routes, [make_service("desk")])
    await deployment.declare(manifest)
    await replica.start()
    await deployment.wait_until_ready()
    await asyncio.sleep(4.0)
    consumer = Consumer(record, "shop.example")
    before = await count(consumer, deployment.callers, COUNTED_BEFORE)
    if not all(before):
        raise CannotRunError("not all requests were served before the final fault")
    await deployment.declare({**manifest, "version": 2})
    writing = None
    if HAS_TROUBLE:
        record.write("all processes are killed")
        await deployment.restart(fleet.processes, DOWN_SECONDS)
        record.write("all processes are started again")
        writing = asyncio.create_task(write_forever(record, replica, fleet.controls))
    back_at = record.now
    await asyncio.sleep(RECOVERY_SECONDS)
    after = await count(consumer, deployment.callers, COUNTED_AFTER)
    if writing is not None:
        writing.cancel()
    deployment.check_running()
    record.write(
        f"{sum(before)} of {len(before)} requests were served before, {sum(after)} of "
        f"{len(after)} from {back_at + RECOVERY_SECONDS:.3f} on"
    )
    return 4 * sum(after) >= len(after)


async def write_forever(record, replica, controls):
    """Report as another writer, as often as a replica does, at one node at a time."""
    started_at = int(time.time() * 1000)
    for sequence in range(1, 1000):
        body = {
            **replica.describe(), "backend": "another-service", "born": started_at,
            "seq": sequence,
        }  # fmt: skip
        node = controls[sequence % len(controls)]
        try:
            status, _ = await http.call_json(
                node, "PUT", "/api/replicas/i-0000beef", body
            )
        except (OSError, TimeoutError):
            status = 0
        record.write(f"another writer reports to {node}: {status}")
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def count(consumer, callers, seconds):
    """Send 2 requests a second to each gateway; return which ones were served."""
    tasks = []
    for _ in range(int(2 * seconds)):
        for caller in callers:
            sending = consumer.send(caller, "/orders/1")
            tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(0.5)
    return [status == 200 for _, status in await asyncio.gather(*tasks)]


play(__file__, run)
