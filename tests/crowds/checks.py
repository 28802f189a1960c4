"""Play a crowd against a process, and check what it holds and whether it answers."""

import contextlib
import resource

import anyio

from tests.crowds.crowd import Crowd
from tests.crowds.observed import ObservedProcess
from tests.gateway.deployment import ask

# The setting memory_mb of each process, and the bound of the memory that it holds.
MEMORY_MB = 96
# Callers of a crowd that sends.
CALLERS = 80
# The limit of descriptors of a process, and the callers that connect and send nothing.
DESCRIPTORS = 160
SILENT_CALLERS = 220
# Seconds between callers that come one after the other.
TURN_SECONDS = 0.05
# Seconds within which an ordinary request has to be answered; far more than it takes.
ANSWER_SECONDS = 15.0


class ServedProcess:
    """A process that a crowd calls.

    :param process: the :class:`~tests.deployment.Process`.
    :param address: where the crowd calls.
    :param ports: all ports for callers.
    :param request: an ordinary request, as bytes.
    :param asked_at: address of the ordinary request.
    """

    def __init__(self, process, address, ports, request, asked_at=None):
        self.process = process
        self.address = address
        self.ports = ports
        self.request = request
        self.asked_at = asked_at or address


async def check_crowd(served, content, size=CALLERS):
    """Assert the bounds, and that an ordinary request is answered afterwards."""
    await _check_crowds(served, [Crowd(served.address, size, content)])


async def check_callers_in_turn(served, content, size=CALLERS):
    """Do as :func:`check_crowd` with callers that come one after the other."""
    crowds = [Crowd(served.address, 1, content) for _ in range(size)]
    await _check_crowds(served, crowds)


async def _check_crowds(served, crowds):
    observed = ObservedProcess(served.process.pid, served.ports)
    with contextlib.ExitStack() as stack:
        for crowd in crowds:
            stack.enter_context(contextlib.closing(crowd))
            await anyio.to_thread.run_sync(crowd.send, observed.look)
            await anyio.sleep(TURN_SECONDS)
            observed.look()
        status, answer = await ask(served.asked_at, served.request, ANSWER_SECONDS)
        observed.look()
    assert served.process.process.poll() is None, "the process has ended"
    most_bytes, most_descriptors = observed.most_bytes, observed.most_descriptors
    assert most_bytes <= MEMORY_MB * 1_000_000, f"it held {most_bytes} bytes"
    assert most_descriptors <= DESCRIPTORS, f"it had {most_descriptors} descriptors"
    assert status == 200, answer


@contextlib.contextmanager
def few_descriptors():
    """Start processes with a lower limit of descriptors."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
