"""A loader while two versions are named in a row."""

import math
import time
from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from banyanshore.conf.loader import parse_settings
from banyanshore.core.clock import boottime_now
from banyanshore.loader.process import Loader
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import empty_document, to_json
from banyanshore.weights.manifest import make_manifest
from tests.loader.test_driver import (
    LAYERS,
    SETTINGS,
    Engine,
    make_transfer,
    running_driver,
)

pytestmark = pytest.mark.anyio

# Grace period of older weights, by the settings, in seconds.
SWITCH_SECONDS = 9.0
LOADER_SETTINGS = {**SETTINGS, "version_bound_ms": 10_000}
CHUNKS = {version: bytes([version]) * 10 for version in (2, 3)}
ALL = (1 << 10) - 1


def name_versions(loader, named_ago):
    """Have a loader know that versions 2 and 3 were named some seconds ago."""
    document = empty_document()
    engine = {"layers": LAYERS, "chunk_bytes": 1, "models": [{"name": "m"}]}
    document["services"]["s"] = {"kind": "engine", "engine": engine}
    for version, ago in zip((1, 2, 3), (math.inf, *named_ago), strict=True):
        if version > 1:
            document["rollouts"]["m"] = {"version": version}
            loader.versions.record_ages(boottime_now(), {("m", version): ago})
        loader.state.apply(
            PublishedState(version, Fence(1, version), to_json(document))
        )


def make_loader(have_older, have_newer, named_ago=(5.0, 1.0)):
    """Return a loader whose target has version 1, and two transfers."""
    loader = Loader(parse_settings(LOADER_SETTINGS), Engine(), lambda address: None)
    loader.links = None
    loader.target.report = loader.engine.report
    name_versions(loader, named_ago)
    for row, have in zip(
        loader.carried_versions(), (have_older, have_newer), strict=True
    ):
        make_planned_transfer(loader, row, have)
    return loader


def make_planned_transfer(loader, row, have):
    """Return a transfer that a loader carries, of which some chunks have arrived."""
    transfer = loader._make_transfer(row)
    transfer.manifest = make_manifest("m", str(row.version), CHUNKS[row.version], 1)
    transfer.planner = SimpleNamespace(have=have)
    transfer.join(loader.carried)
    return transfer


async def test_both_versions_of_a_row_are_carried():
    """A newer version cancelled the transfer of the older one."""
    loader = make_loader(0, 0)
    assert [row.version for row in loader.carried_versions()] == [2, 3]


async def test_settled_version_is_not_carried_beside_a_newer_one():
    loader = Loader(parse_settings(LOADER_SETTINGS), Engine(), lambda address: None)
    name_versions(loader, (60.0, 1.0))
    assert [row.version for row in loader.carried_versions()] == [3]


async def test_older_version_is_loaded_first_if_the_newer_one_is_late():
    loader = make_loader(ALL, 0)
    assert loader.desired_version().version == 2
    assert loader.transfer.version == 2


async def test_newer_version_is_loaded_once_the_target_serves_the_older_one():
    loader = make_loader(ALL, 0)
    loader.target.report = replace(loader.target.report, model_version=2)
    assert loader.desired_version().version == 3


async def test_target_with_a_part_of_the_older_version_still_loads_the_rest_of_it():
    loader = make_loader(ALL, 0)
    report = replace(loader.target.report, model_version=2, end_layer=1)
    loader.target.report = report
    assert loader.desired_version().version == 2


async def test_target_with_a_part_of_the_newer_version_does_not_go_back():
    loader = make_loader(ALL, 0)
    report = replace(loader.target.report, model_version=3, end_layer=1)
    loader.target.report = report
    assert loader.desired_version().version == 3


async def test_older_version_that_may_not_serve_any_more_is_not_loaded():
    """The bound of a version counts from the name of the next one."""
    loader = make_loader(ALL, 0, named_ago=(SWITCH_SECONDS + 2.0, SWITCH_SECONDS))
    assert loader.desired_version().version == 3


async def test_only_chunks_of_the_version_that_is_loaded_next_are_staged():
    """The target stores one copy per model, whatever the version."""
    loader = make_loader(ALL >> 1, 0)
    for version in (2, 3):
        transfer = loader.carried.get(version)
        async with anyio.create_task_group() as transfer._tasks:
            await transfer._store_chunk(9, CHUNKS[version][9:])
    assert loader.engine.staged == {9: CHUNKS[2][9:]}
    assert loader.target.staging.version == 2


async def test_no_order_is_given_once_a_chunk_of_another_version_was_staged():
    """The engine would load chunks of two versions."""
    async with running_driver(0b111111111, known_seconds_ago=9.0) as loader:
        engine, staging = loader.target.engine, loader.target.staging
        connected = anyio.Event()

        def stage_another_version():
            staging.version = 3
            connected.set()

        engine.on_connect = stage_another_version
        loader.transfer.completed_at = time.monotonic()
        loader.transfer.completed.set()
        with anyio.fail_after(3):
            await connected.wait()
        await anyio.sleep(0.05)
        assert not engine.orders


async def test_chunks_wait_while_a_load_is_ordered():
    """A chunk of another version was staged while the order was on its way."""
    loader = make_loader(ALL >> 1, 0)
    transfer = loader.carried.get(2)
    async with (
        loader.target.staging.lock,
        anyio.create_task_group() as transfer._tasks,
    ):
        await transfer._store_chunk(9, CHUNKS[2][9:])
    assert not loader.engine.staged
    assert loader.store.get(loader.carried.get(2).manifest.chunk_digests[9])


async def test_target_loads_by_the_switch_of_the_version_that_it_holds():
    """It waited for the switch of the newest version, and served nothing until then."""
    async with running_driver(0, known_seconds_ago=2.0) as loader:
        now = boottime_now()
        loader.versions.record(now, {"m": {"version": 3}})
        loader.transfer = make_transfer(loader.target, 0b111111111)
        loader.transfer.spec.version = "3"
        older = loader.desired_version()
        newer = replace(older, version=3, known_since=now)
        loader.desired_version = lambda: newer
        loader.transfer.completed_at = time.monotonic()
        loader.transfer.completed.set()
        with anyio.fail_after(3):
            while not loader.target.engine.orders:
                await anyio.sleep(0.01)
        ordered_at, version, *_ = loader.target.engine.orders[0]
        assert version == 3
        switch_seconds = loader.settings.version_switch_seconds
        assert ordered_at < older.known_since + switch_seconds + 0.5
