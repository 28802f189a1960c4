"""Run a case: a temporary folder, the record, the exit code, and the end of it all."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback
from pathlib import Path

from review.fleet.outside import Operator, Record, wait_until_ready
from review.fleet.processes import Fleet

HELD = 0
# Not 1, with which the interpreter ends if it can't run the case.
BROKEN = 11
NOT_RUN = 2
# Seconds after which a case that hangs is given up.
MAX_SECONDS = 110
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """Signal that a case could not be played."""


class Deployment:
    """A small deployment: three control instances and gateways, with stand-ins.

    :param zones: zones of the gateways, one for each.
    """

    def __init__(self, record, fleet, zones="ab"):
        self.record = record
        self.fleet = fleet
        fleet.reserve_controls(3)
        self.controls = [fleet.add_control(number) for number in range(3)]
        rows = [fleet.add_gateway(number, zone) for number, zone in enumerate(zones)]
        self.gateways = [process for process, _, _ in rows]
        self.callers = [caller for _, caller, _ in rows]
        self._ready = [ready for _, _, ready in rows]
        self.operator = Operator(record, fleet.controls)

    def start(self):
        """Start all processes."""
        for process in self.fleet.processes:
            process.start()

    def restart(self, processes, seconds=0.5):
        """Kill processes, and return a coroutine that starts them again."""
        for process in processes:
            process.kill()

        async def start():
            await asyncio.sleep(seconds)
            for process in processes:
                process.start()

        return start()

    async def declare(self, manifest):
        """Have a manifest acknowledged; return the time of the ack."""
        acked_at = await self.operator.order("PUT", "/api/config", manifest)
        if acked_at is None:
            raise CannotRunError("a manifest has no ack")
        return acked_at

    async def wait_until_ready(self):
        """Wait until all gateways are ready."""
        if not await wait_until_ready(self._ready):
            raise CannotRunError("a gateway doesn't become ready")

    def check_running(self):
        """Check that no process has ended by itself."""
        for process in self.fleet.processes:
            if not process.is_running:
                raise CannotRunError(f"{process.name} has ended by itself")


def play(case_file, make_case):
    """Play a case, and exit with its code.

    :param case_file: file of the case, beside which the record is written.
    :param make_case: coroutine function that gets the record and the fleet, and returns
        whether the rule held.
    """
    record = Record(Path(case_file).resolve().parent / "record.txt")
    folder = tempfile.mkdtemp()
    fleet = Fleet(folder)
    code = NOT_RUN
    # The processes are ended, too, if the case is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code = asyncio.run(_run(record, fleet, make_case))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        traceback.print_exc()
    finally:
        fleet.kill_all()
        shutil.rmtree(folder, ignore_errors=True)
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, ""))
    os._exit(code)


async def _run(record, fleet, make_case):
    async with asyncio.timeout(MAX_SECONDS):
        return HELD if await make_case(record, fleet) else BROKEN
