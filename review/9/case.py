"""Kept channels go on with the limit of heads of an earlier manifest."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.fleet import http
from review.fleet.outside import Replica, make_manifest, make_route, make_service
from review.fleet.play import HAS_TROUBLE, CannotRunError, Deployment, play

APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
FIRST_LIMIT = 16384
LATER_LIMIT = 65536
# The longest head that is sent, within the later limit.
HEAD_BYTES = 24_000
CHANNELS = 20
_ids = (f"{number:016x}" for number in itertools.count(1))


async def run(record, fleet):
    """Return whether the rule held."""
    deployment = Deployment(record, fleet)
    replica = Replica(record, fleet.next_ip(), fleet.port + 5, "desk", fleet.controls)
    deployment.start()
    routes = [make_route("r", "shop.example", "/orders/", "desk", public=True)]
    manifest = make_manifest(1, routes, [make_service("desk")])
    if not HAS_TROUBLE:
        manifest["limits"]["maxHeaderBytes"] = LATER_LIMIT
    await deployment.declare(manifest)
    await replica.start()
    await deployment.wait_until_ready()
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    channels = []
    for caller in itertools.islice(itertools.cycle(deployment.callers), CHANNELS):
        host, _, port = caller.rpartition(":")
        channels.append(await asyncio.open_connection(host, int(port)))
    statuses = [await send(record, channel, 400) for channel in channels]
    if set(statuses) != {200}:
        raise CannotRunError(f"statuses before the change: {statuses}")
    if HAS_TROUBLE:
        manifest["version"] = 2
        manifest["limits"]["maxHeaderBytes"] = LATER_LIMIT
        await deployment.declare(manifest)
    # The channels are idle for far less than four fifths of idleTimeoutMs.
    await asyncio.sleep(APPLY_SECONDS + 1.0)
    statuses = [await send(record, channel, HEAD_BYTES) for channel in channels]
    deployment.check_running()
    denied = [status for status in statuses if status in range(300, 500)]
    allowed = 5 + 2 * len(channels) / 500
    record.write(
        f"{len(denied)} of {2 * len(channels)} requests were ended with a 3xx or 4xx "
        f"({sorted(set(denied))}), more than {allowed:.2f} break the rule"
    )
    return len(denied) <= allowed


async def send(record, channel, head_bytes):
    """Send a request with a head of some bytes; return the status."""
    reader, writer = channel
    request_id = next(_ids)
    head = (
        "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Ms: 2000\r\nX-Note: "
    )
    head += "x" * (head_bytes - len(head) - 4) + "\r\n\r\n"
    record.write(f"consumer sends {request_id}, a head of {len(head)} bytes")
    data = head.encode()
    # As over any network, it arrives in parts.
    for start in range(0, len(data), 8000):
        writer.write(data[start : start + 8000])
        await writer.drain()
        await asyncio.sleep(0.01)
    async with asyncio.timeout(2.0):
        answer = await http.read_message(reader)
    status = answer.status if answer else 0
    record.write(f"consumer gets {status} for {request_id}")
    return status


play(__file__, run)
