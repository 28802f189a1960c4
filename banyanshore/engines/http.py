"""Implement targets that are called over HTTP."""

import math
from contextlib import asynccontextmanager

import httpx

from banyanshore.core.answer_heads import check_status_line, is_head_invalid
from banyanshore.core.framing import find_framing
from banyanshore.engines.base import (
    Engine,
    EngineError,
    EngineHealth,
    EngineInvalidAnswerError,
    EngineRefusedError,
    EngineUnreachableError,
)
from banyanshore.routing.events import (
    EventSplitter,
    EventStreamError,
    is_event_stream,
)

# Headers that apply to one connection only and are not forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        # Each server sets its own date.
        b"date",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Connections in addition to the full limit, for health reports and orders.
SPARE_CONNECTIONS = 8
CONNECTIONS_PER_CLIENT = 16
_UNREACHABLE_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class EngineResponse:
    """Response of a target whose body is still being received."""

    def __init__(self, response, peer):
        self._response = response
        self._peer = peer
        self.status = response.status_code
        self.headers = tuple(
            (name.lower(), value)
            for name, value in response.headers.raw
            if name.lower() not in HOP_BY_HOP_HEADERS
        )

    def get_header(self, name):
        """Return a header's value as text, or ``None`` if there is none."""
        return self._response.headers.get(name)

    async def iter_body(self):
        """Yield the body in pieces, a stream of events in whole events.

        :raises EngineError: the response broke off, or ended inside an event.
        """
        has_events = is_event_stream(self._response.headers.get("content-type", ""))
        pieces = self._iter_events() if has_events else self._response.aiter_raw()
        try:
            async for data in pieces:
                yield data
        except (httpx.HTTPError, EventStreamError) as error:
            raise EngineError(
                f"the target broke off: {error!r}", step="body", peer=self._peer
            ) from error

    async def _iter_events(self):
        splitter = EventSplitter()
        async for data in self._response.aiter_raw():
            events, _ = splitter.feed(data)
            if events:
                yield events
        response = self._response
        yield splitter.finish(
            find_framing(
                response.request.method, response.status_code, response.headers
            )
        )


class ClientPool:
    """Spread the requests to one target over HTTP clients with few connections each.

    For each request, a client scans all its connections several times. With hundreds of
    connections in one client, the scans take longer than the requests, which queue up.

    :param settings: the :class:`~banyanshore.conf.EngineSettings`.
    :param connections: maximum number of concurrent requests.
    """

    def __init__(self, settings, connections):
        count = math.ceil(connections / CONNECTIONS_PER_CLIENT)
        # Loading the certificates takes time and memory, so it is done once for all
        # clients, and only if TLS is used.
        uses_tls = settings.url.startswith("https:")
        verify = httpx.create_ssl_context() if uses_tls else False
        self._clients = [_make_client(settings, verify) for _ in range(count)]
        self.in_use = [0] * count

    @asynccontextmanager
    async def acquire(self):
        """Yield the client with the fewest concurrent requests."""
        position = self.in_use.index(min(self.in_use))
        self.in_use[position] += 1
        try:
            yield self._clients[position]
        finally:
            self.in_use[position] -= 1

    async def aclose(self):
        """Close all clients."""
        for client in self._clients:
            await client.aclose()


def _make_client(settings, verify):
    # With limits, the client library closes idle connections while it assigns others to
    # requests, and can close one that it has just assigned. Without limits, it drops
    # only those that the target has closed; concurrent requests bound their number.
    limits = httpx.Limits(
        max_connections=None, max_keepalive_connections=None, keepalive_expiry=None
    )
    return httpx.AsyncClient(
        base_url=settings.url,
        limits=limits,
        # The agent enforces the deadline of each request.
        timeout=httpx.Timeout(None, connect=settings.health_timeout),
        # Without this, the client library sends its own accept-encoding header.
        headers={"accept-encoding": "identity"},
        verify=verify,
        trust_env=False,
        follow_redirects=False,
        event_hooks={"response": [check_status_line]},
    )


