"""Serve metrics over HTTP."""

from banyanshore.http.asgi import Problem, make_application
from banyanshore.telemetry.metrics import render

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def metrics_application(metrics):
    """Return an ASGI application that serves metrics at ``/metrics``."""

    async def handle(request):
        if request.path != "/metrics":
            await request.respond_problem(Problem(404, "Not found"))
            return
        await request.respond(200, render(metrics), METRICS_CONTENT_TYPE)

    return make_application(handle)
