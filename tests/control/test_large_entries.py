"""Small messages of the log beside a large entry, on a link that takes its time."""

import random
from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest

from banyanshore.consensus.messages import AppendRequest, Entry, EntryKind
from banyanshore.consensus.rpc import ProposeRequest, RaftMessage
from banyanshore.control.process import Control
from banyanshore.transport import Handler, Link, LinkOptions, encode
from banyanshore.transport.codec import Decoder
from banyanshore.transport.connection import Connection
from banyanshore.transport.frames import Heartbeat, Hello, Notice
from banyanshore.transport.outbox import PIECE_BYTES

pytestmark = pytest.mark.anyio

PEER = "10.0.0.2:8000"
ENTRY_BYTES = 25 * PIECE_BYTES
# The piece that is being written.
MOST_BYTES_AHEAD = 1.1 * PIECE_BYTES


async def settle():
    """Let all tasks run until they wait."""
    for _ in range(20):
        await anyio.lowlevel.checkpoint()


class ThinStream:
    """A byte stream that takes a write only when it is told to."""

    def __init__(self, first):
        self.writes = []
        self._first = [first]
        self._taken = anyio.Semaphore(0)

    async def send(self, data):
        self.writes.append(data)
        await self._taken.acquire()

    async def receive(self, max_bytes):
        while not self._first:
            await anyio.sleep_forever()
        return self._first.pop()

    async def take_all(self, connection):
        while connection.pending_bytes:
            self._taken.release()
            await settle()

    async def aclose(self):
        pass


class Notices(Handler):
    """Keep the notices that arrive."""

    def __init__(self):
        self.bodies = []

    async def handle_call(self, connection, body, responder):
        self.bodies.append(body)

    async def handle_notice(self, connection, body):
        self.bodies.append(body)


class Sender:
    """A control instance with a thin link to a peer."""

    def __init__(self, hello):
        self.stream = ThinStream(encode(hello))
        options = {"heartbeat_interval": 3600, "silence_bound": 7200}
        self.connection = Connection(self.stream, Notices(), instance="x", **options)
        self.link = Link(PEER, None, "x", LinkOptions())
        self.link._use(self.connection)

    async def __aenter__(self):
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self.connection.run)
        await settle()
        await self.stream.take_all(self.connection)
        self.stream.writes.clear()
        return self

    async def __aexit__(self, *details):
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(*details)

    async def send(self, message):
        control = SimpleNamespace(
            settings=SimpleNamespace(peer_port=7700),
            links=SimpleNamespace(get=lambda address, peer: self.link),
        )
        with anyio.fail_after(5):
            await Control._send_raft(control, PEER, RaftMessage("", message))
        await settle()

    async def received(self):
        """Return the messages that the peer gets, and the bytes of earlier writes."""
        await self.stream.take_all(self.connection)
        received = Notices()
        options = {"heartbeat_interval": 3600, "silence_bound": 7200}
        peer = Connection(ThinStream(b""), received, instance="y", **options)
        decoder, count, rows = Decoder(), 0, []
        for data in self.stream.writes:
            for frame in decoder.feed(data):
                known = len(received.bodies)
                await peer._dispatch(frame)
                rows.extend((body.body, count) for body in received.bodies[known:])
            count += len(data)
        return rows


def make_append(size, round_number=1):
    data = random.Random(size).randbytes(size)
    entries = (Entry(8, 3, int(EntryKind.COMMAND), data),) if size else ()
    return AppendRequest(3, "x/1", 7, 3, entries, 7, round_number)


NEW_PEER = Hello("y", joins_pieces=True)


async def test_heartbeat_does_not_wait_behind_a_large_entry():
    """Followers took the leader for lost while a declaration crossed a thin link."""
    async with Sender(NEW_PEER) as sender:
        entry, heartbeat = make_append(ENTRY_BYTES), make_append(0, 2)
        await sender.send(entry)
        await sender.send(heartbeat)
        rows = await sender.received()
    assert [message for message, _ in rows] == [heartbeat, entry]
    assert rows[0][1] <= MOST_BYTES_AHEAD


async def test_large_entry_is_not_sent_again_while_it_is_being_written():
    """The leader repeats an entry without an answer: the link carried four of them."""
    async with Sender(NEW_PEER) as sender:
        for round_number in range(4):
            await sender.send(make_append(ENTRY_BYTES, round_number))
        rows = await sender.received()
        assert sum(map(len, sender.stream.writes)) < 1.1 * ENTRY_BYTES
        # Once it is written, it may be repeated.
        await sender.send(make_append(ENTRY_BYTES, 5))
        assert len(await sender.received()) == len(rows) + 1


async def test_heartbeats_go_out_beside_an_entry_of_any_size():
    """They were dropped while a megabyte was queued."""
    async with Sender(NEW_PEER) as sender:
        await sender.send(make_append(4 * 1024 * 1024))
        await sender.send(make_append(0, 2))
        rows = await sender.received()
    assert [bool(message.entries) for message, _ in rows] == [False, True]


async def test_small_messages_keep_their_order():
    async with Sender(NEW_PEER) as sender:
        await sender.send(make_append(ENTRY_BYTES))
        small = [make_append(10 * n, n) for n in range(20)]
        for message in small:
            await sender.send(message)
        rows = await sender.received()
    assert [message for message, _ in rows][:-1] == small


async def test_peer_of_an_earlier_build_gets_whole_frames():
    async with Sender(Hello("y")) as sender:
        await sender.send(make_append(ENTRY_BYTES))
        await sender.send(make_append(0, 2))
        rows = await sender.received()
        kinds = {
            type(frame) for frame in Decoder().feed(b"".join(sender.stream.writes))
        }
    assert kinds == {Notice}
    assert [bool(message.entries) for message, _ in rows] == [True, False]


async def test_call_in_pieces_arrives_whole_behind_a_later_frame():
    async with Sender(NEW_PEER) as sender:
        command = random.Random(1).randbytes(ENTRY_BYTES)
        await sender.connection.open_call(ProposeRequest(command), in_pieces=True)
        await sender.connection.send_frame(Heartbeat())
        await sender.stream.take_all(sender.connection)
        received = Notices()
        peer = Connection(ThinStream(b""), received, instance="y")
        async with anyio.create_task_group() as tasks:
            peer._tasks = tasks
            for frame in Decoder().feed(b"".join(sender.stream.writes)):
                await peer._dispatch(frame)
            await settle()
            tasks.cancel_scope.cancel()
    assert received.bodies == [ProposeRequest(command)]
