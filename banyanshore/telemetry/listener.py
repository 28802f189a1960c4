"""Serve the metrics of a process by the project's own HTTP server."""

from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from banyanshore.http.listener import Listener


async def serve_metrics(address, registry):
    """Serve the metrics in a registry at ``/metrics`` until cancelled."""

    async def handle(exchange):
        if exchange.path != "/metrics":
            await exchange.respond(404)
            return
        content_type = (b"content-type", CONTENT_TYPE_LATEST.encode())
        await exchange.respond(200, [content_type], generate_latest(registry))

    await Listener(handle).serve(address)
