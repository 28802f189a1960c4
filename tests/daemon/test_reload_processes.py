"""Real processes whose settings file can't be taken go on."""

import contextlib
import json
import os
import shutil
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import anyio
import pytest
import yaml

from tests.daemon.documents import make_document
from tests.deployment import Process, wait_for
from tests.stopping.callers import Callers, WorkingTarget, running_target
from tests.stopping.process import running_gateway_process

# Roles that apply changed settings while they run.
ROLES = ["control", "gateway", "loader"]
NESTED = "[" * 2000
BAD_TEXT_BY_NAME = {
    "not-text": b"\xff\xfe\x00\x81",
    "nested": f"role: {NESTED}".encode(),
    "number": b"role: " + b"9" * 5000,
    "date": b"role: 2026-99-99",
    "role": b"role: unknown",
    "huge": b"# " + b"a" * 1_000_000,
}


@dataclass
class Running:
    """A process and its settings file."""

    process: Process
    path: Path
    document: dict

    def write(self, **changes):
        self.path.write_text(yaml.safe_dump({**self.document, **changes}))

    def rows(self, *messages):
        """Return the log records with one of the messages."""
        lines = [line for line in self.process.log().splitlines() if line[:1] == "{"]
        rows = [json.loads(line) for line in lines]
        return [row for row in rows if row["message"] in messages]

    def wait_for_rows(self, count, *messages):
        """Wait until the process has logged that many such records."""
        wait_for(
            lambda: self.has_ended() or len(self.rows(*messages)) >= count,
            what=f"{count} records {messages}",
        )
        assert not self.has_ended(), self.process.log()

    def has_ended(self):
        return self.process.process.poll() is not None


@contextlib.contextmanager
def running(role, folder):
    path = folder / "settings.yaml"
    document = make_document(role, folder)
    path.write_text(yaml.safe_dump(document))
    command = [sys.executable, "-m", "banyanshore.daemon", "--settings", str(path)]
    process = Process(role, command, folder)
    try:
        wait_for(lambda: "started" in process.log())
        yield Running(process, path, document)
    finally:
        process.kill()


@pytest.mark.parametrize("role", ROLES)
def test_process_goes_on_when_sighup_comes_with_a_bad_file(role, tmp_path):
    """An error other than a wrong setting ended the process."""
    with running(role, tmp_path) as run:
        bad = [*BAD_TEXT_BY_NAME.values(), None]
        for count, text in enumerate(bad, start=1):
            run.path.unlink()
            if text is not None:
                run.path.write_bytes(text)
            run.process.signal(signal.SIGHUP)
            run.wait_for_rows(count, "settings not taken")
        assert all(row["why"] for row in run.rows("settings not taken"))
        run.write(seeds=["127.0.0.9:1"])
        run.process.signal(signal.SIGHUP)
        run.wait_for_rows(1, "settings reloaded")
        assert run.process.stop() == 0


@pytest.mark.parametrize("role", ROLES)
def test_process_goes_on_when_its_file_turns_bad_without_a_signal(role, tmp_path):
    """The timer's check ended the process, and with it its requests in flight."""
    with running(role, tmp_path) as run:
        run.path.write_bytes(BAD_TEXT_BY_NAME["date"])
        run.wait_for_rows(1, "settings not taken")
        run.path.unlink()
        run.path.mkdir()
        run.wait_for_rows(2, "settings not taken")
        shutil.rmtree(run.path)
        run.write(seeds=["127.0.0.9:1"])
        run.wait_for_rows(1, "settings reloaded")
        assert len(run.rows("settings not taken")) in (2, 3)
        assert run.process.stop() == 0


def test_file_that_is_a_pipe_without_a_writer_does_not_stop_the_process(tmp_path):
    """Its read waited for a writer, and the process neither served nor stopped."""
    with running("gateway", tmp_path) as run:
        run.path.unlink()
        os.mkfifo(run.path)
        run.process.signal(signal.SIGHUP)
        run.wait_for_rows(1, "settings not taken")
        assert run.process.stop() == 0


@pytest.mark.anyio
async def test_bad_file_cuts_off_no_request(tmp_path):
    """A file with a wrong date and SIGHUP ended a gateway with its requests."""
    target = WorkingTarget(seconds=1.0)
    route = {"timeout_seconds": 6.0, "objective_seconds": 2.0, "max_attempts": 1}
    async with (
        running_target(target) as address,
        running_gateway_process(tmp_path, [address], **route) as gateway,
        anyio.create_task_group() as tasks,
    ):
        callers = Callers(gateway.address)
        for _ in range(4):
            tasks.start_soon(callers.ask_once)
        await anyio.sleep(0.4)
        gateway.settings_path.write_bytes(BAD_TEXT_BY_NAME["date"])
        gateway.signal(signal.SIGHUP)
        await gateway.signal_in_turn((1.0, signal.SIGTERM))
        assert await gateway.wait() == 0
    assert [row.status for row in callers.rows] == [200] * 4
    assert len(gateway.log_rows("settings not taken")) >= 1


def test_file_of_another_process_is_not_taken(tmp_path):
    """A gateway took the file of another role and ended, as it names no seeds."""
    with running("gateway", tmp_path) as run:
        entry = make_document("entry", tmp_path)
        others = [entry, {**run.document, "instance": "j", "seeds": ["127.0.0.9:1"]}]
        for count, document in enumerate(others, start=1):
            run.path.write_text(yaml.safe_dump(document))
            run.process.signal(signal.SIGHUP)
            run.wait_for_rows(count, "settings not taken")
        assert run.rows("settings reloaded") == []
        assert run.process.stop() == 0


def test_changes_that_need_a_restart_are_named(tmp_path):
    """They were logged as reloaded, and had no effect."""
    with running("gateway", tmp_path) as run:
        run.write(callers_bind="127.0.0.1:1", seeds=["127.0.0.9:1"])
        run.process.signal(signal.SIGHUP)
        run.wait_for_rows(1, "settings reloaded")
        run.wait_for_rows(1, "settings need a restart")
        (row,) = run.rows("settings need a restart")
        assert row["changed"] == ["callers_bind"]
        assert run.rows("settings reloaded")[0]["changed"] == ["seeds"]
        assert run.process.stop() == 0
