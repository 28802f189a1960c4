"""Simulate network failures between the instances of a test deployment.

Each pair of instances is connected through its own relay on loopback. A cut relay keeps
its connections open but forwards nothing in one direction or both, like a network that
drops packets. Traffic between two regions can share a thin link, one of low bandwidth.
"""

import time
from functools import partial

import anyio
from anyio.from_thread import start_blocking_portal

from banyanshore.transport.codec import Decoder

# Bytes that a relay reads at a time.
READ_SIZE_BYTES = 64 * 1024
THIN_READ_SIZE_BYTES = 4 * 1024


class ThinLink:
    """One direction of a low-bandwidth link that many connections share.

    Data leaves one bounded queue at a fixed rate. A sender waits while the queue is
    full, as TCP does when its packets are dropped.
    """

    def __init__(self, bytes_per_second, queue_seconds):
        self.bytes_per_second = bytes_per_second
        self.queue_seconds = queue_seconds
        self.sent = 0
        self.free_at = 0.0
        self.lock = anyio.Lock()

    async def enqueue(self, size):
        """Wait for room in the queue; return the time at which the bytes leave it."""
        async with self.lock:
            wait_seconds = self.free_at - time.monotonic() - self.queue_seconds
            if wait_seconds > 0:
                await anyio.sleep(wait_seconds)
            self.free_at = max(self.free_at, time.monotonic())
            self.free_at += size / self.bytes_per_second
            self.sent += size
            return self.free_at


class ThinLinkSender:
    """Send to the target of a connection that crosses a thin link."""

    def __init__(self, thin, target, tasks):
        self.thin = thin
        self.target = target
        self.queue, self.source = anyio.create_memory_object_stream(float("inf"))
        tasks.start_soon(self.deliver)

    async def send(self, data):
        leaves_at = await self.thin.enqueue(len(data))
        await self.queue.send((leaves_at, data))

    async def deliver(self):
        async for leaves_at, data in self.source:
            await anyio.sleep(max(0.0, leaves_at - time.monotonic()))
            await self.target.send(data)


class Network:
    """The relays of a deployment, by the pair of instances that they connect."""

    def __init__(self):
        self.port_by_pair = {}
        self._cut_pairs = set()
        self._epoch = 0
        self._silenced_at_by_pair = {}
        self._region_by_instance = {}
        self.thin_link_by_regions = {}
        self._portal_context = start_blocking_portal()
        self._portal = self._portal_context.__enter__()
        self._listeners = []

    def close(self):
        self._portal.call(self._close_listeners)
        self._portal_context.__exit__(None, None, None)

    def address(self, source, target, target_address):
        """Return the address of the relay from a source to a target."""
        pair = (source, target)
        if pair not in self.port_by_pair:
            listener = self._portal.call(self._listen)
            self._listeners.append(listener)
            self._portal.start_task_soon(
                listener.serve, partial(self._relay, pair, target_address)
            )
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            self.port_by_pair[pair] = port
        return f"127.0.0.1:{self.port_by_pair[pair]}"

    def cut(self, sources, targets, both_ways=True):
        """Drop the traffic from some instances to others."""
        for source in sources:
            for target in targets:
                self._cut_pairs.add((source, target))
                if both_ways:
                    self._cut_pairs.add((target, source))

    def silence(self, sources, targets):
        """Stop forwarding on the open connections for good; new ones work."""
        self._epoch += 1
        for source in sources:
            for target in targets:
                self._silenced_at_by_pair[(source, target)] = self._epoch

    def make_thin(self, region_by_instance, bytes_per_second, queue_seconds):
        """Make the traffic between regions share a thin link for each direction.

        Applies to connections opened afterwards. The first bytes of such a connection
        pass even if the relay is cut.
        """
        self._region_by_instance = region_by_instance
        regions = set(region_by_instance.values())
        self.thin_link_by_regions = {
            (one, other): ThinLink(bytes_per_second, queue_seconds)
            for one in regions
            for other in regions
            if one != other
        }

    def heal(self):
        """Forward everything again."""
        self._cut_pairs.clear()

    async def _listen(self):
        return await anyio.create_tcp_listener(local_host="127.0.0.1")

    async def _relay(self, pair, target_address, stream):
        host, port = target_address.rsplit(":", 1)
        epoch = self._epoch
        try:
            async with (
                await anyio.connect_tcp(host, int(port)) as target_stream,
                stream,
                anyio.create_task_group() as tasks,
            ):
                outgoing_link, returning_link = await self._thin_links(
                    pair, stream, target_stream
                )
                tasks.start_soon(
                    self._pump,
                    pair,
                    pair,
                    epoch,
                    stream,
                    target_stream,
                    outgoing_link,
                    tasks,
                )
                direction = (pair[1], pair[0])
                tasks.start_soon(
                    self._pump,
                    pair,
                    direction,
                    epoch,
                    target_stream,
                    stream,
                    returning_link,
                    tasks,
                )
        except* (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            await anyio.aclose_forcefully(stream)
        except* anyio.ClosedResourceError:
            pass

    def _is_forwarding(self, pair, direction, epoch):
        silenced = epoch < self._silenced_at_by_pair.get(pair, 0)
        return not silenced and direction not in self._cut_pairs

    async def _thin_links(self, pair, stream, target_stream):
        """Return the thin links to and from the target, ``None`` if it crosses none."""
        if not self.thin_link_by_regions:
            return None, None
        # The first message names the instance that connects; a relay shared by all
        # instances can't identify it otherwise.
        first = await stream.receive(READ_SIZE_BYTES)
        await target_stream.send(first)
        handshake = next(Decoder().feed(first))
        source_region = self._region_by_instance[handshake.instance]
        target_region = self._region_by_instance[pair[1]]
        return (
            self.thin_link_by_regions.get((source_region, target_region)),
            self.thin_link_by_regions.get((target_region, source_region)),
        )

    async def _pump(self, pair, direction, epoch, source, target, thin, tasks):
        if thin is not None:
            target = ThinLinkSender(thin, target, tasks)
        size = READ_SIZE_BYTES if thin is None else THIN_READ_SIZE_BYTES
        try:
            while True:
                data = await source.receive(size)
                if self._is_forwarding(pair, direction, epoch):
                    await target.send(data)
                else:
                    # Data after a gap would corrupt the stream, so this connection
                    # stays silent for good and only a new one works.
                    await anyio.sleep_forever()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            tasks.cancel_scope.cancel()

    async def _close_listeners(self):
        for listener in self._listeners:
            await listener.aclose()
