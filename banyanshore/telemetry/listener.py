"""Serve the metrics of a process with the project's own HTTP server."""

from banyanshore.http.listener import Listener


def start_metrics_server(tasks, address, registry, callers=None):
    """Serve metrics in a task group if the settings give an address for them.

    :param address: the setting ``metrics_bind``; empty: metrics aren't served.
    :param callers: the :class:`~banyanshore.http.caller_account.CallerAccount` of the
        process, ``None`` if it serves nothing else.
    """
    if address:
        tasks.start_soon(serve_metrics, address, registry, callers)


async def serve_metrics(address, registry, callers=None):
    """Serve a :class:`~banyanshore.telemetry.light.LightRegistry` at ``/metrics``."""

    async def handle(exchange):
        if exchange.path != "/metrics":
            await exchange.respond(404)
            return
        content_type, text = registry.render()
        await exchange.respond(200, [(b"content-type", content_type.encode())], text)

    await Listener(handle, callers=callers).serve(address)
