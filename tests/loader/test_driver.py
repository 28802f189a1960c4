"""Load orders to a target when a rollout goes on, or is late."""

import contextlib
import functools
import math
import time
from types import SimpleNamespace

import anyio
import pytest

from banyanshore.conf.loader import parse_settings
from banyanshore.core.clock import boottime_now
from banyanshore.loader import driver as driver_module
from banyanshore.loader.driver import ARRIVAL_SECONDS, LoadDriver
from banyanshore.loader.staging import StagingArea
from banyanshore.loader.transfer import StagedTransfer
from banyanshore.routing.version_switch import VersionSwitch
from banyanshore.telemetry.weights import LoaderMetrics
from banyanshore.weights.desired_versions import DesiredVersion
from banyanshore.weights.manifest import make_manifest
from banyanshore.weights.ready_time import ChunkPace
from banyanshore.weights.staged import (
    EngineReport,
    OrderOutcome,
    StagedEngine,
    StagedEngineError,
)
from tests.suspension import SuspendedMachine

pytestmark = pytest.mark.anyio

SETTINGS = {
    "role": "loader",
    "instance": "side-1",
    "data_centre": "dc",
    "region": "north",
    "service": "s",
    "target_address": "127.0.0.1:1",
    "peers_bind": "127.0.0.1:2",
    "peer_port": 2,
    "seeds": ["127.0.0.1:3"],
    "report_interval": 0.02,
    "version_bound_ms": 4000,
}
CHUNKS = [bytes([number]) for number in range(9)]
LAYERS = 4


class Engine(StagedEngine):
    """An engine with all layers of version 1 that records load orders."""

    def __init__(self):
        self.report = EngineReport("m", 1, 0, LAYERS, 0, 0, 1.0, False)
        self.staged = {}
        self.orders = []
        # Outcomes of the next orders, which have no effect.
        self.refusals = []
        self.on_stage = self.on_connect = lambda: None

    async def read_report(self):
        return self.report

    async def stage(self, model, index, data):
        self.staged[index] = data
        self.on_stage()

    async def read_staged(self, model, index, size):
        return self.staged.get(index)

    async def load(self, model, version, end_layer=None, may_send=lambda: True):
        self.on_connect()
        if not may_send():
            raise StagedEngineError("not sent")
        self.orders.append((boottime_now(), version, end_layer, dict(self.staged)))
        if self.refusals:
            return self.refusals.pop()
        end_layer = end_layer or LAYERS
        self.report = EngineReport(model, version, 0, end_layer, 0, 0, 1.0, False)
        return OrderOutcome.STARTED


class Monitor:
    """The monitor of a target whose reports nobody reads."""

    def __init__(self, engine):
        self.engine = engine
        self.staging = StagingArea(engine)
        self.is_loading = False

    @property
    def report(self):
        return self.engine.report

    @report.setter
    def report(self, report):
        pass

    async def send_report(self):
        pass


def make_transfer(target, have):
    """Return a transfer of version 2 of which some chunks have arrived."""
    transfer = StagedTransfer.__new__(StagedTransfer)
    manifest = make_manifest("m", "2", b"".join(CHUNKS), 1)
    chunk_by_digest = dict(zip(manifest.chunk_digests, CHUNKS, strict=True))
    vars(transfer).update(
        spec=SimpleNamespace(name="m", version="2"),
        manifest=manifest,
        planner=SimpleNamespace(have=have),
        completed=anyio.Event(),
        completed_at=math.inf,
        _store=chunk_by_digest,
        _engine=target.engine,
        _target=target,
        _progressed_at=time.monotonic(),
        _pace=ChunkPace(),
        _settings=parse_settings(SETTINGS),
    )
    return transfer


