import subprocess
import sys

from tests.deployment import ROOT
from tests.ports import free_ports, take_port

HOLDER = """
import sys
from tests.ports import take_port
print(take_port(int(sys.argv[1])), flush=True)
sys.stdin.readline()
"""


def test_port_of_another_test_run_is_not_handed_out():
    # Beyond the ports that other tests take meanwhile.
    port = free_ports(1)[0] + 40_000
    with subprocess.Popen(
        [sys.executable, "-c", HOLDER, str(port)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as holder:
        assert holder.stdout.readline().strip() == "True"
        assert not take_port(port)
        holder.stdin.write("\n")
        holder.stdin.flush()
        holder.wait()
    # Freed with the process that held it.
    assert take_port(port)
