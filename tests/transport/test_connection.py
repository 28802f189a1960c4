"""Tests of connections: correlation, silent peers, slow readers and freezes."""

import time

import anyio
import pytest

from banyanshore.routing.messages import Data, Finished
from banyanshore.transport import Handler, decode, encode
from banyanshore.transport.activity import MAX_TIMER_DELAY, HeartbeatTicker
from banyanshore.transport.codec import CodecError, Decoder
from banyanshore.transport.connection import INTERRUPTED_SECONDS, Connection
from banyanshore.transport.frames import Call, Heartbeat, Reply
from banyanshore.transport.replies import (
    WINDOW_REPLIES,
    CallFailedError,
    ConnectionLostError,
    ReplyStream,
    Responder,
)

pytestmark = pytest.mark.anyio


class Echo(Handler):
    def __init__(self):
        self.closed = anyio.Event()

    async def handle_call(self, connection, body, responder):
        if body == "fail":
            raise RuntimeError("broken handler")
        if body == "never":
            await anyio.sleep_forever()
        for number in range(3):
            await responder.send(Data(b"%d" % number))
        await responder.finish(Finished())

    async def handle_close(self, connection):
        self.closed.set()


class Pair:
    """Two connected sides; the far side answers calls."""

    def __init__(self, tasks, **options):
        self.tasks = tasks
        self.options = {"heartbeat_interval": 0.05, "silence_bound": 0.3, **options}

    async def open(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        accepted = []
        ready = anyio.Event()

        async def accept(stream):
            accepted.append(stream)
            ready.set()
            await anyio.sleep_forever()

        self.tasks.start_soon(listener.serve, accept)
        near_stream = await anyio.connect_tcp("127.0.0.1", port)
        await ready.wait()
        self.far_stream = accepted[0]
        self.near = Connection(near_stream, Echo(), instance="near", **self.options)
        self.far = Connection(self.far_stream, Echo(), instance="far", **self.options)
        self.tasks.start_soon(self.near.run)
        self.tasks.start_soon(self.far.run)
        await self.near.peer_responded.wait()


async def test_replies_are_complete_and_in_order():
    async with anyio.create_task_group() as tasks:
        pair = Pair(tasks)
        await pair.open()
        calls = [await pair.near.open_call("go") for _ in range(50)]
        for call in calls:
            replies = [reply async for reply in call]
            assert replies == [Data(b"0"), Data(b"1"), Data(b"2"), Finished()]
        assert pair.near.peer == "far"
        tasks.cancel_scope.cancel()


async def test_failing_handler_fails_only_its_call():
    async with anyio.create_task_group() as tasks:
        pair = Pair(tasks)
        await pair.open()
        with pytest.raises(CallFailedError, match="broken handler"):
            await pair.near.call("fail", 1.0)
        assert await pair.near.call("go", 1.0) == Data(b"0")
        tasks.cancel_scope.cancel()


async def test_calls_to_a_silent_peer_fail():
    async with anyio.create_task_group() as tasks:
        pair = Pair(tasks)
        await pair.open()
        call = await pair.near.open_call("never")
        pair.far.tick = lambda: None
        # Only the heartbeats of the far side stop; its socket stays open.
        with pytest.raises(ConnectionLostError), anyio.fail_after(2):
            await anext(call)
        assert not pair.near.is_open
        tasks.cancel_scope.cancel()


async def test_frames_buffered_during_a_freeze_are_dropped():
    clock = [0.0]
    handled = []

    class Recorder(Handler):
        async def handle_call(self, connection, body, responder):
            handled.append(body)

    async with anyio.create_task_group() as tasks:
        pair = Pair(tasks, clock=lambda: clock[0])
        await pair.open()
        pair.far._handler = Recorder()
        await pair.near.open_call("in time")
        await anyio.sleep(0.1)
        # Simulate a freeze: the clock advances while data is buffered in the socket.
        clock[0] += 10
        await pair.near.open_call("too late")
        await anyio.sleep(0.1)
        assert handled == ["in time"]
        assert not pair.far.is_open
        tasks.cancel_scope.cancel()


async def test_frames_buffered_while_the_machine_was_suspended_are_dropped(
    monkeypatch,
):
    """Only the clock that stands still meanwhile was read."""
    read_clock = time.clock_gettime
    suspended_seconds = 0.0

    def read_clock_after_suspension(clock_id):
        is_stopped = clock_id == time.CLOCK_MONOTONIC
        return read_clock(clock_id) + (0.0 if is_stopped else suspended_seconds)

    monkeypatch.setattr(time, "clock_gettime", read_clock_after_suspension)
    handled = []

    class Recorder(Handler):
        async def handle_call(self, connection, body, responder):
            handled.append(body)

    async with anyio.create_task_group() as tasks:
        pair = Pair(tasks, silence_bound=5.0)
        await pair.open()
        pair.far._handler = Recorder()
        await pair.near.open_call("in time")
        await anyio.sleep(0.1)
        suspended_seconds = 10.0
        await pair.near.open_call("too late")
        await anyio.sleep(0.1)
        assert handled == ["in time"]
        assert not pair.far.is_open
        tasks.cancel_scope.cancel()


async def test_undecodable_data_closes_the_connection():
    async with anyio.create_task_group() as tasks:
        pair = Pair(tasks)
        await pair.open()
        await pair.far_stream.send(b"\xc1\xc1 not msgpack")
        with anyio.fail_after(2):
            await pair.near._handler.closed.wait()
        tasks.cancel_scope.cancel()


class FakeConnection:
    peer = "far"


async def test_reply_stream_drops_duplicates_and_aborts_on_a_gap():
    stream = ReplyStream(FakeConnection(), 1)
    assert stream.deliver(Reply(1, 0, "a", False))
    assert stream.deliver(Reply(1, 0, "a", False))
    assert stream.deliver(Reply(1, 1, "b", False))
    assert not stream.deliver(Reply(1, 3, "d", True))
    assert [await anext(stream), await anext(stream)] == ["a", "b"]
    with pytest.raises(ConnectionLostError):
        await anext(stream)


async def test_codec_decodes_messages_and_streams_and_rejects_invalid_bytes():
    assert decode(encode(Heartbeat())) == Heartbeat()
    call = Call(7, (1, b"x", None, {"a": 1.5}))
    assert decode(encode(call)) == call
    decoder = Decoder()
    data = encode(call) * 3
    found = [item for byte in data for item in decoder.feed(bytes([byte]))]
    assert found == [call] * 3
    with pytest.raises(CodecError):
        decode(b"\xc1")


class RecordingStream:
    """A byte stream that records each write and never receives data."""

    def __init__(self):
        self.writes = []

    async def send(self, data):
        self.writes.append(data)

    async def receive(self, max_bytes):
        await anyio.sleep_forever()

    async def aclose(self):
        pass


async def written_sequences(gather_seconds, frames):
    """Return the sequence numbers of the replies in each write but the first."""
    stream = RecordingStream()
    connection = Connection(
        stream,
        Echo(),
        instance="near",
        heartbeat_interval=3600,
        silence_bound=7200,
        gather_seconds=gather_seconds,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connection.run)
        await anyio.wait_all_tasks_blocked()
        for frame, may_wait in frames:
            await connection.send_frame(frame, may_wait)
            await anyio.wait_all_tasks_blocked()
        connection.close()
    decoder = Decoder()
    return [[f.sequence for f in decoder.feed(data)] for data in stream.writes[1:]]


def replies(count):
    return [Reply(1, number, Data(b"x"), False) for number in range(count)]


async def test_delayed_frames_share_the_write_of_an_urgent_frame():
    frames = [(reply, True) for reply in replies(10)]
    frames.append((Reply(1, 10, Finished(), True), False))
    assert await written_sequences(3600, frames) == [list(range(11))]


async def test_frames_are_written_at_once_without_gathering():
    frames = [(reply, True) for reply in replies(3)]
    assert await written_sequences(0.0, frames) == [[0], [1], [2]]


async def test_delayed_frames_are_written_without_an_urgent_frame():
    stream = RecordingStream()
    connection = Connection(
        stream, Echo(), instance="near", gather_seconds=0.01, silence_bound=60
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connection.run)
        await anyio.wait_all_tasks_blocked()
        for reply in replies(5):
            await connection.send_frame(reply, may_wait=True)
        with anyio.fail_after(30):
            while connection.pending_bytes:
                await anyio.sleep(0.01)
        connection.close()
    sequences = [
        frame.sequence
        for frame in Decoder().feed(b"".join(stream.writes))
        if isinstance(frame, Reply)
    ]
    assert sequences == list(range(5))


async def test_first_replies_to_a_call_are_not_delayed():
    waits = []

    class Recorder:
        async def send_frame(self, frame, may_wait=False):
            waits.append(may_wait)

    responder = Responder(Recorder(), 1)
    for _ in range(4):
        await responder.send(Data(b""))
    await responder.finish(Finished())
    assert waits == [False, False, True, True, False]


class EndlessReplies(Handler):
    """Answer a call with endless replies, or with one if its body is ``short``."""

    def __init__(self):
        self.sent = 0

    async def handle_call(self, connection, body, responder):
        if body == "short":
            await responder.finish(Finished())
            return
        while True:
            await responder.send(Data(b"x" * 1000))
            self.sent += 1


async def test_slow_reader_blocks_only_its_own_sender():
    async with anyio.create_task_group() as tasks:
        pair = Pair(tasks)
        await pair.open()
        endless = pair.far._handler = EndlessReplies()
        slow = await pair.near.open_call("endless")
        await anyio.sleep(0.2)
        assert endless.sent == WINDOW_REPLIES
        assert await pair.near.call("short", 5.0) == Finished()
        for _ in range(1000):
            assert isinstance(await anext(slow), Data)
        with anyio.fail_after(5):
            while endless.sent < 1000:
                await anyio.sleep(0.01)
        assert endless.sent <= 1000 + WINDOW_REPLIES
        # The sender is released when the reader abandons the call.
        await slow.aclose()
        assert await pair.near.call("short", 5.0) == Finished()
        tasks.cancel_scope.cancel()


async def test_frame_that_arrives_in_parts_is_noticed_until_it_is_interrupted():
    """A loader couldn't tell a slow push from none, and fetched the same chunks."""
    clock = [0.0]
    async with anyio.create_task_group() as tasks:
        pair = Pair(tasks, clock=lambda: clock[0])
        await pair.open()
        assert not pair.near.is_receiving_frame
        data = encode(Heartbeat()) + encode(Call(1, Data(bytes(1000))))
        sent = 0
        with anyio.fail_after(2):
            while not pair.near.is_receiving_frame:
                await pair.far_stream.send(data[sent : sent + 1])
                sent += 1
                await anyio.sleep(0.001)
        assert sent < len(data)
        clock[0] = 0.9 * INTERRUPTED_SECONDS
        assert pair.near.is_receiving_frame
        clock[0] = 1.1 * INTERRUPTED_SECONDS
        assert not pair.near.is_receiving_frame
        clock[0] = 0.0
        await pair.far_stream.send(data[sent:])
        with anyio.fail_after(2):
            while pair.near.is_receiving_frame:
                await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()


async def test_late_timer_is_logged(caplog):
    """A busy event loop and a silent peer looked the same in the logs."""
    ticker = HeartbeatTicker(0.01)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ticker.run)
        await anyio.sleep(0.03)
        assert not caplog.records
        time.sleep(MAX_TIMER_DELAY + 0.1)
        await anyio.sleep(0.03)
        tasks.cancel_scope.cancel()
    (record,) = caplog.records
    assert record.late_ms > 1000 * MAX_TIMER_DELAY
