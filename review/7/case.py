"""An acknowledged departure is forgotten together with the processes of control."""

import asyncio
import signal
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

# Bounds of the small installations.
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# For how long the replica goes on serving after the ack: "at times many seconds".
SERVES_SECONDS = 10.0
FREEZE_SECONDS = 2.5
RESTART_SECONDS = 0.5


async def run(record, fleet):
    """Return whether the rule held."""
    deployment = Deployment(record, fleet)
    port = fleet.port + 5
    leaving = Replica(record, fleet.next_ip(), port, "desk", fleet.controls)
    staying = Replica(record, fleet.next_ip(), port, "desk", fleet.controls)
    deployment.start()
    routes = [make_route("r", "shop.example", "/orders/", "desk", public=True)]
    await deployment.declare(make_manifest(1, routes, [make_service("desk")]))
    await leaving.start()
    await staying.start()
    await deployment.wait_until_ready()
    # Nothing has been started for longer than contactMs then.
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    consumer = Consumer(record, "shop.example")
    sending = asyncio.create_task(send_forever(consumer, deployment.callers))
    await asyncio.sleep(2.0)
    if not leaving.arrivals:
        raise CannotRunError("the replica got no request before it left")
    frozen = deployment.gateways[0]
    if HAS_TROUBLE:
        record.write(f"{frozen.name} stands still")
        frozen.send(signal.SIGSTOP)
    await asyncio.sleep(0.3)
    # It never reports that it drains: DELETE comes first.
    leaving.stop_beats()
    acked = await leaving.tell(fleet.controls[0], "DELETE")
    if not acked:
        raise CannotRunError("the departure was not acknowledged")
    acked_at = record.write(f"control acknowledges that {leaving.id} is gone")
    await asyncio.sleep(0.3)
    if HAS_TROUBLE:
        record.write("all processes of control are killed")
        await deployment.restart(deployment.controls, RESTART_SECONDS)
        record.write("all processes of control are started again")
    await asyncio.sleep(FREEZE_SECONDS - 0.6 - RESTART_SECONDS)
    if HAS_TROUBLE:
        frozen.send(signal.SIGCONT)
        record.write(f"{frozen.name} goes on")
    calm_at = record.now
    await asyncio.sleep(acked_at + SERVES_SECONDS - record.now)
    sending.cancel()
    deployment.check_running()
    counted_from = acked_at + DRAIN_SECONDS
    if HAS_TROUBLE:
        # Earlier, no machine is in touch.
        counted_from = max(counted_from, calm_at + CONTACT_SECONDS)
    late = [at for at, _ in leaving.arrivals if at > counted_from]
    record.write(
        f"{len(late)} requests reached {leaving.id} after {counted_from:.3f}, in the "
        f"seconds in which all machines were in touch again"
    )
    return not late


async def send_forever(consumer, callers):
    """Send 20 requests a second to each gateway."""
    async with asyncio.TaskGroup() as tasks:
        while True:
            for caller in callers:
                tasks.create_task(consumer.send(caller, "/orders/1"))
            await asyncio.sleep(0.05)


play(__file__, run)
