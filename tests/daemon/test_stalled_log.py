"""Processes whose log nobody reads any more serve, and end in time."""

import contextlib
import fcntl
import os
import re
import select
import signal
import socket
import subprocess
import sys
import time

import anyio
import pytest
import yaml

from tests.daemon.documents import ROLES, make_document
from tests.deployment import ROOT, wait_for
from tests.stopping.callers import Callers, WorkingTarget, running_target
from tests.stopping.process import running_gateway_process

# Linux rounds the size of a pipe up to a page.
PIPE_BYTES = 4096
# Seconds from SIGTERM to the end, below the default grace of 8 s.
STOP_SECONDS = 7.0
# Roles that answer requests of callers or operators.
CALLER_ROLES = frozenset({"control", "gateway", "entry"})
FULL_QUEUE = """
import logging, sys
from banyanshore.core.logs import MAX_QUEUED_RECORDS, configure_logging

log_writer = configure_logging("i", "a", to_standard_output=True)
for _ in range(2 * MAX_QUEUED_RECORDS):
    logging.info("a" * 100)
sys.stderr.write(str(log_writer.stop()))
"""


class PipedProcess:
    """A process of a role that logs to a pipe.

    :param error_log: file for its standard error; ``None``: the same pipe.
    """

    def __init__(self, role, folder, error_log=None):
        self.document = make_document(role, folder)
        path = folder / "settings.yaml"
        path.write_text(yaml.safe_dump(self.document))
        self.reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        command = [sys.executable, "-m", "banyanshore.daemon", "--settings", str(path)]
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=writer, stderr=error_log or writer
        )
        os.close(writer)

    def read_until(self, text):
        """Read the log until a text occurs."""
        log = b""
        deadline = time.monotonic() + 20
        while text not in log and time.monotonic() < deadline:
            if select.select([self.reader], [], [], 0.1)[0]:
                log += os.read(self.reader, 4096)
        assert text in log

    def close_reader(self):
        """Close the only end from which the log can be read."""
        os.close(self.reader)
        self.reader = None

    def log_much(self):
        """Have it log more than the pipe holds."""
        for _ in range(100):
            self.process.send_signal(signal.SIGHUP)
            time.sleep(0.01)

    def is_stalled(self):
        """Return whether a thread of it waits to write to the pipe."""
        folder = f"/proc/{self.process.pid}/task"
        for task in os.listdir(folder):
            with open(f"{folder}/{task}/wchan") as stream:
                if "pipe_write" in stream.read():
                    return True
        return False

    def receives_answer(self):
        """Return whether a caller gets an answer."""
        address = self.document.get("callers_bind") or self.document["control_bind"]
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.sendall(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")
            return connection.recv(4) == b"HTTP"

    def close(self):
        """End it at once."""
        self.process.kill()
        self.process.wait()
        if self.reader is not None:
            self.close_reader()


@contextlib.contextmanager
def running(role, folder, error_log=None):
    process = PipedProcess(role, folder, error_log)
    try:
        process.read_until(b"started")
        yield process
    finally:
        process.close()


@pytest.mark.parametrize("role", ROLES)
def test_process_whose_log_is_stalled_serves_and_ends_in_time(role, tmp_path):
    """Its end waited without limit for the log: it was killed."""
    with running(role, tmp_path) as run:
        run.log_much()
        wait_for(run.is_stalled)
        if role in CALLER_ROLES:
            assert run.receives_answer()
        run.process.terminate()
        assert run.process.wait(STOP_SECONDS) == 0


@pytest.mark.parametrize("role", ROLES)
def test_process_whose_log_was_closed_serves_and_ends_in_time(role, tmp_path):
    with running(role, tmp_path) as run:
        run.close_reader()
        run.log_much()
        if role in CALLER_ROLES:
            assert run.receives_answer()
        run.process.terminate()
        assert run.process.wait(STOP_SECONDS) == 0


def test_writer_with_a_full_queue_stops_and_counts_what_it_lost():
    """The stop waited without limit, and nobody learned how many were lost."""
    reader, writer = os.pipe()
    command = [sys.executable, "-c", FULL_QUEUE]
    process = subprocess.Popen(
        command, cwd=ROOT, stdout=writer, stderr=subprocess.PIPE, text=True
    )
    os.close(writer)
    try:
        _, text = process.communicate(timeout=STOP_SECONDS)
    finally:
        process.kill()
        with open(reader, "rb") as log:
            lines = log.read().count(b"\n")
    assert process.returncode == 0, text
    assert lines + int(text) == 20_000


def test_number_of_lost_records_is_told_on_standard_error(tmp_path):
    """Nobody learned that the end of a log is missing."""
    with (
        open(tmp_path / "errors", "wb") as error_log,
        running("loader", tmp_path, error_log) as run,
    ):
        run.log_much()
        wait_for(run.is_stalled)
        assert run.process.poll() is None
        run.process.terminate()
        assert run.process.wait(STOP_SECONDS) == 0
    text = (tmp_path / "errors").read_text()
    assert re.fullmatch(r"[1-9]\d* log records could not be written\n", text)


@pytest.mark.anyio
async def test_gateway_whose_log_is_stalled_answers_its_requests_at_a_stop(tmp_path):
    """It answered them, but did not end."""
    log = tmp_path / "log"
    os.mkfifo(log)
    reader = os.open(log, os.O_RDONLY | os.O_NONBLOCK)
    fcntl.fcntl(reader, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    target = WorkingTarget(seconds=1.0)
    settings = {"log_file": str(log)}
    route = {"timeout_seconds": 6.0, "objective_seconds": 2.0, "max_attempts": 1}
    async with (
        running_target(target) as address,
        running_gateway_process(tmp_path, [address], settings, **route) as gateway,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(100):
            gateway.signal(signal.SIGHUP)
            await anyio.sleep(0.01)
        callers = Callers(gateway.address)
        for _ in range(8):
            tasks.start_soon(callers.ask_once)
        await gateway.signal_in_turn((0.4, signal.SIGTERM))
        assert await gateway.wait(STOP_SECONDS) == 0
    assert [row.status for row in callers.rows] == [200] * 8
    os.close(reader)
