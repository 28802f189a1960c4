"""A control instance that stops answers all that it has taken."""

import time

import anyio
import pytest

from banyanshore.control.process import Control
from tests.control.instance import make_settings
from tests.gateway.deployment import ask
from tests.ports import free_ports

pytestmark = pytest.mark.anyio


async def test_stopping_control_cuts_off_no_request_that_it_has_taken(tmp_path):
    """Requests were taken until the end, and those that still ran were cut."""
    address, peers = (f"127.0.0.1:{port}" for port in free_ports(2))
    settings = make_settings(
        tmp_path,
        address,
        peers,
        stop_timeout=1.5,
        consensus={"proposal_timeout": 0.6},
    )

    async def answer_slowly(exchange):
        await anyio.sleep(0.5)
        await exchange.respond(200)

    control = Control(settings, lambda orders, feed: answer_slowly)
    stop, ended = anyio.Event(), anyio.Event()
    rows = []

    async def run():
        await control.run(stop, anyio.Event())
        ended.set()

    async def ask_and_record():
        sent_at = time.monotonic()
        try:
            rows.append((sent_at, (await ask(address))[0]))
        except OSError:
            # The instance has ended; the request was not read.
            return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        await anyio.sleep(0.3)
        stop_at = time.monotonic() + 0.3
        while not ended.is_set():
            if time.monotonic() >= stop_at:
                stop.set()
            tasks.start_soon(ask_and_record)
            with anyio.move_on_after(0.05):
                await ended.wait()
        ended_at = time.monotonic()
    # A request may cross the end of the process without being read.
    statuses = [status for sent_at, status in rows if sent_at < ended_at - 0.1]
    assert set(statuses) == {200, 503}
