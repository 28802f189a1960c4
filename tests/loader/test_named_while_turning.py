"""A version is named while targets turn to the one before it."""

import math
import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.conf.loader import parse_settings
from banyanshore.core.clock import boottime_now
from banyanshore.loader.process import Loader
from banyanshore.loader.target_turn import TargetTurn
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import empty_document, to_json
from tests.loader.test_driver import LAYERS, Engine
from tests.loader.test_versions_in_a_row import (
    ALL,
    CHUNKS,
    LOADER_SETTINGS,
    make_planned_transfer,
)

pytestmark = pytest.mark.anyio


class SlowEngine(Engine):
    """An engine that carries out an order only once it may."""

    def __init__(self):
        super().__init__()
        self.may_load = anyio.Event()
        self.ordered = anyio.Event()

    async def load(self, model, version, end_layer=None, may_send=lambda: True):
        outcome = await super().load(model, version, end_layer, may_send)
        self.ordered.set()
        await self.may_load.wait()
        return outcome


def name_versions(loader, ago_by_version):
    """Have a loader know the versions, each named some seconds ago."""
    document = empty_document()
    engine = {"layers": LAYERS, "chunk_bytes": 1, "models": [{"name": "m"}]}
    document["services"]["s"] = {"kind": "engine", "engine": engine}
    ages = {("m", version): ago for version, ago in ago_by_version.items()}
    loader.versions.record_ages(boottime_now(), {("m", 1): math.inf, **ages})
    newest = max(ago_by_version)
    document["rollouts"]["m"] = {"version": newest}
    loader.state.apply(PublishedState(newest, Fence(1, newest), to_json(document)))


def make_loader(engine):
    loader = Loader(parse_settings(LOADER_SETTINGS), engine, lambda address: None)
    loader.links = None
    loader.target.report = engine.report

    async def send_nothing():
        pass

    loader.target.send_report = send_nothing
    return loader


def carry(loader, version, have):
    """Have the loader carry a version of which some chunks have arrived."""
    row = next(r for r in loader.carried_versions() if r.version == version)
    transfer = make_planned_transfer(loader, row, have)
    if have == ALL:
        complete(loader, transfer)
    return transfer


def complete(loader, transfer):
    transfer.planner.have = ALL
    data = CHUNKS[transfer.version]
    for index, digest in enumerate(transfer.manifest.chunk_digests):
        loader.store.put(digest, data[index : index + 1])
    transfer.completed_at = time.monotonic()
    transfer.completed.set()


async def wait_until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.01)


def is_of(order, version):
    _, ordered, end_layer, staged = order
    chunks = {index: bytes([version]) for index in range(10)}
    return (ordered, end_layer, staged) == (version, None, chunks)


async def test_target_that_turns_ends_its_turn_and_then_loads_the_next_version():
    """No load may have chunks of both, and none may be given up halfway."""
    engine = SlowEngine()
    loader = make_loader(engine)
    name_versions(loader, {2: 7.0})
    carry(loader, 2, ALL)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(loader.driver.run)
        with anyio.fail_after(5):
            await engine.ordered.wait()
        name_versions(loader, {2: 7.0, 3: 0.0})
        newer = carry(loader, 3, 0)
        assert loader.target.is_loading
        async with anyio.create_task_group() as newer._tasks:
            for index in range(10):
                # Chunks wait while an order is on its way.
                await newer._store_chunk(index, CHUNKS[3][index : index + 1])
        assert set(engine.staged.values()) == {bytes([2])}
        engine.may_load.set()
        await wait_until(lambda: loader.target.report.model_version == 2)
        assert len(engine.orders) == 1
        complete(loader, newer)
        await wait_until(lambda: len(engine.orders) == 2)
        await wait_until(lambda: loader.target.report.model_version == 3)
        tasks.cancel_scope.cancel()
    assert is_of(engine.orders[0], 2)
    assert is_of(engine.orders[1], 3)


async def test_target_that_drains_serves_on_if_the_newer_version_goes_first():
    """It got no requests although the weights that it drained for were given up."""
    engine = SlowEngine()
    engine.report = replace(engine.report, active=9)
    loader = make_loader(engine)
    name_versions(loader, {2: 7.0})
    older = carry(loader, 2, ALL >> 1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(loader.driver.run)
        await wait_until(lambda: loader.target.is_loading)
        # The newer version was named so long ago that the older one is given up.
        name_versions(loader, {2: 8.6, 3: 8.5})
        newer = carry(loader, 3, 0)
        assert loader.desired_version().version == 3
        await wait_until(lambda: not loader.target.is_loading)
        assert not engine.orders
        complete(loader, older)
        await anyio.sleep(0.05)
        assert loader.transfer is newer
        tasks.cancel_scope.cancel()
    assert all(version != 2 for _, version, *_ in engine.orders)


async def test_turn_is_logged_once_with_its_inputs(caplog):
    caplog.set_level("INFO")
    engine = SlowEngine()
    engine.may_load.set()
    loader = make_loader(engine)
    name_versions(loader, {2: 7.0})
    carry(loader, 2, ALL)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(loader.driver.run)
        await wait_until(lambda: loader.target.report.model_version == 2)
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    (record,) = [row for row in caplog.records if row.message == "target turns"]
    assert (record.cause, record.group, record.groups) == ("planned", 1, 1)
    assert record.load_by_in == pytest.approx(2.0, abs=0.3)
    assert engine.orders[0][1] == 2
    _, text = loader.metrics.registry.render()
    assert b'banyanshore_target_turns_total{cause="planned"} 1' in text


async def test_target_that_drains_serves_on_if_its_link_becomes_slow():
    """It would get no requests for as long as the chunks take."""
    engine = SlowEngine()
    engine.report = replace(engine.report, active=9)
    loader = make_loader(engine)
    name_versions(loader, {2: 0.5})
    transfer = carry(loader, 2, ALL >> 2)
    transfer.copy_seconds = lambda: 5.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(loader.driver.run)
        await wait_until(lambda: loader.target.is_loading)
        transfer.copy_seconds = lambda: 25.0
        transfer.seconds_without_chunk = lambda now: 0.1
        with anyio.fail_after(1):
            await wait_until(lambda: not loader.target.is_loading)
        tasks.cancel_scope.cancel()
    assert not engine.orders


async def test_target_whose_chunks_come_with_pauses_does_not_drain_early():
    """It drained four times, for 3 s in all, as chunks came fast between the pauses."""
    engine = SlowEngine()
    engine.report = replace(engine.report, active=9)
    loader = make_loader(engine)
    name_versions(loader, {2: 4.0})
    transfer = carry(loader, 2, ALL >> 4)
    transfer.copy_seconds = lambda: 2.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(loader.driver.run)
        await anyio.sleep(0.2)
        assert not loader.target.is_loading
        transfer.planner.have = ALL >> 1
        await wait_until(lambda: loader.target.is_loading)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("have", [0, ALL >> 4, ALL])
async def test_first_version_has_no_turn(have):
    """It has been known for ever, and no weights before it may be used."""
    loader = make_loader(SlowEngine())
    name_versions(loader, {2: 2.0})
    transfer = carry(loader, 2, 0)
    transfer.planner.have = have
    first = replace(loader.carried_versions()[0], version=1, known_since=-math.inf)
    turn = TargetTurn(loader)
    turn.plan(first, transfer)
    assert not turn.is_draining
