"""JSON-lines logging with the instance, data centre and request of each record."""

import json
import logging
import logging.handlers
import queue
import sys
import time
from contextvars import ContextVar

# Records that may wait to be written; some seconds of a busy instance.
MAX_WAITING_RECORDS = 10_000

request_id_var = ContextVar("request_id", default="")
trace_id_var = ContextVar("trace_id", default="")

_PLAIN_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Format each record as one JSON object on a line of its own.

    :param instance: name of the instance that writes the log.
    :param data_centre: data centre of that instance.
    """

    def __init__(self, instance, data_centre):
        super().__init__()
        self.instance = instance
        self.data_centre = data_centre

    def format(self, record):
        """Return the record as JSON text, with its extra attributes as keys."""
        entry = {
            "time": self._format_time(record.created),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
            "instance": self.instance,
            "data_centre": self.data_centre,
        }
        for name, value in vars(record).items():
            if name not in _PLAIN_ATTRIBUTES and value not in ("", None):
                entry[name] = value
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str)

    def _format_time(self, created):
        base = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(created))
        return f"{base}.{int(created % 1 * 1000):03d}Z"


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Hand records to the thread that writes them, and never wait for it.

    Records beyond the bound are dropped; the next one that fits tells how many.
    """

    def __init__(self):
        super().__init__(queue.Queue(MAX_WAITING_RECORDS))
        self._dropped = 0

    def prepare(self, record):
        """Return the record as it is, with the request and trace it belongs to."""
        record.request_id = getattr(record, "request_id", "") or request_id_var.get()
        record.trace_id = trace_id_var.get()
        if self._dropped:
            record.dropped_before = self._dropped
        return record

    def enqueue(self, record):
        """Queue a record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
            self._dropped = 0
        except queue.Full:
            self._dropped += 1


def configure_logging(
    instance, data_centre, level="info", path="", to_standard_output=False
):
    """Send all log records as JSON lines to a file, or to a standard stream.

    A thread writes them, so that a slow reader of the log holds nothing up.

    :param level: lowest level that is written, in lower case.
    :param path: file to append to; empty for a standard stream.
    :param to_standard_output: whether that is standard output, not standard error.
    :return: the listener whose ``stop()`` writes what waits.
    """
    standard = sys.stdout if to_standard_output else sys.stderr
    stream = open(path, "a", encoding="utf-8") if path else standard  # noqa: SIM115
    writer = logging.StreamHandler(stream)
    writer.setFormatter(JsonFormatter(instance, data_centre))
    handler = BoundedQueueHandler()
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for noisy in ("httpx", "httpcore", "hypercorn.access", "hypercorn.error"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    listener = logging.handlers.QueueListener(handler.queue, writer)
    listener.start()
    return listener
