"""What surrounds one gateway process on loopback: control, hubs, targets and callers.

They stand in for a fleet of :data:`GATEWAYS` gateways in three data centres.
"""

import asyncio
import random
import time
from dataclasses import replace
from types import MappingProxyType

import anyio

from banyanshore.membership.feed import Confirmation, ConfirmRequest, RowUpdate
from banyanshore.membership.hubs import BACKUP_BATCH_DELAY, batch_delay, choose_hubs
from banyanshore.membership.load_reports import (
    LoadReport,
    PlacementNotice,
    UpdateBatch,
)
from banyanshore.membership.messages import StateUpdate
from banyanshore.membership.registry import MemberRow, TargetRow
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import empty_document, to_json
from banyanshore.transport import TableHandler

GATEWAYS = 45
DATA_CENTRES = 3
ENGINES = 17
PLAIN_TARGETS = 3
WORKSPACES = 24
EVENTS = 20
EVENT_SECONDS = 0.05
FIRST_EVENT_SECONDS = 0.08
PLAIN_SECONDS = 0.045
PLAIN_BYTES = 800
PROMPT_BYTES = 600
# One request of so many is for a plain target.
PLAIN_SHARE = 7
# Connections that callers keep for a further request.
KEPT_CONNECTIONS = 20
ENGINE = {
    "slots": 200,
    "steps_per_pass": 5,
    "step_seconds": 0.007,
    "read_tokens_per_second": 30_000.0,
    "layers": 16,
    "usual_prompt_tokens": 900.0,
    "usual_answer_tokens": 140.0,
}
OWN_DATA_CENTRE = "dc-0"


def make_members(hub_addresses, control_address):
    """Return the name of the gateway to measure, and the rows of all other members.

    It is no hub.

    :param hub_addresses: addresses of the hubs of its data centre.
    """
    rows = [
        MemberRow(
            f"g-{number}",
            "gateway",
            f"dc-{number % DATA_CENTRES}",
            "r",
            f"10.9.0.{number}:1",
            1,
            1,
        )
        for number in range(GATEWAYS)
    ]
    hubs = choose_hubs(rows)[OWN_DATA_CENTRE]
    by_name = {row.instance: row for row in rows}
    for hub, address in zip(hubs, hub_addresses, strict=True):
        by_name[hub.instance] = replace(hub, address=address)
    own = next(
        row for row in rows if row.data_centre == OWN_DATA_CENTRE and row not in hubs
    )
    del by_name[own.instance]
    control = MemberRow("c-0", "control", OWN_DATA_CENTRE, "r", control_address, 1, 1)
    return own.instance, [hub.instance for hub in hubs], (*by_name.values(), control)


def make_targets(port):
    """Return the rows of the targets, all at one port of different addresses."""
    rows = []
    for number in range(ENGINES + PLAIN_TARGETS):
        is_engine = number < ENGINES
        loaded = ("m", 1, 0, ENGINE["layers"]) if is_engine else ()
        rows.append(
            TargetRow(
                f"t-{number}", "llm" if is_engine else "api",
                f"127.0.0.{number + 2}:{port}", f"dc-{number % DATA_CENTRES}", "v1",
                ENGINE["slots"], "ready", 0.0, 1, 1, *loaded,
            )
        )  # fmt: skip
    return rows


def make_state():
    """Return the state with routes of three priorities to engines, and a plain one."""
    document = empty_document()
    document["services"]["llm"] = {
        "kind": "direct",
        "max_connections": 700,
        "engine": ENGINE,
    }
    document["services"]["api"] = {"kind": "direct", "max_connections": 600}
    for number in range(3):
        document["routes"][f"s{number}"] = {
            "host": "a.example",
            "prefix": f"/s{number}/",
            "kind": "streaming",
            "services": [{"service": "llm", "weight": 1}],
            "timeout_seconds": 6.0,
            "objective_seconds": 0.4,
            "max_pause_seconds": 0.3,
            "max_attempts": 2,
            "priority": number,
        }
    document["routes"]["api"] = {
        "host": "a.example",
        "prefix": "/api/",
        "kind": "idempotent",
        "services": [{"service": "api", "weight": 1}],
        "timeout_seconds": 1.2,
        "objective_seconds": 0.25,
        "max_attempts": 2,
    }
    for number in range(WORKSPACES):
        document["workspaces"][f"w{number}"] = {"keys": [f"key{number}"]}
    return PublishedState(1, Fence(1, 1), to_json(document))


class ControlStandIn(TableHandler):
    """Confirm the state, and send it and all rows to a new follower.

    :ivar confirmed: confirmations so far.
    """

    def __init__(self, rows):
        self.confirmed = 0
        self._rows = tuple(rows)

    async def handle_open(self, connection):
        """Send the state and the rows."""
        await connection.notify(StateUpdate(make_state()))
        await connection.notify(RowUpdate(self._rows, (), True, GATEWAYS))

    async def _on_confirm(self, body, responder):
        self.confirmed += 1
        await responder.finish(Confirmation(1, True))

    call_by_type = MappingProxyType({ConfirmRequest: _on_confirm})