class HttpPlainService(Engine):
    """Plain service, which gets forwarded requests and loads no weights.

    :param settings: the :class:`~banyanshore.conf.EngineSettings`.
    :param full_limit: maximum number of concurrent requests.
    """

    has_weights = False

    def __init__(self, settings, full_limit):
        self._settings = settings
        self._clients = ClientPool(settings, full_limit + SPARE_CONNECTIONS)

    async def health(self):
        response = await self._call("GET", self._settings.health_path, "health")
        report = _parse_report(response)
        return EngineHealth(str(report.get("incarnation", "")), "", "", 0)

    @asynccontextmanager
    async def run(self, dispatch, traceparent):
        headers = [
            (name, value)
            for name, value in dispatch.headers
            if name not in HOP_BY_HOP_HEADERS and name != b"traceparent"
        ]
        headers.append((b"traceparent", traceparent.encode()))
        async with self._clients.acquire() as client:
            request = client.build_request(
                dispatch.method,
                dispatch.path,
                headers=headers,
                content=dispatch.body,
            )
            response = await self._send(client, request)
            try:
                yield EngineResponse(response, self._settings.url)
            finally:
                await response.aclose()

    async def _send(self, client, request):
        try:
            return await client.send(request, stream=True)
        except _UNREACHABLE_ERRORS as error:
            raise EngineUnreachableError(
                f"not connected: {error!r}", step="connect", peer=self._settings.url
            ) from error
        except httpx.HTTPError as error:
            if is_head_invalid(error):
                raise EngineInvalidAnswerError(
                    f"invalid head: {error!r}", step="request", peer=self._settings.url
                ) from error
            raise EngineError(
                f"the target broke off: {error!r}",
                step="request",
                peer=self._settings.url,
            ) from error

    async def put_chunk(self, order, index, data):
        raise NotImplementedError("a plain service has no weights")

    async def load(self, order):
        raise NotImplementedError("a plain service has no weights")

    async def aclose(self):
        await self._clients.aclose()

    async def _call(self, method, path, step, timeout=None, **options):
        try:
            async with self._clients.acquire() as client:
                response = await client.request(
                    method,
                    path,
                    timeout=timeout or self._settings.health_timeout,
                    **options,
                )
        except _UNREACHABLE_ERRORS as error:
            raise EngineUnreachableError(
                f"not connected: {error!r}", step=step, peer=self._settings.url
            ) from error
        except httpx.HTTPError as error:
            raise EngineError(
                f"no answer: {error!r}", step=step, peer=self._settings.url
            ) from error
        if response.status_code >= 400:
            error_class = (
                EngineRefusedError if response.status_code < 500 else EngineError
            )
            raise error_class(
                f"status {response.status_code}: {response.text[:200]}",
                step=step,
                peer=self._settings.url,
            )
        return response


class HttpModelEngine(HttpPlainService):
    """Model engine that takes orders over HTTP, at paths from its settings."""

    has_weights = True

    async def health(self):
        response = await self._call("GET", self._settings.health_path, "health")
        report = _parse_report(response)
        return EngineHealth(
            str(report.get("incarnation", "")),
            str(report.get("model") or ""),
            str(report.get("model_version") or ""),
            int(report.get("in_flight") or 0),
        )

    async def put_chunk(self, order, index, data):
        path = (
            f"{self._settings.chunk_path}/{order.model}/{order.model_version}/{index}"
        )
        await self._call(
            "PUT", path, "put-chunk", self._settings.load_timeout, content=data
        )

    async def load(self, order):
        body = {
            "model": order.model,
            "version": order.model_version,
            "fence": list(order.fence),
            "chunk_digests": list(order.digests),
            "length": order.length,
        }
        response = await self._call(
            "POST",
            self._settings.load_path,
            "load",
            self._settings.load_timeout,
            json=body,
        )
        report = _parse_report(response)
        if report.get("model_version") != order.model_version:
            raise EngineError(
                f"confirmed version {report.get('model_version')!r}, ordered "
                f"{order.model_version!r}",
                step="load",
                peer=self._settings.url,
            )


def make_engine(settings, full_limit):
    """Return a new engine of the kind named in the settings."""
    return ENGINE_BY_KIND[settings.kind](settings, full_limit)


def _parse_report(response):
    try:
        report = response.json()
    except ValueError:
        return {}
    return report if isinstance(report, dict) else {}


ENGINE_BY_KIND = {"model": HttpModelEngine, "plain": HttpPlainService}
