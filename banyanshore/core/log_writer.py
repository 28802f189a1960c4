"""Write log records from a thread of its own, and end in time whatever the reader does.

Load pattern: the log is a pipe whose reader is stopped, slow or gone while requests are
in flight. A write to it may then wait without end, so it takes no lock that the process
needs, and the process doesn't wait for it when it ends.
"""

import contextlib
import logging
import os
import queue
import select
import threading

# Seconds for which the end of a process waits for the records that are still queued.
STOP_SECONDS = 0.5
# Milliseconds, for ``poll``, between looks at a log that can't take more at present.
POLL_MILLISECONDS = 100


class LogWriter:
    """Format queued records and write each as a line.

    :param handler: the :class:`~banyanshore.core.logs.BoundedQueueHandler`.
    :param formatter: :class:`logging.Formatter` that makes a line of each record.
    :param descriptor: file descriptor that it writes to, without a buffer: what waits
        in one would be flushed when the interpreter ends.
    """

    def __init__(self, handler, formatter, descriptor):
        self._handler = handler
        self._records = handler.queue
        self._formatter = formatter
        self._descriptor = descriptor
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._write_all, name="log-writer", daemon=True
        )
        # Number of records that could not be written since the last line.
        self._lost = 0
        # The record that is being written.
        self._record = None

    def start(self):
        """Start to write."""
        self._thread.start()

    def stop(self):
        """Write the queued records for at most :data:`STOP_SECONDS`.

        :return: the number of lost records that no line tells of.
        """
        self._stopping.set()
        # Wakes the thread; a full queue does so too.
        with contextlib.suppress(queue.Full):
            self._records.put_nowait(None)
        self._thread.join(STOP_SECONDS)
        waiting = [self._record, *list(self._records.queue)]
        count = sum(_count_with_dropped(r) for r in waiting if r is not None)
        return self._lost + count + self._handler.dropped

    def _write_all(self):
        while not (self._stopping.is_set() and self._records.empty()):
            self._record = self._records.get()
            if self._record is not None:
                self._write_record(self._record)
            self._record = None

    def _write_record(self, record):
        count = _count_with_dropped(record)
        if self._lost:
            record.dropped_before = count - 1 + self._lost
        line = f"{self._format(record)}\n"
        try:
            self._write(line.encode(errors="backslashreplace"))
        except OSError:
            self._lost += count
        else:
            self._lost = 0

    def _format(self, record):
        try:
            return self._formatter.format(record)
        except Exception as error:
            text = f"log record not formatted: {record.msg!r}"
            attributes = {
                "name": record.name,
                "levelno": logging.ERROR,
                "levelname": "ERROR",
                "msg": text,
                "why": repr(error),
            }
            return self._formatter.format(logging.makeLogRecord(attributes))

    def _write(self, data):
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                # Whoever shares the pipe has made it non-blocking.
                _is_writable(self._descriptor, POLL_MILLISECONDS)


def _count_with_dropped(record):
    """Return the number of records that are lost with a record."""
    return 1 + getattr(record, "dropped_before", 0)


def write_if_possible(descriptor, text):
    """Write a short text, unless that would have to wait or fails.

    :return: whether it was written.
    """
    try:
        if not _is_writable(descriptor, 0):
            return False
        os.write(descriptor, text.encode(errors="backslashreplace"))
    except OSError:
        return False
    return True


def _is_writable(descriptor, milliseconds):
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    events = poll.poll(milliseconds)
    return any(event & select.POLLOUT for _, event in events)
