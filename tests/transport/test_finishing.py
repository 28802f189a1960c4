"""Tests of the end of all connections of a process that stops."""

import contextlib
import logging
import socket
import time

import anyio
import pytest

from banyanshore.routing.messages import Data
from banyanshore.transport import Handler, LinkOptions, LinkPool, encode, serve_peers
from banyanshore.transport.activity import HeartbeatTicker
from banyanshore.transport.codec import Decoder
from banyanshore.transport.frames import Heartbeat, Hello, Notice
from tests.http.raw import scripted_server

pytestmark = pytest.mark.anyio

COUNT = 6
NOTICE_BYTES = 512 * 1024
# Bytes that a peer's system holds for it.
RECEIVE_BUFFER = 64 * 1024


class Nobody(Handler):
    async def handle_call(self, connection, body, responder):
        raise NotImplementedError


class SlowPeer:
    """A peer that reads slowly and sends heartbeats meanwhile.

    :param bytes_per_second: rate at which it reads, 0 if it never does.
    """

    def __init__(self, bytes_per_second):
        self.bytes_per_second = bytes_per_second
        self.notices = []

    async def act(self, stream):
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        await stream.send(encode(Hello("peer")))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._beat, stream)
            if not self.bytes_per_second:
                # Until the first call, the stream reads ahead without a limit.
                await stream.receive(1)
                await anyio.sleep_forever()
            decoder = Decoder()
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    data = await stream.receive(16 * 1024)
                    self.notices += [
                        frame for frame in decoder.feed(data) if type(frame) is Notice
                    ]
                    await anyio.sleep(len(data) / self.bytes_per_second)
            tasks.cancel_scope.cancel()

    async def _beat(self, stream):
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            while True:
                await stream.send(encode(Heartbeat()))
                await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_links(peer):
    """Yield the links of a process with many frames queued for a peer."""
    options = LinkOptions(
        0.1, 1.0, ticker=HeartbeatTicker(0.1), finishing=anyio.Event()
    )
    async with scripted_server(peer.act) as server, anyio.create_task_group() as tasks:
        links = LinkPool(tasks, Nobody(), "self", options)
        tasks.start_soon(options.ticker.run)
        connection = await links.get(server.address, "peer").get_connection(5.0)
        for _ in range(COUNT):
            await connection.notify(Data(b"n" * NOTICE_BYTES))
        yield links
        # The process ends.
        tasks.cancel_scope.cancel()


async def test_frames_queued_before_the_end_reach_a_slow_peer():
    """They were dropped, and the unread heartbeats of the peer reset the rest."""
    peer = SlowPeer(bytes_per_second=2_000_000)
    async with running_links(peer) as links:
        await links.finish(10.0)
    assert len(peer.notices) == COUNT


async def test_peer_that_does_not_read_does_not_hold_the_end(caplog):
    async with running_links(SlowPeer(bytes_per_second=0)) as links:
        began_at = time.monotonic()
        with caplog.at_level(logging.WARNING):
            await links.finish(0.5)
        assert 0.4 < time.monotonic() - began_at < 1.5
    (record,) = [row for row in caplog.records if "undelivered" in row.message]
    assert record.undelivered_bytes_by_peer["peer"] > 0


async def test_no_connection_is_accepted_at_the_end():
    """Peers reconnected, and sent calls that nobody answered."""
    options = LinkOptions(
        0.1, 1.0, ticker=HeartbeatTicker(0.1), finishing=anyio.Event()
    )
    async with anyio.create_task_group() as tasks:
        links = LinkPool(tasks, Nobody(), "self", options)
        port = await tasks.start(serve_peers, "127.0.0.1:0", Nobody(), "self", options)
        await (await anyio.connect_tcp("127.0.0.1", port)).aclose()
        await links.finish(0.5)
        await anyio.sleep(0.05)
        with pytest.raises(OSError):
            await anyio.connect_tcp("127.0.0.1", port)
        tasks.cancel_scope.cancel()
