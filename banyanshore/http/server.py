"""Run an ASGI application on one address."""

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from banyanshore.core.exceptions import BindError

# Seconds that open connections get to close when a server stops; by then, all requests
# have ended.
GRACEFUL_SECONDS = 1.0


async def serve_http(application, address, shutdown=None):
    """Serve until cancelled, or until an event is set.

    :param shutdown: ``anyio.Event`` that stops the server, or ``None``.
    :raises BindError: the address can't be listened on.
    """
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACEFUL_SECONDS
    config.keep_alive_timeout = 60.0
    config.include_server_header = False
    config.h11_max_incomplete_size = 64 * 1024
    event = shutdown or anyio.Event()
    try:
        await serve(application, config, shutdown_trigger=event.wait, mode="asgi")
    except OSError as error:
        raise BindError(address, error) from error
