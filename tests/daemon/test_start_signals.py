"""Signals at drawn moments of a start, after the process has begun to hold them."""

import contextlib
import random
import signal
import sys
import time

import pytest
import yaml

from tests.daemon.documents import ROLES, make_document
from tests.deployment import Process, wait_for

SEED = 48
# Longest time in seconds from the hold to the first signal; most starts take less.
MAX_DELAY_SECONDS = 1.0
STOPS_BY_NAME = {
    "once": [signal.SIGTERM],
    "twice": [signal.SIGTERM, signal.SIGTERM],
    "interrupted": [signal.SIGINT, signal.SIGINT],
    "reload-first": [signal.SIGHUP, signal.SIGTERM],
}


def holds_signals(process):
    """Return whether the process has blocked SIGTERM, or handles it."""
    with open(f"/proc/{process.pid}/status") as stream:
        masks = [line.split()[1] for line in stream if line[:6] in ("SigBlk", "SigCgt")]
    return any(int(mask, 16) >> (signal.SIGTERM - 1) & 1 for mask in masks)


@contextlib.contextmanager
def starting(role, folder):
    """Yield a process that has begun to start, and its settings file."""
    folder.mkdir()
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(make_document(role, folder)))
    command = [sys.executable, "-m", "banyanshore.daemon", "--settings", str(path)]
    process = Process(role, command, folder)
    try:
        wait_for(lambda: holds_signals(process), step=0.005)
        yield process, path
    finally:
        process.kill()


@pytest.mark.parametrize("role", ROLES)
def test_process_stopped_at_any_moment_of_its_start_ends_orderly(role, tmp_path):
    drawn = random.Random(f"{SEED}-{role}")
    with contextlib.ExitStack() as stack:
        processes = {}
        for name, numbers in STOPS_BY_NAME.items():
            process, _ = stack.enter_context(starting(role, tmp_path / name))
            processes[name] = process
            time.sleep(drawn.uniform(0.0, MAX_DELAY_SECONDS))
            for number in numbers:
                process.signal(number)
                time.sleep(drawn.uniform(0.0, 0.1))
        for name, process in processes.items():
            assert process.process.wait(10) == 0, (name, process.log())


@pytest.mark.parametrize("role", ROLES)
def test_settings_changed_at_any_moment_of_a_start_do_not_end_it(role, tmp_path):
    drawn = random.Random(f"{SEED}-{role}-change")
    with starting(role, tmp_path / "a") as (process, path):
        time.sleep(drawn.uniform(0.0, MAX_DELAY_SECONDS))
        # Replaced at once: a start from a file that is half written rightly fails.
        changed = path.with_suffix(".new")
        changed.write_text(path.read_text() + "log_level: debug\n")
        changed.replace(path)
        process.signal(signal.SIGHUP)
        process.signal(signal.SIGHUP)
        wait_for(lambda: "started" in process.log() or process.process.poll())
        assert process.process.poll() is None, process.log()
        assert process.stop() == 0
