"""A control instance that was frozen carries out an order that is long outdated."""

import asyncio
import signal
from pathlib import Path

from review.harness import (
    BOUNDS,
    CaseError,
    Operator,
    Replica,
    call,
    is_troubled,
    make_manifest,
    play,
)

SERVICE = "map"
# The zone that is evacuated, the zone of the other replica, and that of the gateway,
# from which the replicas are equally far.
EVACUATED, OTHER, GATEWAY = "b", "a", "c"
# Seconds for which a control instance is frozen; on mapahogar it is up to 6.1 s.
FREEZE_SECONDS = 6.0
# The control instance that is frozen, and the one that is asked after it.
FROZEN, AWAKE = 1, 2
# Seconds of traffic after the instance is awake again.
WATCH_SECONDS = 14.0


async def send_requests(record, gateway):
    """Send requests to a gateway until cancelled, one each 0.1 s."""
    number = 0
    while True:
        number += 1
        headers = (
            ("Host", "dock.example"),
            ("Request-Id", f"{number:016x}"),
            ("Deadline-Ms", "624"),
        )
        try:
            status, _, _ = await call(gateway, "GET", "/p/x", headers)
        except OSError as error:
            status = f"no answer ({error})"
        record.write(f"client: request {number:016x}: {status}")
        await asyncio.sleep(0.1)


async def scenario(record, fleet):
    """Return whether requests reach the zone after its evacuation is acknowledged."""
    fleet.start_control()
    fleet.start_gateway(GATEWAY)
    operator = Operator(record, fleet.control)
    if not await operator.order(
        "PUT", "/api/config", make_manifest(1, [SERVICE], [{}])
    ):
        raise CaseError("the manifest was not acknowledged")
    replicas = {}
    for number, zone in enumerate((OTHER, EVACUATED)):
        address = fleet.replica_address(number)
        replica = Replica(record, f"i-{zone}", address, zone, SERVICE, fleet.control)
        await replica.start()
        replicas[zone] = replica
    await asyncio.sleep(4.0)
    traffic = asyncio.create_task(send_requests(record, fleet.gateways[0]))
    await asyncio.sleep(2.0)
    path = f"/api/drain/{EVACUATED}"
    await operator.order("POST", path, first=AWAKE)
    await asyncio.sleep(1.0)
    frozen = fleet.control_program(FROZEN)
    if is_troubled():
        record.write(f"{frozen.name} freezes")
        frozen.signal(signal.SIGSTOP)
    frozen_at = record.now()
    await asyncio.sleep(0.1)
    # The frozen instance doesn't answer within a second, and the next one is asked.
    withdrawn_at = await operator.order("DELETE", path, first=FROZEN)
    await asyncio.sleep(2.0)
    evacuated_at = await operator.order("POST", path, first=AWAKE)
    if withdrawn_at is None or evacuated_at is None:
        raise CaseError("an order was not acknowledged")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - record.now()))
    if is_troubled():
        record.write(f"{frozen.name} is awake again")
        frozen.signal(signal.SIGCONT)
    awake_at = record.now()
    await asyncio.sleep(WATCH_SECONDS)
    traffic.cancel()
    # From then on all machines are in touch, and the evacuation has to be in force.
    judged_from = max(
        awake_at + BOUNDS["contact_s"], evacuated_at + BOUNDS["evacuate_s"]
    )
    late = [at for at, _ in replicas[EVACUATED].runs if at > judged_from]
    served = [at for at, _ in replicas[OTHER].runs if at > judged_from]
    record.write(
        f"evacuation acknowledged at {evacuated_at:.3f}; from {judged_from:.3f} on, "
        f"{len(late)} requests ran in the evacuated zone and {len(served)} in the other"
    )
    if not served and not late:
        raise CaseError("no request was served")
    return bool(late)


if __name__ == "__main__":
    play(Path(__file__).parent, scenario)
