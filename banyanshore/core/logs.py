"""Log as JSON lines, with the instance, data centre and request of each record."""

import json
import logging
import logging.handlers
import os
import queue
import sys
import time
from contextvars import ContextVar

from banyanshore.core.log_writer import LogWriter

# Bound of the queue to the writer thread: a few seconds of records of a busy instance.
MAX_QUEUED_RECORDS = 10_000

request_id_var = ContextVar("request_id", default="")
trace_id_var = ContextVar("trace_id", default="")

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


class JsonFormatter(logging.Formatter):
    """Format each record as a JSON object on one line.

    :param instance: name of the instance that writes the log.
    :param data_centre: data centre of that instance.
    """

    def __init__(self, instance, data_centre):
        super().__init__()
        self.instance = instance
        self.data_centre = data_centre

    def format(self, record):
        """Return the record as JSON, with its extra attributes as additional keys."""
        entry = {
            "time": self._format_time(record.created),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
            "instance": self.instance,
            "data_centre": self.data_centre,
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_ATTRIBUTES and value not in ("", None):
                entry[name] = value
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str)

    def _format_time(self, created):
        base = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(created))
        return f"{base}.{int(created % 1 * 1000):03d}Z"


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queue records for the writer thread without ever blocking.

    Records are dropped while the queue is full; the next queued record carries their
    number as ``dropped_before``.

    :ivar dropped: number of records dropped since the last one that was queued.
    """

    def __init__(self):
        super().__init__(queue.Queue(MAX_QUEUED_RECORDS))
        self.dropped = 0

    def prepare(self, record):
        """Return the record unformatted, with the current request id and trace id."""
        record.request_id = getattr(record, "request_id", "") or request_id_var.get()
        record.trace_id = trace_id_var.get()
        if self.dropped:
            record.dropped_before = self.dropped
        return record

    def enqueue(self, record):
        """Queue a record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
            self.dropped = 0
        except queue.Full:
            self.dropped += 1


def configure_logging(
    instance, data_centre, level="info", path="", to_standard_output=False
):
    """Write all log records as JSON lines to a file or a standard stream.

    A separate thread writes them, so that a slow reader of the log can't block the
    process.

    :param level: lowest level that is written, in lower case.
    :param path: file to append to; empty for a standard stream.
    :param to_standard_output: whether to use standard output instead of standard error.
    :return: the :class:`~banyanshore.core.log_writer.LogWriter`.
    """
    queue_handler = BoundedQueueHandler()
    root = logging.getLogger()
    root.handlers[:] = [queue_handler]
    root.setLevel(level.upper())
    for logger_name in ("httpx", "httpcore", "hypercorn.access", "hypercorn.error"):
        logging.getLogger(logger_name).setLevel(logging.WARNING)
    standard_stream = sys.stdout if to_standard_output else sys.stderr
    writer = LogWriter(
        queue_handler,
        JsonFormatter(instance, data_centre),
        _open_descriptor(path, standard_stream),
    )
    writer.start()
    return writer


def _open_descriptor(path, standard_stream):
    if path:
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o666)
    # A process may be started without the stream, whose number then is a socket's.
    if standard_stream is None:
        return os.open(os.devnull, os.O_WRONLY)
    return standard_stream.fileno()
