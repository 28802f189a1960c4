"""A key that a manifest takes away goes on working if it was the last tenant's."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.fleet.outside import (
    Consumer,
    Replica,
    make_manifest,
    make_route,
    make_service,
)
from review.fleet.play import HAS_TROUBLE, CannotRunError, Deployment, play

REVOKE_SECONDS = 5.0
KEY = "jnbanfqasnmgkcuyj8pj"
FOREIGN_KEY = "bvk9m68k7b2ex5wa5xwy"


async def run(record, fleet):
    """Return whether the rule held."""
    deployment = Deployment(record, fleet)
    replica = Replica(record, fleet.next_ip(), fleet.port + 5, "desk", fleet.controls)
    deployment.start()
    routes = [make_route("r", "shop.example", "/orders/", "desk")]
    services = [make_service("desk")]
    tenant = {"name": "t1", "apiKeys": [KEY], "priority": 1, "allowedRegions": []}
    await deployment.declare(make_manifest(1, routes, services, [tenant]))
    await replica.start()
    await deployment.wait_until_ready()
    await asyncio.sleep(4.0)
    holder = Consumer(record, "shop.example", KEY)
    stranger = Consumer(record, "shop.example", FOREIGN_KEY)
    caller = deployment.callers[0]
    _, served = await holder.send(caller, "/orders/1")
    _, refused = await stranger.send(caller, "/orders/1")
    if (served, refused) != (200, 401):
        raise CannotRunError(f"statuses before the change: {served}, {refused}")
    # The tenant leaves, and with it the last key.
    tenants = [] if HAS_TROUBLE else [tenant]
    await deployment.declare(make_manifest(2, routes, services, tenants))
    await asyncio.sleep(REVOKE_SECONDS + 1.0)
    sent = []
    for _ in range(20):
        for address in deployment.callers:
            # With the tenant in the manifest, only a key that no manifest ever held
            # must not run.
            consumer = holder if HAS_TROUBLE else stranger
            request_id, _ = await consumer.send(address, "/orders/1")
            sent.append(request_id)
        await asyncio.sleep(0.1)
    deployment.check_running()
    have_run = {request_id for _, request_id in replica.arrivals}
    ran = [request_id for request_id in sent if request_id in have_run]
    record.write(
        f"{len(ran)} of {len(sent)} requests ran whose key no manifest in force holds"
    )
    return not ran


play(__file__, run)
