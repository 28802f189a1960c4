"""Play a relayed transfer to a child behind a thin link, in virtual time.

The link carries the bytes that all senders queue, in order and at a fixed rate. Two
real transfers exchange chunks over it, while requests of callers share it.
"""

import asyncio
import contextlib
import hashlib
import time
from collections import Counter
from types import SimpleNamespace

import anyio

from banyanshore.conf.sections import WeightsSettings
from banyanshore.core.exceptions import UnavailableError
from banyanshore.membership.messages import Roster, RosterRow
from banyanshore.state.views import ModelSpec
from banyanshore.telemetry.weights import LoaderMetrics
from banyanshore.transport.replies import ConnectionLostError
from banyanshore.weights.chunks import MemoryChunkStore
from banyanshore.weights.relay import RelayedTransfer
from banyanshore.weights.relay_messages import ChunkPush
from banyanshore.weights.tree import RelayTree, TreeMember
from banyanshore.weights.uploads import Uploads

CHUNKS = 96
CHUNK_BYTES = 24_576
CHUNK_DATA = [bytes([index]) * CHUNK_BYTES for index in range(CHUNKS)]
DIGESTS = tuple(hashlib.sha256(data).hexdigest() for data in CHUNK_DATA)
REQUEST_BYTES = 4096
REQUEST_INTERVAL = 1 / 8
# Seconds within a data centre for a reply to return, and for a child to stage a chunk.
REPLY_SECONDS = 0.001
STAGE_SECONDS = 0.01
SWITCH_SECONDS = 7.2
PARENT, CHILD = "gateway-1", "loader-1"


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self._now = 1000.0
        self._select_ready = self._selector.select
        self._selector.select = self._advance

    def time(self):
        return self._now

    def _advance(self, timeout=None):
        self._now += timeout or 0.0
        return self._select_ready(0)


class ThinLink:
    """Carry bytes to the child at a rate that may change, in the order of arrival.

    :param rate_at: callable that returns the bytes per second at a time.
    :ivar queued_chunks: chunks that have not left the queue.
    :ivar most_chunks: the largest number of them at a time.
    """

    def __init__(self, rate_at):
        self._rate_at = rate_at
        self._lock = anyio.Lock()
        self.queued_chunks = 0
        self.most_chunks = 0
        self.sent_by_chunk = Counter()
        self.busy_seconds = 0.0

    async def carry(self, size):
        """Wait until some bytes have left the queue; cancelling doesn't remove them."""
        async with self._lock:
            started_at = time.monotonic()
            await anyio.sleep(size / self._rate_at(started_at))
            self.busy_seconds += time.monotonic() - started_at

    async def carry_chunk(self, index, left):
        """Carry a chunk and set an event when it has left the queue."""
        self.queued_chunks += 1
        self.most_chunks = max(self.most_chunks, self.queued_chunks)
        self.sent_by_chunk[index] += 1
        await self.carry(CHUNK_BYTES)
        self.queued_chunks -= 1
        left.set()


class Replies:
    """Replies to a request for a chunk, which cross the link of the requester."""

    def __init__(self, world, request):
        self._world = world
        self._request = request
        self._sent, self._received = anyio.create_memory_object_stream(100)

    async def answer(self, responder_transfer):
        await responder_transfer.handle_chunk_request(self._request, self)

    async def send(self, reply):
        if hasattr(reply, "data"):
            await self._world.carry_chunk(self._request.index)
        with contextlib.suppress(anyio.BrokenResourceError):
            await self._sent.send(reply)

    finish = send

    async def __anext__(self):
        return await self._received.receive()

    async def aclose(self):
        self._received.close()


class PeerLink:
    """Link to another instance: chunks to the child cross the thin link."""

    is_open = True

    def __init__(self, world, source, target):
        self._world = world
        self._source = source
        self._target = target

    async def get_connection(self, timeout):
        if self._target not in self._world.transfer_by_instance:
            raise UnavailableError("no connection", step="connect", peer=self._target)
        return self

    async def notify(self, body):
        transfer = self._world.transfer_by_instance.get(self._target)
        if transfer is not None:
            transfer.handle_have(self._source, body)

    notify_or_drop = notify

    async def call(self, body, timeout):
        transfer = self._world.transfer_by_instance[self._target]
        if not isinstance(body, ChunkPush):
            return SimpleNamespace(
                content=transfer.manifest_content(body.manifest_digest)
            )
        try:
            with anyio.fail_after(timeout):
                await self._world.carry_push(body.index)
                reply = await transfer.handle_push(body)
                await anyio.sleep(REPLY_SECONDS)
                return reply
        except TimeoutError:
            raise ConnectionLostError("no reply", step="ChunkPush") from None

    async def open_call(self, body):
        replies = Replies(self._world, body)
        target = self._world.transfer_by_instance[self._target]
        self._world.tasks.start_soon(replies.answer, target)
        return replies


