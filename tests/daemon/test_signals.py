"""Signals that reach a process while it starts and while it ends."""

import signal
import subprocess
import sys

import pytest
import yaml

from banyanshore.conf import load_settings
from banyanshore.control.process import Control
from tests.control.instance import make_settings
from tests.daemon.documents import ROLES, make_document
from tests.deployment import Process, wait_for


def start(role, folder, *numbers):
    """Start a process that gets signals during its imports."""
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(make_document(role, folder)))
    arguments = [str(path), *(str(int(number)) for number in numbers)]
    command = [sys.executable, "-m", "tests.daemon.starting", *arguments]
    return Process(role, command, folder)


@pytest.mark.parametrize("role", ROLES)
def test_process_told_of_changed_settings_while_it_starts_does_not_end(role, tmp_path):
    """A process that got SIGHUP within 0.6 s of its start ended."""
    process = start(role, tmp_path, signal.SIGHUP)
    try:
        wait_for(
            lambda: "started" in process.log() or process.process.poll() is not None
        )
        assert process.process.poll() is None, process.log()
        process.process.send_signal(signal.SIGHUP)
        assert process.stop() == 0
    finally:
        process.kill()


@pytest.mark.parametrize("role", ROLES)
def test_process_asked_to_stop_while_it_starts_stops_as_planned(role, tmp_path):
    """It ended by the signal, without the steps of a planned stop."""
    process = start(role, tmp_path, signal.SIGTERM, signal.SIGHUP)
    try:
        assert process.process.wait(20) == 0, process.log()
    finally:
        process.kill()


def test_signals_after_the_last_step_of_a_stop_have_no_effect():
    script = """
import os, signal, anyio
from banyanshore.daemon.signals import HANDLED_SIGNALS, hold_signals, receive_signals

async def run():
    with receive_signals():
        pass

hold_signals()
anyio.run(run)
for number in HANDLED_SIGNALS:
    os.kill(os.getpid(), number)
signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
"""
    completed = subprocess.run([sys.executable, "-c", script], timeout=20, check=False)
    assert completed.returncode == 0


def test_settings_that_change_before_a_control_instance_is_built_are_used(tmp_path):
    """The reload ended the process, since it had nothing yet to pass the seeds to."""
    control = Control(make_settings(tmp_path, "127.0.0.1:1", "127.0.0.1:2"), None)
    path = tmp_path / "settings.yaml"
    document = {**make_document("control", tmp_path), "seeds": ["127.0.0.9:1"]}
    path.write_text(yaml.safe_dump(document))
    control.reload(load_settings(path))
    assert control._seeds == ("127.0.0.9:1",)
