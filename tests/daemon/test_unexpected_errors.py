"""Test what a process logs that ends by an error that nobody expected."""

import json
import subprocess
import sys
import textwrap
from pathlib import Path

import pytest

from tests.daemon.documents import ROLES, make_document

ROOT = Path(__file__).parents[2]
# A process of which two tasks fail at the same time, the first one in nested groups.
PROGRAM = textwrap.dedent(
    """
    import sys
    from collections import deque

    import anyio

    from banyanshore.daemon import run

    async def take_staged():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(take_from, deque())

    async def take_from(queue):
        queue.popleft()

    async def divide():
        return 1 / 0

    class Failing:
        def __init__(self, settings):
            pass

        async def run(self, stop_requested, force_requested):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(take_staged)
                tasks.start_soon(divide)

    run._FACTORY_BY_ROLE = dict.fromkeys(run._FACTORY_BY_ROLE, Failing)
    run.main(["banyanshored", "--settings", sys.argv[1]])
    """
)


@pytest.mark.parametrize("role", ROLES)
def test_unexpected_errors_leave_one_line_each(role, tmp_path):
    """A loader ended, and its log told nothing: the error went to standard error."""
    settings = tmp_path / "settings.json"
    log = tmp_path / "log"
    document = make_document(role, tmp_path) | {"log_file": str(log)}
    settings.write_text(json.dumps(document))
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(settings)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    rows = [json.loads(line) for line in log.read_text().splitlines()]
    ends = [row for row in rows if row["message"] == "ended by an unexpected error"]
    assert result.returncode == 1
    assert [row["level"] for row in ends] == ["critical"] * 2
    whys = sorted(row["why"] for row in ends)
    assert [why.partition("(")[0] for why in whys] == [
        "IndexError",
        "ZeroDivisionError",
    ]
    assert all("Traceback" in row["exception"] for row in ends)
    assert any("in take_from" in row["exception"] for row in ends)