class Links:
    """Links of one instance."""

    def __init__(self, world, source):
        self._world = world
        self._source = source

    def get(self, address, peer):
        return PeerLink(self._world, self._source, peer)

    def is_receiving_frame_from(self, peer):
        return peer == PARENT and self._world.pushes > 0


class Rosters:
    """Rosters of one gateway and one loader."""

    digest = 1

    def __init__(self):
        self.tree = RelayTree(
            [TreeMember(PARENT, "a", "a", True), TreeMember(CHILD, "a", "a", False)],
            "a",
        )
        rows = tuple(RosterRow(name, "a", "chat", name) for name in (PARENT, CHILD))
        self.by_data_centre = {"a": Roster("a", rows, 0)}

    def data_centre_of(self, instance):
        return "a"


class Origin:
    """Origin whose chunks cross the link of the child."""

    def __init__(self, world):
        self._world = world

    async def fetch_digests(self, model, version):
        return DIGESTS

    async def fetch_chunk(self, model, version, index, chunk_bytes):
        await self._world.carry_chunk(index)
        return CHUNK_DATA[index]


class StagingTransfer(RelayedTransfer):
    """Transfer that also stages each chunk at a target."""

    async def _store_chunk(self, index, data):
        await super()._store_chunk(index, data)
        await anyio.sleep(STAGE_SECONDS)


class World:
    """One parent with all chunks, one child, and the callers of the child's target.

    :param rate_at: callable that returns the bytes per second of the child's link, by
        the seconds since the version became known.
    :param known_seconds: seconds for which the version has been known at the start.
    :param request_interval: seconds between two requests.
    """

    def __init__(self, rate_at, known_seconds, request_interval):
        self.started_at = time.monotonic()
        self.link = ThinLink(lambda now: rate_at(now - self.started_at))
        self.transfer_by_instance = {}
        self.tasks = None
        # Seconds since the start at which each request was sent, and its delay.
        self.requests = []
        self.completed_seconds = None
        # Pushed chunks that are on their way.
        self.pushes = 0
        self._request_interval = request_interval
        self._known_since = self.started_at - known_seconds

    async def carry_chunk(self, index):
        left = anyio.Event()
        self.tasks.start_soon(self.link.carry_chunk, index, left)
        await left.wait()

    async def carry_push(self, index):
        self.pushes += 1
        try:
            await self.carry_chunk(index)
        finally:
            self.pushes -= 1

    async def run(self):
        async with anyio.create_task_group() as self.tasks:
            store = MemoryChunkStore()
            for digest, data in zip(DIGESTS, CHUNK_DATA, strict=True):
                store.put(digest, data)
            self._start(CHILD, StagingTransfer, MemoryChunkStore())
            self._start(PARENT, RelayedTransfer, store)
            self.tasks.start_soon(self._request_forever)
            await self.transfer_by_instance[CHILD].completed.wait()
            self.completed_seconds = time.monotonic() - self.started_at
            self.tasks.cancel_scope.cancel()

    def longest_delay(self, since=0.0):
        """Return the longest delay of the requests sent from a time on, in seconds."""
        return max(delay for sent_at, delay in self.requests if sent_at >= since)

    def _start(self, name, transfer_class, store):
        settings = SimpleNamespace(
            instance=name,
            data_centre="a",
            region="a",
            version_switch_seconds=SWITCH_SECONDS,
            weights=WeightsSettings(),
        )
        metrics = LoaderMetrics()
        transfer = transfer_class(
            lambda: Origin(self),
            CHUNK_BYTES,
            self._known_since,
            settings,
            ModelSpec("m", "2", "", "", ""),
            store,
            None,
            Links(self, name),
            Rosters(),
            metrics,
            Uploads(settings, metrics),
            lambda service: True,
        )
        self.transfer_by_instance[name] = transfer
        self.tasks.start_soon(transfer.run)

    async def _request_forever(self):
        while True:
            self.tasks.start_soon(self._request)
            await anyio.sleep(self._request_interval)

    async def _request(self):
        sent_at = time.monotonic()
        await self.link.carry(REQUEST_BYTES)
        delay = time.monotonic() - sent_at
        self.requests.append((sent_at - self.started_at, delay))


def play(monkeypatch, rate_at, known_seconds=0.0, request_interval=REQUEST_INTERVAL):
    """Play a transfer to its end and return the :class:`World`."""

    async def run_inline(function, *arguments):
        return function(*arguments)

    async def run():
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(time, "monotonic", loop.time)
        # Whether a transfer is late depends on the time since the machine started.
        monkeypatch.setattr(time, "clock_gettime", lambda clock: loop.time())
        monkeypatch.setattr(anyio.to_thread, "run_sync", run_inline)
        world = World(rate_at, known_seconds, request_interval)
        with anyio.fail_after(600):
            await world.run()
        return world

    with monkeypatch.context() as monkeypatch:
        return anyio.run(run, backend_options={"loop_factory": VirtualTimeLoop})
