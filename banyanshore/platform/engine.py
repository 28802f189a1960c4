"""Call the model replica on this machine over HTTP."""

import json
import math
from urllib.parse import quote

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.http.upstream import HttpSession, OutgoingRequest, fetch
from banyanshore.platform.registration import decode_layers
from banyanshore.platform.values import DecodeError, Reader, parse_object
from banyanshore.weights.staged import (
    EngineReport,
    OrderOutcome,
    StagedEngine,
    StagedEngineError,
)

# Timeout in seconds of a call to the local target, which answers within milliseconds.
CALL_TIMEOUT = 1.0
MAX_REPORT_BYTES = 256 * 1024
# Parts of the memory for requests in which its use is told.
MEMORY_PARTS = 32
_OUTCOME_BY_STATUS = {
    200: OrderOutcome.IN_EFFECT,
    202: OrderOutcome.STARTED,
    409: OrderOutcome.MISFIT,
    412: OrderOutcome.FENCED,
}


class PlatformEngine(StagedEngine):
    """Call the model replica on this machine.

    :param address: HTTP address of the replica.
    """

    def __init__(self, address):
        self._address = address
        self._session = HttpSession(address)

    async def read_report(self):
        """Return the current :class:`EngineReport`."""
        body = await self._call("read-report", b"GET", "/api/report")
        try:
            reader = Reader(parse_object(body))
            model, version, first, end = decode_layers(reader)
            return EngineReport(
                model,
                version,
                first,
                end,
                reader.integer("active", 0),
                reader.integer("queued", 0),
                reader.number("pace", 1.0),
                reader.boolean("busy", False),
                _decode_memory_used(reader),
            )
        except DecodeError as error:
            raise self._error("read-report", error.message) from None

    async def stage(self, model, index, data):
        """Store a chunk in the staging area of the engine."""
        path = f"/api/stage-put/{quote(model)}?num={index}"
        await self._call("stage", b"PUT", path, data)

    async def read_staged(self, model, index, size):
        """Return a chunk from the staging area of the engine, or ``None``."""
        path = f"/api/stage-get/{quote(model)}?num={index}"
        status, body = await self._request(
            "read-staged", b"GET", path, max_bytes=max(size, MAX_REPORT_BYTES)
        )
        if status == 404:
            return None
        if status != 200:
            raise self._error("read-staged", f"status {status}")
        return body

    async def load(self, model, version, end_layer=None, may_send=lambda: True):
        """Order the engine to load the staged weights once its running requests end."""
        order = {"operation": "start", "model": model, "version": version}
        if end_layer is not None:
            order |= {"from": 0, "target": end_layer}
        body = json.dumps({**order, "mode": "queue"}).encode()
        request = make_request(self._address, b"POST", "/api/order", body)
        # Use a new connection: the session may resend a call, but an order must not be
        # sent twice.
        call = fetch(
            self._address,
            request,
            MAX_REPORT_BYTES,
            CALL_TIMEOUT,
            may_send=may_send,
        )
        status, answer = await self._send("load", call)
        outcome = _OUTCOME_BY_STATUS.get(status)
        if outcome is None:
            raise self._error("load", f"status {status}: {answer[:200]!r}")
        return outcome

    async def _call(self, step, method, path, body=b""):
        status, answer = await self._request(step, method, path, body)
        if not 200 <= status < 300:
            raise self._error(step, f"status {status}: {answer[:200]!r}")
        return answer

    async def _request(self, step, method, path, body=b"", max_bytes=MAX_REPORT_BYTES):
        request = make_request(self._address, method, path, body)
        return await self._send(
            step, self._session.fetch(request, max_bytes, CALL_TIMEOUT)
        )

    async def _send(self, step, call):
        try:
            status, _, answer = await call
        except BanyanshoreError as error:
            raise self._error(step, error.message) from None
        return status, answer

    def _error(self, step, message):
        return StagedEngineError(message, step=step, peer=self._address)


def _decode_memory_used(reader):
    """Return the part of the memory for requests that is in use, 0 if unknown.

    It is rounded up, so that few reports differ in it alone.
    """
    size = reader.integer("kvSize", 0)
    if not size:
        return 0.0
    return min(
        1.0,
        math.ceil(reader.integer("kvInUse", 0) * MEMORY_PARTS / size) / MEMORY_PARTS,
    )


def make_request(address, method, path, body=b""):
    """Return a request whose only header is the host."""
    headers = ((b"host", address.encode()),)
    return OutgoingRequest(method, path.encode(), headers, body)
