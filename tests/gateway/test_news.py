"""Gateways in this process exchange the loads of targets through hubs."""

import contextlib
import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.conf.loader import parse_settings
from banyanshore.gateway.process import Gateway
from banyanshore.membership.load_reports import CrashNotice, LoadReport, PlacementNotice
from banyanshore.platform.caller_dialect import PlatformDialect
from banyanshore.transport import serve_peers
from tests.gateway.deployment import SETTINGS
from tests.ports import free_ports

pytestmark = pytest.mark.anyio

REPORT = LoadReport("10.0.0.9:1", 1, 1, "m", 1, 16, 3, 0)


@contextlib.asynccontextmanager
async def fleet(*data_centres):
    """Yield gateways that know each other, one for each data centre given."""
    gateways = []
    for number, port in enumerate(free_ports(len(data_centres))):
        settings = {
            **SETTINGS,
            "instance": f"edge-{number}",
            "data_centre": data_centres[number],
            "peers_bind": f"127.0.0.1:{port}",
        }
        gateways.append(Gateway(parse_settings(settings), PlatformDialect(), None))
    async with anyio.create_task_group() as tasks:
        for gateway in gateways:
            for other in gateways:
                gateway.registry.record(time.monotonic(), other._member())
            settings = gateway.settings
            await tasks.start(
                serve_peers,
                settings.peers_bind,
                gateway,
                settings.instance,
                gateway.link_options,
            )
            tasks.start_soon(gateway.updates.run, gateway.link_options, gateway)
        await anyio.sleep(0.4)
        yield gateways
        tasks.cancel_scope.cancel()


async def wait_until(condition):
    with anyio.fail_after(3.0):
        while not condition():
            await anyio.sleep(0.01)


async def test_report_reaches_the_gateways_of_all_data_centres():
    async with fleet("a", "a", "a", "b", "b", "b") as gateways:
        await gateways[0].updates.on_item(None, REPORT)
        await wait_until(
            lambda: all(g.board.load(REPORT.address).report for g in gateways)
        )


async def test_placement_is_counted_once_at_each_other_gateway():
    async with fleet("a", "a", "a", "a") as gateways:
        for gateway in gateways:
            gateway.board.record_report(time.monotonic(), REPORT)
        await gateways[0].updates.send(PlacementNotice(REPORT.address, 0.2, "a"))
        loads = [gateway.board.load(REPORT.address) for gateway in gateways]
        await wait_until(
            lambda: sum(load.announced_since_report for load in loads) == 3
        )
        await anyio.sleep(0.2)
        assert [load.announced_since_report for load in loads] == [0, 1, 1, 1]


async def test_gateway_learns_how_old_notices_are_from_its_own():
    async with fleet("a", "a", "a", "a") as gateways:
        plain = [g for g in gateways if not g.updates._is_hub()]
        unseen = plain[0].board.unseen
        unseen.age_seconds = 2.0
        await plain[0].updates.send(PlacementNotice(REPORT.address, 0.2, "a"))
        await wait_until(lambda: unseen.age_seconds < 2.0)
        # The second hub sends it again, later.
        first_age = unseen.age_seconds
        await anyio.sleep(0.2)
        assert unseen.age_seconds == first_age


async def test_hub_counts_notices_as_fresh():
    async with fleet("a", "a", "a", "a") as gateways:
        hub = next(g for g in gateways if g.updates._is_hub())
        hub.board.unseen.age_seconds = 2.0
        await hub.updates.send(PlacementNotice(REPORT.address, 0.2, "a"))
        await anyio.sleep(0.2)
        assert hub.board.unseen.age_seconds == pytest.approx(1.8)


async def test_crash_found_by_one_gateway_reaches_the_others():
    async with fleet("a", "b", "b", "b") as gateways:
        await gateways[0].suspects.send(CrashNotice(b"f", "10.0.0.9:1", 1, 1.0, 0.5))
        await wait_until(
            lambda: all(g.suspects._detector.has_records for g in gateways[1:])
        )


async def test_placement_that_is_taken_back_is_forgotten_at_each_gateway():
    """One request larger than any target's memory kept others away for minutes."""
    async with fleet("a", "a", "a", "a") as gateways:
        for gateway in gateways:
            gateway.board.record_report(time.monotonic(), REPORT)
        loads = [gateway.board.load(REPORT.address) for gateway in gateways]
        await gateways[0].updates.send(PlacementNotice(REPORT.address, 100.0, "a"))
        await wait_until(
            lambda: sum(load.announced_since_report for load in loads) == 3
        )
        await gateways[0].updates.send(PlacementNotice(REPORT.address, -100.0, "a"))
        await wait_until(lambda: not any(load.announced_since_report for load in loads))
        now = time.monotonic()
        assert not any(load.remaining_prefill_seconds(now) for load in loads)


async def test_hub_passes_on_an_idle_report_again_only_after_a_placement():
    idle = replace(REPORT, active=0)
    async with fleet("a", "a") as (hub, other):
        load = other.board.load(idle.address)
        for sequence in range(1, 4):
            await hub.updates.on_item(None, replace(idle, sequence=sequence))
        await wait_until(lambda: load.report is not None)
        assert hub.board.load(idle.address).report.sequence == 3
        await anyio.sleep(0.1)
        assert load.report.sequence < 3
        await other.updates.send(PlacementNotice(idle.address, 0.2, "a"))
        await wait_until(lambda: hub.board.load(idle.address).announced_since_report)
        await hub.updates.on_item(None, replace(idle, sequence=4))
        await wait_until(lambda: load.report.sequence == 4)
