"""Signals to a process, held back from its start until it handles them.

The default action of these signals ends the process. This module imports only what the
interpreter has loaded anyway, so that they are held back as soon as possible.
"""

import contextlib
import signal

# Signals that ask a process to stop or to read its settings again.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals():
    """Keep signals pending until :func:`receive_signals`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


@contextlib.contextmanager
def receive_signals():
    """Yield the signals, also those that were held back.

    After that, further signals have no effect: the process is about to end.
    """
    import anyio

    try:
        with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
            try:
                yield signals
            finally:
                hold_signals()
    finally:
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