@contextlib.asynccontextmanager
async def running_driver(have, known_seconds_ago=0.0):
    """Yield an engine whose loader has some chunks of version 2, and the transfer."""
    settings = parse_settings(SETTINGS)
    target = Monitor(Engine())
    versions = VersionSwitch(settings.version_switch_seconds)
    now = boottime_now()
    versions.record(now, {})
    versions.record(now - known_seconds_ago, {"m": {"version": 2}})
    desired = DesiredVersion("s", "m", 2, LAYERS, 1, versions.known_since("m"))
    loader = SimpleNamespace(
        settings=settings,
        target=target,
        versions=versions,
        metrics=LoaderMetrics(),
        transfer=make_transfer(target, have),
        desired_version=lambda: desired,
        rosters=SimpleNamespace(
            loaders_by_data_centre=lambda: {"dc": {"side-1"}},
            release_held=lambda: None,
        ),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(LoadDriver(loader).run)
        yield loader
        tasks.cancel_scope.cancel()


async def wait_for_orders(engine, count):
    with anyio.fail_after(3):
        while len(engine.orders) < count:
            await anyio.sleep(0.01)


async def test_target_whose_weights_are_late_rejects_requests_before_the_bound():
    """Requests sent before the switch arrived late, and began on older weights."""
    driver = running_driver(have=0b000011111, known_seconds_ago=3.3)
    async with driver as loader:
        engine, transfer = loader.target.engine, loader.transfer
        known_since = loader.versions.known_since("m")
        await wait_for_orders(engine, 1)
        ordered_at, version, end_layer, staged = engine.orders[0]
        # Engines take a while to begin the requests that they have accepted.
        assert 3.6 + ARRIVAL_SECONDS <= ordered_at - known_since < 3.79
        assert (version, end_layer) == (2, 1)
        assert staged == dict(enumerate(CHUNKS[:3]))
        transfer.planner.have = 0b111111111
        transfer.completed_at = time.monotonic()
        transfer.completed.set()
        await wait_for_orders(engine, 2)
        assert engine.orders[1][1:] == (2, None, dict(enumerate(CHUNKS)))


async def test_target_without_a_complete_layer_is_left_alone():
    async with running_driver(have=0b111111011, known_seconds_ago=9.0) as loader:
        await anyio.sleep(0.2)
        assert not loader.target.engine.orders


async def test_refused_order_to_unload_is_repeated_before_the_bound():
    """It was repeated after 0.5 s, most of the time that is left after the switch."""
    driver = running_driver(have=0b000000111, known_seconds_ago=3.6)
    async with driver as loader:
        loader.target.engine.refusals = [OrderOutcome.MISFIT]
        await wait_for_orders(loader.target.engine, 2)
        first, second = [order[0] for order in loader.target.engine.orders]
        assert second - first < 0.4


@pytest.mark.parametrize("is_complete", [True, False])
async def test_no_order_is_given_once_a_newer_version_is_transferred(is_complete):
    """The engine loaded chunks of two versions."""
    have = 0b111111111 if is_complete else 0b000000111
    async with running_driver(have, known_seconds_ago=9.0) as loader:
        newer = make_transfer(loader.target, 0)
        newer.spec.version = "3"
        loader.target.engine.on_stage = lambda: setattr(loader, "transfer", newer)
        if is_complete:
            loader.transfer.completed_at = time.monotonic()
            loader.transfer.completed.set()
        await anyio.sleep(0.4)
        assert loader.target.engine.staged
        assert not loader.target.engine.orders


def corrupt_while_suspended(engine, machine):
    """Suspend the loader's machine once, and have a staged chunk become corrupt."""
    if machine.is_used:
        return
    machine.is_used = True
    machine.suspend(4.0)
    engine.staged[1] = b"corrupt"


@pytest.mark.parametrize("moment", ["notice", "connect"])
@pytest.mark.parametrize("is_complete", [True, False])
async def test_load_is_not_ordered_on_a_check_from_before_a_freeze(
    monkeypatch, moment, is_complete
):
    """A loader ordered a chunk to be loaded that had become corrupt 3.7 s before."""
    machine = SuspendedMachine(monkeypatch)
    machine.is_used = False
    async with running_driver(0b111111111, known_seconds_ago=9.0) as loader:
        engine = loader.target.engine
        corrupt = functools.partial(corrupt_while_suspended, engine, machine)
        if moment == "connect":
            engine.on_connect = corrupt
        else:
            check = driver_module.LoadDriver._order

            async def order(self, *arguments):
                corrupt()
                await check(self, *arguments)

            monkeypatch.setattr(driver_module.LoadDriver, "_order", order)
        if is_complete:
            loader.transfer.completed_at = time.monotonic()
            loader.transfer.completed.set()
        else:
            engine.staged = dict(enumerate(CHUNKS))
        await wait_for_orders(engine, 1)
        staged = engine.orders[0][3]
        needed = len(CHUNKS) if is_complete else 3
        assert machine.is_used
        assert [staged[index] for index in range(needed)] == CHUNKS[:needed]


async def test_load_is_not_ordered_if_a_newer_version_comes_while_connecting():
    """The engine loaded chunks of two versions."""
    async with running_driver(0b111111111, known_seconds_ago=9.0) as loader:
        newer = make_transfer(loader.target, 0)
        newer.spec.version = "3"
        engine = loader.target.engine
        engine.on_connect = lambda: setattr(loader, "transfer", newer)
        loader.transfer.completed_at = time.monotonic()
        loader.transfer.completed.set()
        await anyio.sleep(0.4)
        assert not engine.orders
