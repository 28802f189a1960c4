"""Processes that were just started end when told that their settings have changed."""

import asyncio
import signal
from pathlib import Path

from review.harness import BOUNDS, CaseError, Operator, is_troubled, make_manifest, play

# Planned restarts of each gateway.
ROUNDS = 3
# Seconds from the start of a process to the SIGHUP.
HUP_SECONDS = 0.2
# Seconds after which the platform starts a process again that has ended by itself.
RESTART_SECONDS = 0.5
# Seconds in which a process is up again.
UP_SECONDS = 2.0
# Rule Fault: ends of processes in a day, on a tenth of the machines and two at least.
ENDS, MACHINES = 3, 2


async def restart(record, program, ends):
    """Restart a process as planned, and tell it that its settings have changed."""
    record.write(f"{program.name} gets SIGTERM")
    program.signal(signal.SIGTERM)
    waited = 0.0
    while program.is_running:
        await asyncio.sleep(0.05)
        waited += 0.05
        if waited > BOUNDS["grace_s"]:
            raise CaseError(f"{program.name} did not stop within graceS")
    program.start()
    record.write(f"{program.name} is started again")
    await asyncio.sleep(HUP_SECONDS)
    if is_troubled():
        program.signal(signal.SIGHUP)
        record.write(f"{program.name} gets SIGHUP {HUP_SECONDS:g} s after its start")
    await asyncio.sleep(RESTART_SECONDS)
    if not program.is_running:
        ends[program.name] += 1
        record.write(f"{program.name} has ended by itself; it is started again")
        program.start()
    await asyncio.sleep(UP_SECONDS)


async def scenario(record, fleet):
    """Return whether processes ended by themselves as often as the rule forbids."""
    fleet.start_control()
    gateways = [fleet.start_gateway(zone) for zone in fleet.zones[:MACHINES]]
    operator = Operator(record, fleet.control)
    manifest = make_manifest(1, ["dock"], [{}])
    if await operator.order("PUT", "/api/config", manifest) is None:
        raise CaseError("the manifest was not acknowledged")
    await asyncio.sleep(3.0)
    ends = {program.name: 0 for program in gateways}
    for _ in range(ROUNDS):
        await asyncio.gather(*(restart(record, row, ends) for row in gateways))
    record.write(f"ends of processes: {ends}")
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


if __name__ == "__main__":
    play(Path(__file__).parent, scenario)
