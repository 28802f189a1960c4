"""Signals to a process, held back from its start until it handles them.

The default action of these signals ends the process. This module imports only what the
interpreter has loaded anyway, so that they are held back as soon as possible.
"""

import contextlib
import math
import signal

# Signals that ask a process to stop or to read its settings again.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals():
    """Keep signals pending until :func:`receive_signals`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


@contextlib.contextmanager
def receive_signals():
    """Yield a stream of the signals, also of those that were held back.

    After that, further signals have no effect: the process is about to end. Their
    handlers are replaced directly. The event loop would set the default actions in
    between, and these end the process if a thread of it doesn't hold signals back.
    """
    import asyncio

    import anyio

    loop = asyncio.get_running_loop()
    send, receive = anyio.create_memory_object_stream(math.inf)

    def pass_on(number, frame):
        # Wakes the event loop, too.
        loop.call_soon_threadsafe(send.send_nowait, signal.Signals(number))

    try:
        for number in HANDLED_SIGNALS:
            signal.signal(number, pass_on)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        with send, receive:
            yield receive
    finally:
        hold_signals()
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
