"""Control instances lose their disks one after the other, and catch up in between."""

import asyncio
from pathlib import Path

from review.harness import (
    BOUNDS,
    CaseError,
    Operator,
    is_troubled,
    make_manifest,
    play,
)

# Machines that lose their disks, in turn. Whichever leads at a time is among the next
# three, and another one follows.
VICTIMS = (0, 1, 2) * 3
# Seconds from the start of one machine to the loss of the next: catchUpS, and a bit.
PAUSE = BOUNDS["catch_up_s"] + 0.2
# Seconds in which the operator reads the manifest back at the end.
READ_BACK_SECONDS = 40.0


async def scenario(record, fleet):
    """Return whether an acknowledged manifest can't be read back."""
    fleet.start_control()
    operator = Operator(record, fleet.control)
    version = 1
    manifest = make_manifest(version, ["dock"], [{}])
    if await operator.order("PUT", "/api/config", manifest) is None:
        raise CaseError("the first manifest was not acknowledged")
    # Traffic, and with it the first trouble, begins 12 s after the machines start.
    await asyncio.sleep(8.0)
    acked = version
    for victim in VICTIMS:
        version += 1
        manifest = make_manifest(version, ["dock"], [{}])
        ack = await operator.order("PUT", "/api/config", manifest, seconds=4.0)
        if ack is None:
            break
        acked = version
        if is_troubled():
            fleet.wipe_control(victim)
        await asyncio.sleep(PAUSE)
    ends_at = record.now() + READ_BACK_SECONDS
    while record.now() < ends_at:
        versions = await operator.read_config()
        if versions and max(versions) >= acked:
            return False
        await asyncio.sleep(1.0)
    record.write(
        f"manifest {acked} was acknowledged and can't be read back for "
        f"{READ_BACK_SECONDS:g} s, with all machines up"
    )
    running = [
        program.name for program in fleet.programs.values() if program.is_running
    ]
    record.write(f"running: {', '.join(running)}")
    return len(running) == len(fleet.programs)


if __name__ == "__main__":
    play(Path(__file__).parent, scenario)
