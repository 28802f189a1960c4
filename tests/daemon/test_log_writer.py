"""The thread that writes the log, with pipes and disks that fail."""

import json
import logging
import os

import pytest

from banyanshore.core.log_writer import LogWriter
from banyanshore.core.logs import BoundedQueueHandler, JsonFormatter


def make_record(text, *args):
    return logging.LogRecord("l", logging.INFO, "p", 1, text, args, None)


@pytest.fixture
def handler():
    return BoundedQueueHandler()


def write(handler, descriptor):
    """Write what the handler has queued; return the number of lost records."""
    writer = LogWriter(handler, JsonFormatter("i", "a"), descriptor)
    writer.start()
    return writer.stop()


def test_records_for_a_closed_pipe_are_counted(handler):
    reader, descriptor = os.pipe()
    os.close(reader)
    for _ in range(3):
        handler.emit(make_record("x"))
    assert write(handler, descriptor) == 3
    os.close(descriptor)


def test_next_line_tells_of_records_that_failed_before(handler, monkeypatch):
    """They were lost without a trace in the log."""
    reader, descriptor = os.pipe()
    kernel_write = os.write
    failures = iter([OSError(28, "no space left"), OSError(28, "no space left")])

    def write_or_fail(number, data):
        if number == descriptor:
            for error in failures:
                raise error
        return kernel_write(number, data)

    monkeypatch.setattr(os, "write", write_or_fail)
    for _ in range(4):
        handler.emit(make_record("x"))
    assert write(handler, descriptor) == 0
    os.close(descriptor)
    with open(reader) as log:
        rows = [json.loads(line) for line in log]
    assert [row.get("dropped_before") for row in rows] == [2, None]


def test_record_with_wrong_arguments_stops_no_later_one(handler):
    reader, descriptor = os.pipe()
    handler.emit(make_record("%d", "x"))
    handler.emit(make_record("later"))
    assert write(handler, descriptor) == 0
    os.close(descriptor)
    with open(reader) as log:
        first, second = (json.loads(line) for line in log)
    assert first["level"] == "error"
    assert first["message"] == "log record not formatted: '%d'"
    assert second["message"] == "later"


def test_pipe_that_is_not_blocking_is_waited_for(handler):
    """Its records were lost as soon as it was full."""
    reader, descriptor = os.pipe()
    os.set_blocking(descriptor, False)
    writer = LogWriter(handler, JsonFormatter("i", "a"), descriptor)
    for _ in range(100):
        handler.emit(make_record("a" * 2000))
    writer.start()
    received = b""
    while received.count(b"\n") < 100:
        received += os.read(reader, 65_536)
    assert writer.stop() == 0
    os.close(descriptor)
    os.close(reader)
