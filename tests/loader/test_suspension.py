"""A loader whose machine was suspended during a rollout."""

import time
from types import SimpleNamespace

import pytest

from banyanshore.core.clock import boottime_now
from banyanshore.loader.target_turn import TargetTurn
from banyanshore.weights.desired_versions import DesiredVersion
from banyanshore.weights.relay import RelayedTransfer
from tests.suspension import SuspendedMachine

SETTINGS = SimpleNamespace(version_switch_seconds=7.2, weights=None)


def test_suspension_brings_the_switch_closer(monkeypatch):
    """The loader waited for the switch as long as if it had not been suspended."""
    machine = SuspendedMachine(monkeypatch)
    target = SimpleNamespace(report=None)
    turn = TargetTurn(SimpleNamespace(settings=SETTINGS, target=target))
    wanted = DesiredVersion("s", "m", 2, 4, 1024, boottime_now())
    now = time.monotonic()
    assert turn._load_by(now, wanted) - now == pytest.approx(7.2, abs=0.1)
    machine.suspend(5.0)
    now = time.monotonic()
    assert turn._load_by(now, wanted) - now == pytest.approx(2.2, abs=0.1)


def test_transfer_is_late_after_a_suspension(monkeypatch):
    """It was urgent only as long after the name as the process had run."""
    machine = SuspendedMachine(monkeypatch)
    arguments = (SETTINGS, *[None] * 8)
    transfer = RelayedTransfer(None, 1024, boottime_now(), *arguments)
    assert not transfer.is_urgent
    machine.suspend(7.0)
    assert transfer.is_urgent
