"""Processes that are frozen within a stop end in time, with their requests answered."""

import signal
import sys
import time

import anyio
import pytest
import yaml

from tests.daemon.documents import make_document
from tests.deployment import Process, wait_for
from tests.stopping.callers import Callers, WorkingTarget, running_target
from tests.stopping.process import running_gateway_process

# Seconds from SIGTERM to the end, the default grace.
GRACE_SECONDS = 8.0


@pytest.mark.anyio
@pytest.mark.parametrize("frozen_seconds", [1.0, 4.0])
async def test_gateway_frozen_in_a_stop_answers_its_requests(frozen_seconds, tmp_path):
    target = WorkingTarget(seconds=1.5)
    route = {"timeout_seconds": 6.0, "objective_seconds": 2.0, "max_attempts": 1}
    async with (
        running_target(target) as address,
        running_gateway_process(tmp_path, [address], **route) as gateway,
        anyio.create_task_group() as tasks,
    ):
        callers = Callers(gateway.address)
        for _ in range(8):
            tasks.start_soon(callers.ask_once)
        await gateway.signal_in_turn(
            (0.5, signal.SIGTERM),
            (0.2, signal.SIGSTOP),
            (frozen_seconds, signal.SIGCONT),
        )
        assert await gateway.wait() == 0
        assert gateway.stop_seconds < GRACE_SECONDS
    assert [row.status for row in callers.rows] == [200] * 8


@pytest.mark.parametrize("frozen_seconds", [1.0, 4.0])
def test_entry_frozen_in_a_stop_ends_in_time(frozen_seconds, tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(make_document("entry", tmp_path)))
    command = [sys.executable, "-m", "banyanshore.daemon", "--settings", str(path)]
    process = Process("entry", command, tmp_path)
    try:
        wait_for(lambda: "started" in process.log())
        begun_at = time.monotonic()
        process.signal(signal.SIGTERM)
        process.signal(signal.SIGSTOP)
        time.sleep(frozen_seconds)
        process.signal(signal.SIGCONT)
        assert process.process.wait(GRACE_SECONDS) == 0
        assert time.monotonic() - begun_at < GRACE_SECONDS
    finally:
        process.kill()
