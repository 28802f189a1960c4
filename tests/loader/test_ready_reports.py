"""What a loader tells gateways of the time at which its target serves."""

import math
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest

from banyanshore.loader.target import READY_CHANGE_SECONDS, TargetMonitor
from banyanshore.weights.ready_time import drain_seconds
from banyanshore.weights.version_order import COPY_SHARE, LOAD_SECONDS
from tests.loader.test_driver import Engine
from tests.loader.test_versions_in_a_row import ALL, SWITCH_SECONDS, make_loader

pytestmark = pytest.mark.anyio

COPY_SECONDS = COPY_SHARE * SWITCH_SECONDS


async def test_target_is_expected_once_its_missing_chunks_have_come():
    loader = make_loader(0, 0b11111, named_ago=(9.5, 8.0))
    assert loader.desired_version().version == 3
    expected = 0.5 * COPY_SECONDS + LOAD_SECONDS
    assert loader.expect_ready() == pytest.approx(expected)


async def test_target_with_whole_weights_is_expected_after_its_requests():
    loader = make_loader(0, ALL)
    loader.target.report = replace(loader.target.report, active=3)
    assert loader.expect_ready() == drain_seconds(3) + LOAD_SECONDS


async def test_target_that_serves_the_version_is_ready():
    loader = make_loader(0, ALL)
    loader.target.report = replace(loader.target.report, model_version=3)
    assert loader.expect_ready() == 0.0


async def test_nothing_is_expected_of_a_target_that_is_away():
    loader = make_loader(0, ALL)
    loader.target.report = None
    assert loader.expect_ready() == math.inf


async def test_nothing_is_expected_before_a_transfer_begins():
    loader = make_loader(0, 0)
    for transfer in loader.carried:
        loader.carried.remove(transfer)
    assert loader.expect_ready() == math.inf


class Links:
    """Links that keep the notices."""

    def __init__(self):
        self.sent = []

    def get(self, address, instance):
        return self

    async def notify_or_drop(self, message):
        self.sent.append(message)


def make_monitor(monkeypatch):
    row = SimpleNamespace(address="127.0.0.1:2", instance="g")
    monkeypatch.setattr("banyanshore.loader.target.choose_hubs", lambda rows: {})
    monkeypatch.setattr("banyanshore.loader.target.hubs_for", lambda *a: [row])
    registry = SimpleNamespace(members_of=lambda role: [])
    settings = SimpleNamespace(target_address="127.0.0.1:1", data_centre="dc")
    monitor = TargetMonitor(settings, Engine(), registry, 1)
    monitor.links = Links()
    monitor.report = monitor.engine.report
    return monitor


async def test_expected_time_is_told_again_only_if_it_moves(monkeypatch):
    """Each report goes to all gateways: a transfer must not double them."""
    monitor = make_monitor(monkeypatch)
    ready_at = time.monotonic() + 5.0
    monitor.expect_ready = lambda: ready_at - time.monotonic()
    for _ in range(5):
        await monitor.send_report()
    assert len(monitor.links.sent) == 1
    assert monitor.links.sent[0].ready_in == pytest.approx(5.0, abs=0.1)
    ready_at += READY_CHANGE_SECONDS + 0.1
    await monitor.send_report()
    await monitor.send_report()
    assert len(monitor.links.sent) == 2


async def test_target_that_stays_ready_or_unknown_is_not_told_again(monkeypatch):
    monitor = make_monitor(monkeypatch)
    for seconds in (0.0, math.inf):
        monitor.expect_ready = lambda seconds=seconds: seconds
        await monitor.send_report()
        sent = len(monitor.links.sent)
        for _ in range(5):
            await monitor.send_report()
        assert len(monitor.links.sent) == sent
