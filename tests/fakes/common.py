"""Parse the flags of fake servers and serve their requests."""

import sys

import anyio
from absl import flags

from banyanshore.http.asgi import Problem, make_application
from banyanshore.http.server import serve_http


class ConnectionAborted(Exception):
    """Abort a connection as a crashing process does."""


async def break_off(request):
    """Abort the connection without a complete response."""
    if not request.response_started:
        # Without a started response, the server library would send its own status.
        await request.start(200, [(b"content-type", b"text/plain")])
    raise ConnectionAborted


def parse_flags(define):
    """Parse and return the flags of a fake server.

    :param define: callable that defines flags in the flag values passed to it.
    """
    values = flags.FlagValues()
    flags.DEFINE_integer("port", 0, "Port on loopback.", flag_values=values)
    define(values)
    values(sys.argv)
    return values


def serve(fake, port):
    """Serve the actions of a fake server until it is killed."""

    async def handle(request):
        for prefix, action in fake.actions.items():
            if request.path.startswith(prefix):
                await action(request)
                return
        await request.respond_problem(Problem(404, "Not found"))

    anyio.run(serve_http, make_application(handle), f"127.0.0.1:{port}")
