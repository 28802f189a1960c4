"""Measure what one gateway process of a fleet of 45 spends on requests and on news.

The rest of the fleet is stand-ins in this process. Processor time is that of the
gateway alone, but other load on the machine makes it spend more for the same work: only
figures of one run should be compared.
"""

import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio

from banyanshore.transport import LinkOptions, LinkPool, TableHandler, serve_peers
from banyanshore.transport.activity import HeartbeatTicker
from benchmarks.gateway_surroundings import (
    DATA_CENTRES,
    ENGINES,
    OWN_DATA_CENTRE,
    CallersStandIn,
    ControlStandIn,
    HubStandIn,
    TargetStandIn,
    make_members,
    make_targets,
)
from benchmarks.report import Report
from tests.ports import free_ports

# Runs of each load, and seconds of a run and before it.
RUNS = 3
SECONDS = 6.0
SETTLING_SECONDS = 3.0
REQUESTS_PER_SECOND = 24.0
PLACEMENTS_PER_SECOND = 74.0
# Seconds between the reports of a busy target, and between those of an idle one that
# hubs pass on.
BUSY_REPORT_SECONDS = 0.15
IDLE_REPORT_SECONDS = 0.6


class SilentHandler(TableHandler):
    """Drop all messages."""


def read_processor_seconds(pid):
    """Return the processor time that a process has used."""
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9


class MeasuredGateway:
    """A gateway process among stand-ins.

    :param report_seconds: seconds between two reports of a target, ``None`` for none.
    :param placements: placements a second that are announced to it.
    :param requests: requests a second that it is sent.
    """

    def __init__(self, report_seconds=None, placements=0.0, requests=0.0):
        self._report_seconds = report_seconds
        self._placements = placements
        ports = free_ports(7)
        self._callers_port, self._ready, self._peers, self._control, target = ports[:5]
        self._hub_addresses = [f"127.0.0.1:{port}" for port in ports[5:]]
        self._callers = CallersStandIn(self._callers_port, requests)
        self._requests = requests
        self._targets = make_targets(target)
        self._options = LinkOptions(1.0, 5.0, 1.0, ticker=HeartbeatTicker(1.0))

    def _settings(self, instance):
        return {
            "role": "gateway",
            "instance": instance,
            "data_centre": OWN_DATA_CENTRE,
            "region": "r",
            "callers_bind": f"127.0.0.1:{self._callers_port}",
            "ready_bind": f"127.0.0.1:{self._ready}",
            "peers_bind": f"127.0.0.1:{self._peers}",
            "peer_port": self._control,
            "seeds": [f"127.0.0.1:{self._control}"],
            "memory_mb": 200,
            "regions": {f"dc-{number}": "r" for number in range(DATA_CENTRES)},
        }

    async def measure(self):
        """Return the milliseconds of processor time a second, and complete requests.

        :raises RuntimeError: a request was not answered completely.
        """
        control_address = f"127.0.0.1:{self._control}"
        own, hubs, members = make_members(self._hub_addresses, control_address)
        control = ControlStandIn((*self._targets, *members))
        loop = asyncio.get_running_loop()
        for row in self._targets:
            host, _, port = row.address.partition(":")
            await loop.create_server(TargetStandIn, host, int(port))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps(self._settings(own)))
            async with anyio.create_task_group() as tasks:
                await self._serve(tasks, control_address, control, "c-0")
                for address, name in zip(self._hub_addresses, hubs, strict=True):
                    await self._serve(tasks, address, SilentHandler(), name)
                tasks.start_soon(self._options.ticker.run)
                process = subprocess.Popen(
                    [sys.executable, "-m", "banyanshore.daemon", "--settings", path],
                    stdout=subprocess.DEVNULL,
                )
                try:
                    await self._start_load(tasks, control, own, hubs)
                    return await self._observe(process.pid)
                finally:
                    tasks.cancel_scope.cancel()
                    process.kill()
                    process.wait()

    async def _serve(self, tasks, address, handler, name):
        await tasks.start(serve_peers, address, handler, name, self._options)

    async def _start_load(self, tasks, control, own, hubs):
        with anyio.fail_after(20):
            while control.confirmed < 2:
                await anyio.sleep(0.1)
        if self._report_seconds is not None:
            for number, name in enumerate(hubs):
                pool = LinkPool(tasks, SilentHandler(), name, self._options)
                link = pool.get(f"127.0.0.1:{self._peers}", own)
                hub = HubStandIn(
                    link,
                    self._targets[:ENGINES],
                    number == 0,
                    self._report_seconds,
                    self._placements,
                )
                tasks.start_soon(hub.run)
        if self._requests:
            tasks.start_soon(self._callers.run)
        await anyio.sleep(SETTLING_SECONDS)

    async def _observe(self, pid):
        began_at, complete = time.monotonic(), self._callers.complete
        spent = read_processor_seconds(pid)
        await anyio.sleep(SECONDS)
        spent = read_processor_seconds(pid) - spent
        seconds = time.monotonic() - began_at
        if self._callers.broken:
            raise RuntimeError(f"{self._callers.broken} requests were not answered")
        return 1e3 * spent / seconds, self._callers.complete - complete


NEWS = "news of a busy fleet"
NEWS_AND_REQUESTS = f"news, and {REQUESTS_PER_SECOND:g} requests a second"
LOADS = {
    "nothing": {},
    "reports of idle targets": {"report_seconds": IDLE_REPORT_SECONDS},
    NEWS: {
        "report_seconds": BUSY_REPORT_SECONDS,
        "placements": PLACEMENTS_PER_SECOND,
    },
    NEWS_AND_REQUESTS: {
        "report_seconds": BUSY_REPORT_SECONDS,
        "placements": PLACEMENTS_PER_SECOND,
        "requests": REQUESTS_PER_SECOND,
    },
}


def run():
    """Return the report."""
    report = Report("gateway_process")
    heads = ["load", "ms of processor time a second", "least", "most", "requests"]
    results = {name: [] for name in LOADS}
    for _ in range(RUNS):
        for name, load in LOADS.items():
            results[name].append(anyio.run(MeasuredGateway(**load).measure))
    for name, pairs in results.items():
        spent = [milliseconds for milliseconds, _ in pairs]
        row = (statistics.median(spent), min(spent), max(spent))
        report.add_row("A gateway", heads, name, *row, sum(n for _, n in pairs))
    medians = {
        name: statistics.median(spent for spent, _ in pairs)
        for name, pairs in results.items()
    }
    each = (medians[NEWS_AND_REQUESTS] - medians[NEWS]) / REQUESTS_PER_SECOND
    report.add_row("A request", ["ms of processor time"], each)
    load = os.getloadavg()[0]
    report.notes.append(f"Load of the machine at the end: {load:.1f}.")
    return report
