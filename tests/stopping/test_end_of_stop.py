"""Signals that reach a process while it ends, and how long its end takes."""

import subprocess
import sys
import textwrap
from signal import SIGHUP, SIGINT, SIGTERM

import pytest

from tests.deployment import ROOT

# A process that ends its wait for signals, and that gets one as soon as the default
# action is back. One of its threads doesn't hold signals back.
PROGRAM = textwrap.dedent(
    """
    from banyanshore.daemon.signals import hold_signals, receive_signals

    hold_signals()
    import os, signal, sys, threading, time
    import anyio

    number = signal.Signals(int(sys.argv[1]))
    set_handler = signal.signal

    def set_and_send(changed, handler):
        result = set_handler(changed, handler)
        if handler in (signal.SIG_DFL, signal.default_int_handler):
            os.kill(os.getpid(), number)
            time.sleep(0.01)
        return result

    async def main():
        with receive_signals():
            threading.Thread(target=time.sleep, args=(2,), daemon=True).start()
            signal.signal = set_and_send

    anyio.run(main)
    print("stopped")
    """
)


@pytest.mark.parametrize(
    "number", [SIGHUP, SIGTERM, SIGINT], ids=lambda number: number.name.lower()
)
def test_signals_at_the_end_of_a_stop_do_not_end_the_process(number):
    """The default actions came back for a moment before signals were ignored."""
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(int(number))],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert (result.returncode, result.stdout) == (0, "stopped\n"), result.stderr


# A process whose interpreter takes long to clean up, as on a busy machine.
SLOW_CLEAN_UP = textwrap.dedent(
    """
    import atexit, time
    from banyanshore.daemon import run

    def run_shortly(argv):
        print("stopped")
        return 3

    run.run = run_shortly
    atexit.register(time.sleep, 60)
    run.main(["banyanshored"])
    """
)


def test_end_of_a_process_does_not_wait_for_the_interpreter_to_clean_up():
    """It took more than what was left of a grace of 2 s, and the process was killed."""
    result = subprocess.run(
        [sys.executable, "-c", SLOW_CLEAN_UP],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert (result.returncode, result.stdout) == (3, "stopped\n"), result.stderr
