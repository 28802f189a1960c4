"""Count the work of a call without a clock."""

import json
import sys
from dataclasses import dataclass
from unittest import mock


@dataclass
class Work:
    """Work that was counted.

    :ivar calls: calls of Python functions.
    :ivar json_bytes: characters of JSON that were decoded or encoded.
    """

    calls: int = 0
    json_bytes: int = 0


def count_work(function):
    """Call a function and return its :class:`Work`."""
    work = Work()
    loads, dumps = json.loads, json.dumps

    def count_loads(text, **options):
        work.json_bytes += len(text)
        return loads(text, **options)

    def count_dumps(value, **options):
        text = dumps(value, **options)
        work.json_bytes += len(text)
        return text

    def count_call(frame, event, argument):
        work.calls += event == "call"

    with (
        mock.patch.object(json, "loads", count_loads),
        mock.patch.object(json, "dumps", count_dumps),
    ):
        sys.setprofile(count_call)
        try:
            function()
        finally:
            sys.setprofile(None)
    return work
