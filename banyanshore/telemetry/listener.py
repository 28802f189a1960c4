"""Serve the metrics of a process with the project's own HTTP server."""

from banyanshore.http.listener import Listener


def start_metrics_server(tasks, address, registry):
    """Serve metrics in a task group if the settings give an address for them.

    :param address: the setting ``metrics_bind``; empty: metrics aren't served.
    """
    if address:
        tasks.start_soon(serve_metrics, address, registry)


async def serve_metrics(address, registry):
    """Serve a :class:`~banyanshore.telemetry.light.LightRegistry` at ``/metrics``."""

    async def handle(exchange):
        if exchange.path != "/metrics":
            await exchange.respond(404)
            return
        content_type, text = registry.render()
        await exchange.respond(200, [(b"content-type", content_type.encode())], text)

    await Listener(handle).serve(address)