class HubStandIn:
    """Send batches of reports and placements as a hub does.

    :param link: link to the gateway.
    :param targets: rows of the engines.
    :param report_seconds: seconds between two reports of a target.
    :param placements: placements a second in the data centre.
    """

    def __init__(self, link, targets, is_first, report_seconds, placements):
        receivers = GATEWAYS // DATA_CENTRES - 1
        self._link = link
        self._local = [row for row in targets if row.data_centre == OWN_DATA_CENTRE]
        self._delay = batch_delay(receivers, True) if is_first else BACKUP_BATCH_DELAY
        self._report_seconds = report_seconds
        self._placements = placements
        # Both hubs send the same.
        self._rng = random.Random(5)
        self._sequence = 0
        now = time.monotonic()
        self._placement_at = now if placements else float("inf")
        self._report_at = {
            row.address: now + self._rng.uniform(0, report_seconds) for row in targets
        }

    async def run(self):
        """Send batches until cancelled."""
        while True:
            first = min(self._placement_at, *self._report_at.values())
            await anyio.sleep(max(0.0, first - time.monotonic()) + self._delay)
            batch = UpdateBatch(tuple(self._iter_due(time.monotonic())))
            await self._link.notify_or_drop(batch)

    def _iter_due(self, now):
        while self._placement_at <= now:
            self._sequence += 1
            self._placement_at += self._rng.expovariate(self._placements)
            address = self._rng.choice(self._local).address
            yield PlacementNotice(
                address, 0.03, OWN_DATA_CENTRE, "g-x", 1, self._sequence
            )
        active = 5 if self._placements else 0
        for address, due_at in self._report_at.items():
            if due_at <= now:
                sequence = round(due_at * 1000)
                self._report_at[address] = due_at + self._report_seconds
                yield LoadReport(address, 1, sequence, "m", 1, 16, active, 0)


class TargetStandIn(asyncio.Protocol):
    """Answer one request on a connection, with events if its path begins with s."""

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport
        self._received = b""
        self._task = None

    def data_received(self, data):
        """Start to answer once the request is complete."""
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        if not end or self._task is not None:
            return
        pairs = (line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        headers = {name.lower(): value for name, value in pairs}
        if len(body) >= int(headers.get(b"content-length", b"0")):
            is_stream = head.split(b" ", 2)[1].startswith(b"/s")
            answer = self._answer(headers[b"request-id"], is_stream)
            self._task = asyncio.ensure_future(answer)

    def connection_lost(self, error):
        """Stop answering."""
        if self._task is not None:
            self._task.cancel()

    async def _answer(self, request_id, is_stream):
        write = self._transport.write
        head = b"HTTP/1.1 200 OK\r\nreplica-signature: s\r\nrequest-id: %s\r\n"
        if not is_stream:
            await asyncio.sleep(PLAIN_SECONDS)
            length = b"content-length: %d\r\n\r\n" % PLAIN_BYTES
            write(head % request_id + length + bytes(PLAIN_BYTES))
            return
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        kind = b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        write(head % request_id + kind)
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 60)
            write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_SECONDS)
        write(b"0\r\n\r\n")


class CallersStandIn:
    """Send requests at random times, half of them on connections that were kept.

    :ivar complete: requests answered completely.
    :ivar broken: all others that have ended.
    """

    def __init__(self, port, per_second):
        self.complete = 0
        self.broken = 0
        self._port = port
        self._per_second = per_second
        self._kept = []

    async def run(self):
        """Send requests until cancelled."""
        rng = random.Random(3)
        due_at = time.monotonic()
        number = 0
        async with anyio.create_task_group() as tasks:
            while True:
                due_at += rng.expovariate(self._per_second)
                await anyio.sleep(max(0.0, due_at - time.monotonic()))
                tasks.start_soon(self._call, number)
                number += 1

    async def _call(self, number):
        keeps = bool(number % 2) or len(self._kept) < KEPT_CONNECTIONS
        try:
            if self._kept and number % 2:
                reader, writer = self._kept.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            writer.write(make_request(number))
            is_complete = await _read_answer(reader, number)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            is_complete = False
        self.complete += is_complete
        self.broken += not is_complete
        if is_complete and keeps:
            self._kept.append((reader, writer))
        elif is_complete:
            writer.close()


def make_request(number):
    """Return the bytes of a request, by its number."""
    is_plain = number % PLAIN_SHARE == 0
    path = "/api/x" if is_plain else f"/s{number % 3}/x"
    body = b"" if is_plain else bytes(PROMPT_BYTES)
    lines = [
        f"{'GET' if is_plain else 'POST'} {path} HTTP/1.1",
        "host: a.example",
        f"request-id: id-{number}",
        f"authorization: Bearer key{number % WORKSPACES}",
        "deadline-ms: 6000",
        f"content-length: {len(body)}",
    ]
    if not is_plain:
        lines += ["model: m", "token-usage: 900,140", f"prefix-hash: s{number % 50}:9"]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _read_answer(reader, number):
    """Return whether the answer to a request is complete."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    is_success = head.split(b" ", 2)[1] == b"200"
    if b"chunked" not in head:
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        return is_success and number % PLAIN_SHARE == 0
    events = 0
    while size := int(await reader.readline(), 16):
        events += (await reader.readexactly(size + 2)).count(b"\n\n")
    await reader.readexactly(2)
    return is_success and events == EVENTS
