import os
import subprocess
import sys

import pytest

from tests.deployment import ROOT
from tests.ports import free_ports, lock_port

HOLDER = """
import sys
from tests.ports import lock_port
print(lock_port(int(sys.argv[1])), flush=True)
sys.stdin.readline()
"""


@pytest.mark.parametrize("has_own_folder", [False, True])
def test_port_locked_by_another_process_is_not_available(tmp_path, has_own_folder):
    """A run with a folder of its own for temporary files took the ports of others."""
    # Outside the range of the ports that other tests lock meanwhile.
    port = free_ports(1)[0] + 40_000
    environment = {**os.environ, "TMPDIR": str(tmp_path)} if has_own_folder else None
    with subprocess.Popen(
        [sys.executable, "-c", HOLDER, str(port)],
        cwd=ROOT,
        env=environment,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as holder:
        assert holder.stdout.readline().strip() == "True"
        assert not lock_port(port)
        holder.stdin.write("\n")
        holder.stdin.flush()
        holder.wait()
    # The lock is released when its holder exits.
    assert lock_port(port)
