"""Run the tests of crowds one at a time, in whatever processes pytest runs them."""

import fcntl
import tempfile
from pathlib import Path

import pytest

LOCK_FILE = Path(tempfile.gettempdir()) / "banyanshore-test-crowds"


@pytest.fixture(autouse=True)
def one_at_a_time():
    """Wait until no other test of this folder runs on this machine."""
    with LOCK_FILE.open("ab") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield
